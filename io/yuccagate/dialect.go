package yuccagate

import (
	"net/http"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccastream"
)

// Dialect defines how callers and targets express what the gateway needs to know.
type Dialect struct {
	// ReadRequest extracts what the gateway needs to know from a caller's request.
	ReadRequest func(r *http.Request, route *yuccaroute.Route) (RequestInfo, error)
	// RewriteHeader changes the header of a forwarded request. It adds what the target needs to
	// know, and removes the fields that callers may not pass to a target. Header fields that apply
	// only to the caller's connection have been removed before the call.
	RewriteHeader func(header http.Header, forward ForwardInfo)
	// MatchesRequest reports whether a response with this header belongs to the request that has
	// the given id.
	MatchesRequest func(header http.Header, id string) bool
	// ReadReport extracts what a target reports along with its response to a request that was sent to it.
	ReadReport func(target yuccaid.Target, status int, header http.Header) TargetReport
	// StatusPath is the path at which a target tells its status, empty if targets don't. ReadStart
	// extracts from a status when the target's process started, in Unix milliseconds.
	StatusPath string
	ReadStart  func(status []byte) (startMillis int64, found bool)
	// HoldingsPath is the path at which a target lists the parts of prompts that it keeps, empty if targets don't.
	// ReadHoldings extracts them from the list, and reports false if it can't be read.
	HoldingsPath string
	ReadHoldings func(list []byte) ([]KeptPart, bool)
}

// KeptPart is a part of a prompt that a target keeps.
type KeptPart struct {
	Part   yuccastream.PartKey
	Tokens yuccaid.Tokens
}

// RequestInfo is what a request states about itself.
type RequestInfo struct {
	// ID identifies the request to callers and targets and in logs.
	ID string
	// Key is the API key that the caller sent. It identifies the caller's account.
	Key string
	// Remaining is how long the caller waits for the end of the response. EventTimeout is how
	// long the caller waits for the first event, and for each further event after the one before.
	// Each of the two is zero if the request doesn't state it.
	Remaining    time.Duration
	EventTimeout time.Duration
	// Prompt is the number of tokens that the target has to read, and Answer the number that it
	// has to generate; each is zero if unknown. Charged is the number of tokens that count against
	// the account's quota.
	Prompt  yuccaid.Tokens
	Answer  yuccaid.Tokens
	Charged yuccaid.Tokens
	// Parts are the parts of the prompt that targets may keep for other requests, in the order of the
	// prompt. Their sizes are in tokens, and their hashes have 32 bits. Parts is empty if the request
	// names none.
	Parts []yuccacache.Part
	// SharedParts are the ids of the parts of the prompt that other requests may share, whatever comes before them.
	SharedParts []yuccaid.PromptPart
	// Description is what the request's header says of the work that its target has to do. It is the same for all repeats of a
	// request.
	Description string
	// LastEventID is the id of the last event of this stream that the caller received in an
	// earlier response, empty if it received none.
	LastEventID string
	// Resumes is the id of the request that brought the first event of this stream, empty if the
	// request states none.
	Resumes string
	// OwnPart is the last part of the prompt, which belongs to the request itself or to its session. It is zero unless
	// the request names its parts and takes a stream up.
	OwnPart KeptPart
	// LastPart is the last part of the prompt of a request for a stream, zero if the request doesn't name its parts.
	LastPart yuccastream.PartKey
}

// ForwardInfo is what a forwarded request tells its target.
type ForwardInfo struct {
	Target yuccaid.Target
	// Account is the account that the request belongs to, empty if it belongs to none.
	Account yuccaid.Account
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// FetchAddress is the address of the target from which the target fetches parts of the prompt. It
	// is empty if the target fetches none.
	FetchAddress string
	// LastEventID is the id of the last event that the caller already has, so the target has to
	// continue the stream after this event. It is empty if the target has to send all events.
	LastEventID string
}

// TargetReport is what a target reports about itself and about a request along with its
// response.
type TargetReport struct {
	// NotRun reports whether it is certain that the target did not run the request. Misdirected
	// reports whether another target has got the request and rejected it for that.
	NotRun      bool
	Misdirected bool
	// Load is the target's own count of its running and waiting requests, if it reports one.
	Load yuccagrant.ReportedLoad
}
