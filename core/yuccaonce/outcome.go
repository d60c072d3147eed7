package yuccaonce

import "time"

// Run says whether a request ran.
type Run string

// The states that a caller can be told of.
const (
	RunWaiting Run = "waiting"
	RunRunning Run = "running"
	Ran        Run = "ran"
	NotRun     Run = "notRun"
	Unknown    Run = "unknown"
)

// Reason says why a request ended as it did.
type Reason string

// The reasons for an end other than a whole answer.
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

// provesNotRun reports whether the reason shows that a dispatched request did not
// run: the target said so by its contract, or no byte left for it.
func (reason Reason) provesNotRun() bool {
	switch reason {
	case ReasonRefusedByTarget, ReasonTargetLeaving, ReasonUnsent:
		return true
	}
	return false
}

// Outcome is what a caller is told about a request; Back is the time after which
// coming back makes sense.
type Outcome struct {
	Run        Run           `json:"run" msgpack:"run"`
	Reason     Reason        `json:"reason,omitempty" msgpack:"reason,omitempty"`
	RetryAfter time.Duration `json:"back,omitempty" msgpack:"back,omitempty"`
	Pieces     int           `json:"pieces,omitempty" msgpack:"pieces,omitempty"`
	Hash       string        `json:"hash,omitempty" msgpack:"hash,omitempty"`
	Partial    bool          `json:"partial,omitempty" msgpack:"partial,omitempty"`
}

// Result is what the dispatching connection learned of a run's end.
type Result Outcome

// settled returns the outcome that may be told for a dispatched request.
//
// Not run is claimed only on proof. If a cancelled or lost run were reported so, its
// caller would send it again and pay twice, and the target's own log would show two
// runs. Pieces of an answer contradict every claim that the request did not run.
func (res Result) settled() Outcome {
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
