package yuccaqueue

// Reason says why a request was refused or cancelled.
type Reason string

// The reasons of a refusal or a cancel.
const (
	// ReasonDeadline says that no target in reach can meet the deadline any more.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload says that the queue is at its bound.
	ReasonOverload Reason = "overload"
	// ReasonDisplaced says that a request of a higher tier took the place.
	ReasonDisplaced Reason = "displaced"
	// ReasonLimit says that the client account is at a limit of its own.
	ReasonLimit Reason = "limit"
	// ReasonNoTarget says that the account may use no target of the pool.
	ReasonNoTarget Reason = "noTarget"
	// ReasonPreempted says that a running request was cancelled for a higher tier.
	ReasonPreempted Reason = "preempted"
)
