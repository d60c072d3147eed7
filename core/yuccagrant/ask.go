package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// ID names a request by the daemon that holds its caller's connection.
type ID struct {
	Owner  yuccaid.Incarnation
	Number uint64
}

// Class is who asks for what: the requests of one class are alike in how far their lengths
// differ from what they announce.
type Class uint32

// Request is a request that waits for a target.
type Request struct {
	ID    ID
	Class Class
	// Tier orders requests strictly, and Rank within a tier; 0 is the most urgent of both.
	Tier int
	Rank int
	// OverQuota says that the request's account is beyond its quota and only tolerated.
	OverQuota bool
	// Prompt and Answer are the tokens that the request announces, zero where it doesn't.
	Prompt yuccaid.Tokens
	Answer yuccaid.Tokens
	// SoftDeadline is until when the first event is on time, and Until is when the caller leaves.
	SoftDeadline time.Time
	Deadline     time.Time
	// MaxGap is the longest pause between two events that counts as on time.
	MaxGap time.Duration
	// FailedTargets are the targets that failed this request before.
	FailedTargets []yuccaid.Target
}

// rank returns the request's rank, which is lower when its account has had its share.
func (ask *Request) rank() int {
	rank := min(max(ask.Rank, 0), mostRank)
	if ask.OverQuota {
		rank += overRanks
	}
	return rank
}

// Grant sends a request to a target.
type Grant struct {
	ID     ID
	Target yuccaid.Target
	// ExpectedFirst is when the first event was expected after the sending, and Busy how many runs
	// the target had before, for the log.
	ExpectedFirst time.Duration
	Busy          int
}

// Reason says why a request is refused.
type Reason string

// The reasons of refusals.
const (
	// ReasonNoTarget says that the pool has no target at all.
	ReasonNoTarget Reason = "noTarget"
	// ReasonLate says that the answer would begin too late to be of use.
	ReasonLate Reason = "late"
	// ReasonQueueFull says that too many wait.
	ReasonQueueFull Reason = "full"
)

// Refusal is the final answer to an ask; Back is when coming back makes sense.
type Refusal struct {
	ID         ID
	Reason     Reason
	RetryAfter time.Duration
	// QueueLength and Free are how many waited before the request and how many places were free,
	// and Wait how long it would have waited, for the log.
	QueueLength   int
	FreeSlots     int
	EstimatedWait time.Duration
}

// Decisions is what one event led to.
type Decisions struct {
	Grants   []Grant
	Refusals []Refusal
}

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of runs.
const (
	// Served says that the target answered as it should.
	Served Outcome = iota
	// Failed says that the target answered with a failure of its own.
	Failed
	// Rejected says that the target was full and didn't run the request.
	Rejected
	// Misdirected says that another target has the address.
	Misdirected
	// Unreachable says that no connection could be opened.
	Unreachable
	// Lost says that the request was sent and no answer came.
	Lost
	// Broken says that the answer broke off.
	Broken
	// Dropped says that the caller left, or that the grant was not used.
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

// Finished gives a target's place back and tells how the run went.
type Finished struct {
	ID      ID
	Outcome Outcome
	// TimeToFirst is the time from sending to the first event, zero if there was none.
	TimeToFirst time.Duration
	// Events counts the events, Span is the time from the first to the last, and Pause the
	// longest between two.
	Events     int
	Span       time.Duration
	LongestGap time.Duration
	// Load is the target's own word on its load, if it gave one.
	Load ReportedLoad
}

// ReportedLoad is what a target says runs and waits there.
type ReportedLoad struct {
	Known   bool
	Running int
	Waiting int
}

// Running is a run that an owner tells a new leader of.
type Running struct {
	Request Request
	Target  yuccaid.Target
	Sent    time.Time
	// Started says that the first event has come.
	Started bool
}

// Target is what is known of one target without having used it.
type Target struct {
	Name  yuccaid.Target
	Slots int
	// StartMillis tells a restarted target from its predecessor.
	StartMillis int64
	// RoundTrip is the time that a message takes there and back.
	RoundTrip time.Duration
	// Remote says that the way is paid by volume.
	Remote bool
}
