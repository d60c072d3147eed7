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
	// ReadRequest takes from a caller's request what the gateway has to know.
	ReadRequest func(r *http.Request, route *yuccaroute.Route) (RequestInfo, error)
	// RewriteHeader puts into a request what its target has to know, and takes out what callers
	// may not tell a target. The header already lacks what concerns one connection.
	RewriteHeader func(header http.Header, onward ForwardInfo)
	// MatchesRequest reports whether an answer's head belongs to the request with the id.
	MatchesRequest func(header http.Header, id string) bool
	// ReadReport reads what a target says beside its answer.
	ReadReport func(status int, header http.Header) TargetReport
}

// RequestInfo is what a request says of itself.
type RequestInfo struct {
	// ID names the request to callers, targets and in logs.
	ID  string
	Key string
	// Remaining is how long the caller waits for the end, and Patience how long for the
	// first event or for another one; zero if it doesn't say.
	Remaining    time.Duration
	EventTimeout time.Duration
	// Prompt and Answer are the tokens to read and to generate, zero if unknown. Charged is
	// what counts against the account's quota.
	Prompt  yuccaid.Tokens
	Answer  yuccaid.Tokens
	Charged yuccaid.Tokens
	// LastEventID is the last event that the caller already has, empty for none.
	LastEventID string
}

// ForwardInfo is what a target is told of a request.
type ForwardInfo struct {
	Target    yuccaid.Target
	Account   yuccaid.Account
	Remaining time.Duration
	// LastEventID is the last event that needs not be sent again, empty for none.
	LastEventID string
}

// TargetReport is what a target says of itself and of a request beside the answer.
type TargetReport struct {
	// NotRun says that the target surely didn't run the request, and Misdirected that it
	// isn't the target that was meant.
	NotRun      bool
	Misdirected bool
	Load        yuccagrant.ReportedLoad
}
