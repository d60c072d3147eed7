package yuccapool

import "yuccacleat/core/yuccaid"

// WithoutPreemption makes the leader cancel no runs.
func WithoutPreemption() Option {
	return func(lead *Leader) { lead.preempts = false }
}

// OnRequeue calls a function with the target of each grant that is removed before it
// was sent.
func OnRequeue(notify func(yuccaid.Target)) Option {
	return func(lead *Leader) { lead.onRequeue = notify }
}
