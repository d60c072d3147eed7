package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaspeed"
)

// ID identifies a request by its owner, which is the daemon that holds the caller's connection,
// and a number that the owner assigned.
type ID struct {
	Owner  yuccaid.Incarnation
	Number uint64
}

// Class identifies the requests of one account on one route, as a hash of the account and the
// route. The actual lengths of the prompts and answers of one class are assumed to deviate from the
// announced lengths by similar factors.
type Class uint32

// Request describes a caller's request that is to be sent to a target of the pool.
type Request struct {
	ID    ID
	Class Class
	// Tier and Rank are the urgency of the request; 0 is the most urgent in both. Requests of a
	// more urgent tier always go first. Within a tier the order depends on the rank and on the
	// expected work.
	Tier int
	Rank int
	// OverQuota reports that the request's account is over its quota. The request is then
	// treated as less urgent than its rank says.
	OverQuota bool
	// Prompt and Answer are the lengths in tokens that the request announces for its prompt and
	// its answer, zero if it announces none.
	Prompt yuccaid.Tokens
	Answer yuccaid.Tokens
	// Parts are the parts of the prompt that other requests may share, in the order of the prompt,
	// with their sizes in tokens. A target that holds a part doesn't read it again. Parts is empty if
	// the request names none.
	Parts []yuccacache.Part
	// The first event is on time if it comes no later than SoftDeadline. The caller stops waiting
	// for the first event at Deadline.
	SoftDeadline time.Time
	Deadline     time.Time
	// End is when the answer has to be complete, zero if that doesn't matter or can't be foreseen.
	End time.Time
	// finishable reports whether the answer can be complete at End.
	finishable bool
	// MaxGap is the longest time between two events of an answer that is on time. It is zero
	// for requests that are answered with a single event.
	MaxGap time.Duration
	// FailedTargets lists the targets on which this request has failed before.
	FailedTargets []yuccaid.Target
	// Version is the version of the targets that may serve the request, empty if any target may. A
	// stream that goes on has the version that began it.
	Version yuccaid.Version
	// Regions are the regions in which the request may be served.
	Regions yuccaregion.Set
}

// limits returns what the request requires of its targets.
func (req *Request) limits() yuccaallow.Limits {
	return yuccaallow.Limits{Regions: req.Regions, Version: req.Version}
}

// effectiveRank returns the rank that the request is scheduled by: Rank, limited to the range from
// 0 to maxRank, and made less urgent by overQuotaRanks if the account is over its quota.
func (req *Request) effectiveRank() int {
	effectiveRank := min(max(req.Rank, 0), maxRank)
	if req.OverQuota {
		effectiveRank += overQuotaRanks
	}
	return effectiveRank
}

// Grant assigns a request to a target.
type Grant struct {
	ID     ID
	Target yuccaid.Target
	// FetchFrom is the target from whose cache the target fetches parts of the prompt, empty if it
	// fetches none.
	FetchFrom yuccaid.Target
	// ExpectedTimeToFirst is the expected time from sending to the first event, Busy the number of
	// slots that were occupied on the target before the grant, and Held how many tokens of the prompt
	// the target is assumed to hold. All three are logged.
	ExpectedTimeToFirst time.Duration
	Busy                int
	Held                yuccaid.Tokens
}

// Reason is why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonNoTarget means that the pool has no target.
	ReasonNoTarget Reason = "noTarget"
	// ReasonLate means that the first event would come too late to be of use.
	ReasonLate Reason = "late"
	// ReasonQueueFull means that the pool's queue already holds maxQueued requests.
	ReasonQueueFull Reason = "full"
	// ReasonNoVersion means that the pool has targets, and none is of the request's version.
	ReasonNoVersion Reason = "noVersion"
	// ReasonNoRegion means that the pool has targets, and none in the regions in which the request may be
	// served, or that it may be served in none.
	ReasonNoRegion Reason = "noRegion"
)

// Refusal is the final decision not to serve a request; RetryAfter is the time after which the
// caller should retry.
type Refusal struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
	// QueueLength is the number of other requests that were waiting. FreeSlots is the number of
	// free slots on the targets that were not backing off. EstimatedWait is how long the refused
	// request would have waited for a slot. All three are logged.
	QueueLength   int
	FreeSlots     int
	EstimatedWait time.Duration
}

// Decisions are the grants and refusals that follow from one call of a Leader.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Outcome is how a run finished.
type Outcome uint8

// The outcomes of runs.
const (
	// Served means that the target answered without an error.
	Served Outcome = iota
	// Failed means that the target answered the request with an error.
	Failed
	// Rejected means that the target was full and did not run the request.
	Rejected
	// Misdirected means that a different target answered at the target's address.
	Misdirected
	// Unreachable means that no connection to the target could be opened.
	Unreachable
	// Lost means that the request was sent and no answer came.
	Lost
	// Broken means that the answer ended before it was complete.
	Broken
	// Dropped means that the caller stopped waiting, or that the grant was not used.
	Dropped
)

var outcomeNames = [...]string{"served", "failed", "rejected", "misdirected", "unreachable", "lost", "broken", "dropped"}

// String returns the outcome's name in logs and metrics.
func (out Outcome) String() string {
	if int(out) < len(outcomeNames) {
		return outcomeNames[out]
	}
	return "unknown"
}

// Finished is the result of a run. Reporting it to the leader frees the run's slot.
type Finished struct {
	ID      ID
	Outcome Outcome
	// TimeToFirst is the time from sending to the first event, zero if there was none.
	TimeToFirst time.Duration
	// Events is the number of events, Span the time from the first to the last event, and
	// LongestGap the longest time between two successive events.
	Events     int
	Span       time.Duration
	LongestGap time.Duration
	// Load is the load that the target reported with the answer, if any.
	Load ReportedLoad
}

// ReportedLoad holds the numbers of requests that a target reports as running and as waiting in
// its own queue. Known is false if the target reported no load. Slowness is how many times as long as
// usual work takes there now, zero if the target doesn't say.
type ReportedLoad struct {
	Known    bool
	Running  int
	Waiting  int
	Slowness yuccaspeed.Factor
}

// Running is a run that an owner reports to a new leader.
type Running struct {
	Request Request
	Target  yuccaid.Target
	Sent    time.Time
	// Started reports that the first event has come.
	Started bool
}

// Target is a target as configured, without what is learned from its answers.
type Target struct {
	Name  yuccaid.Target
	Slots int
	// Centre is the target's data centre, and Region the region of that data centre.
	Centre yuccaid.Centre
	Region yuccaid.Region
	// CacheTokens is the size of the target's prefix cache, zero if it has none. FetchRate is how many
	// tokens a second the target can fetch from the cache of another target, zero if it can't.
	CacheTokens yuccaid.Tokens
	FetchRate   float64
	// StartMillis is when the target's process started, in Unix milliseconds. A different value
	// means that the target was restarted.
	StartMillis int64
	// Version is what targets have in common that can continue one another's streams.
	Version yuccaid.Version
	// RoundTrip is the network round-trip time to the target.
	RoundTrip time.Duration
	// OtherCentre reports that the target is in another data centre, whose leader sends it most of its
	// runs.
	OtherCentre bool
	// Remote reports that the target is in another region, so that traffic to it is billed by
	// volume.
	Remote bool
	// Ramped reports that the leader finds out how much the target can take when it has just started or
	// recovered.
	Ramped bool
	// Cold is what the target has registered about being cold, and Budget what the leader may send it
	// because it may be cold.
	Cold   yuccacold.Statement
	Budget yuccacold.Budget
}
