package yuccapool

import "yuccacleat/core/yuccaid"

// WithoutPreemption leaves every run alone.
func WithoutPreemption() Option {
	return func(lead *Leader) { lead.preempts = false }
}

// OnRequeue hears of grants that were taken back before they were sent.
func OnRequeue(hear func(yuccaid.Target)) Option {
	return func(lead *Leader) { lead.onRequeue = hear }
}
