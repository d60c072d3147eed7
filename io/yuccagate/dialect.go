package yuccagate

import (
	"net/http"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

// Dialect says how those who speak to the gateway write what it has to know.
type Dialect struct {
	// Read takes from a caller's request what the gateway has to know.
	Read func(r *http.Request, route *yuccaroute.Route) (Caller, error)
	// Write puts into a request what its target has to know, and takes out what callers
	// may not tell a target. The header already lacks what concerns one connection.
	Write func(header http.Header, onward Onward)
	// Own reports whether an answer's head belongs to the request with the id.
	Own func(header http.Header, id string) bool
	// Word reads what a target says beside its answer.
	Word func(status int, header http.Header) Word
}

// Caller is what a request says of itself.
type Caller struct {
	// ID names the request to callers, targets and in logs.
	ID  string
	Key string
	// Remaining is how long the caller waits for the end, and Patience how long for the
	// first event or for another one; zero if it doesn't say.
	Remaining time.Duration
	Patience  time.Duration
	// Prompt and Answer are the tokens to read and to generate, zero if unknown. Charged is
	// what counts against the account's quota.
	Prompt  yuccaid.Tokens
	Answer  yuccaid.Tokens
	Charged yuccaid.Tokens
	// Position is the last event that the caller already has, empty for none.
	Position string
}

// Onward is what a target is told of a request.
type Onward struct {
	Target    yuccaid.Target
	Account   yuccaid.Account
	Remaining time.Duration
	// Position is the last event that needs not be sent again, empty for none.
	Position string
}

// Word is what a target says of itself and of a request beside the answer.
type Word struct {
	// NotRun says that the target surely didn't run the request, and Misdirected that it
	// isn't the target that was meant.
	NotRun      bool
	Misdirected bool
	Load        yuccagrant.ReportedLoad
}
