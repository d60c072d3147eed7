package yuccaqueue

// Reason says why a request was refused or cancelled.
type Reason string

// The reasons for a refusal or a cancellation.
const (
	// ReasonDeadline says that no target the account may use can meet the deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonOverload says that the queue has reached a bound.
	ReasonOverload Reason = "overload"
	// ReasonDisplaced says that an arriving request of a higher tier displaced the waiting
	// request from a full queue.
	ReasonDisplaced Reason = "displaced"
	// ReasonLimit says that the client account has reached a limit of its own.
	ReasonLimit Reason = "limit"
	// ReasonNoTarget says that the account may use no target of the pool.
	ReasonNoTarget Reason = "noTarget"
	// ReasonPreempted says that a running request was cancelled for a request of a higher
	// tier.
	ReasonPreempted Reason = "preempted"
)
