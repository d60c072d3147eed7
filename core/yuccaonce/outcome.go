package yuccaonce

import "time"

// Run is the state of a request as reported to its caller: whether it ran.
type Run string

// The states that are reported to callers.
const (
	RunWaiting Run = "waiting"
	RunRunning Run = "running"
	Ran        Run = "ran"
	NotRun     Run = "notRun"
	Unknown    Run = "unknown"
)

// Reason states why a request was closed with its outcome.
type Reason string

// The reasons for closing a request other than by a complete answer.
const (
	ReasonDeadline        Reason = "deadline"
	ReasonOverload        Reason = "overload"
	ReasonDisplaced       Reason = "displaced"
	ReasonPreempted       Reason = "preempted"
	ReasonNoTarget        Reason = "noTarget"
	ReasonLimit           Reason = "limit"
	ReasonCancelled       Reason = "cancelled"
	ReasonWithdrawn       Reason = "withdrawn"
	ReasonNeverSubmitted  Reason = "neverSubmitted"
	ReasonOwnerLost       Reason = "ownerLost"
	ReasonTargetLost      Reason = "targetLost"
	ReasonBroken          Reason = "broken"
	ReasonRefusedByTarget Reason = "refusedByTarget"
	ReasonTargetLeaving   Reason = "targetLeaving"
	ReasonUnsent          Reason = "unsent"
	ReasonShutdown        Reason = "shutdown"
)

// provesNotRun reports whether the reason proves that a dispatched request did not run:
// its target said so, or no byte was sent to the target.
func (reason Reason) provesNotRun() bool {
	switch reason {
	case ReasonRefusedByTarget, ReasonTargetLeaving, ReasonUnsent:
		return true
	}
	return false
}

// Outcome is what is reported to a caller about a request. RetryAfter is the time after
// which a retry may succeed, Pieces and Hash are the number of pieces and the hash of
// the answer, and Partial means that the answer is incomplete.
type Outcome struct {
	Run        Run           `json:"run" msgpack:"run"`
	Reason     Reason        `json:"reason,omitempty" msgpack:"reason,omitempty"`
	RetryAfter time.Duration `json:"back,omitempty" msgpack:"back,omitempty"`
	Pieces     int           `json:"pieces,omitempty" msgpack:"pieces,omitempty"`
	Hash       string        `json:"hash,omitempty" msgpack:"hash,omitempty"`
	Partial    bool          `json:"partial,omitempty" msgpack:"partial,omitempty"`
}

// Result is what the connection that dispatched a run reports when the run has ended.
// Its claims aren't proven yet; see provenOutcome.
type Result Outcome

// provenOutcome returns the outcome of a dispatched request that may be reported.
//
// A request is reported as not run only on proof. If a cancelled or lost run were
// reported as not run, its caller would send the request again and pay twice, and the
// target's own log would show two runs. A cancelled or preempted run therefore counts
// as partly run, and any other claim without proof becomes Unknown. A received piece of
// an answer proves that the request ran, even if the result claims NotRun.
func (res Result) provenOutcome() Outcome {
	out := Outcome(res)
	switch {
	case res.Run == Ran, res.Pieces > 0 && res.Run == NotRun:
		out.Run = Ran
		out.Partial = res.Partial || res.Run == NotRun || res.Reason == ReasonCancelled || res.Reason == ReasonPreempted
	case res.Run == NotRun && res.Reason.provesNotRun():
		out.Run = NotRun
	case res.Reason == ReasonCancelled, res.Reason == ReasonPreempted:
		out.Run = Ran
		out.Partial = true
	default:
		out.Run = Unknown
	}
	return out
}
