package yuccagate

import (
	"net/http"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

// Dialect defines how callers and targets express what the gateway needs to know.
type Dialect struct {
	// ReadRequest extracts what the gateway needs to know from a caller's request.
	ReadRequest func(r *http.Request, route *yuccaroute.Route) (RequestInfo, error)
	// RewriteHeader adds what the target needs to know to the header of a forwarded request,
	// and removes fields that callers may not pass to a target. Fields that concern one
	// connection only are already removed.
	RewriteHeader func(header http.Header, forward ForwardInfo)
	// MatchesRequest reports whether a response with this header is the response to the request
	// with the id.
	MatchesRequest func(header http.Header, id string) bool
	// ReadReport extracts what a target reports along with its response.
	ReadReport func(status int, header http.Header) TargetReport
}

// RequestInfo is what a request states about itself.
type RequestInfo struct {
	// ID identifies the request to callers and targets and in logs.
	ID string
	// Key is the caller's key, which identifies its account.
	Key string
	// Remaining is how long the caller waits for the end of the response. EventTimeout is how
	// long it waits for the first event, and for each further one. Both are zero if the request
	// doesn't state them.
	Remaining    time.Duration
	EventTimeout time.Duration
	// Prompt and Answer are the tokens to read and to generate, zero if unknown. Charged are
	// the tokens that count against the account's quota.
	Prompt  yuccaid.Tokens
	Answer  yuccaid.Tokens
	Charged yuccaid.Tokens
	// LastEventID is the id of the last event of this stream that the caller received in an
	// earlier response, empty if it received none.
	LastEventID string
}

// ForwardInfo is what a forwarded request tells its target.
type ForwardInfo struct {
	Target yuccaid.Target
	// Account is empty if the request belongs to none.
	Account yuccaid.Account
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// LastEventID is the id of the last event that the caller already has: the target continues
	// after it. It is empty if the target has to send all events.
	LastEventID string
}

// TargetReport is what a target reports about itself and about a request along with its
// response.
type TargetReport struct {
	// NotRun reports whether the target certainly did not run the request, and Misdirected
	// whether the request was meant for another target.
	NotRun      bool
	Misdirected bool
	// Load is the target's own count of its running and waiting requests, if it reports one.
	Load yuccagrant.ReportedLoad
}
