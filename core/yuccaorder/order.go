package yuccaorder

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Kind states what an order changes.
type Kind string

// The kinds of orders. Planner sends Load, Version, Adapter and Role in this sequence,
// because nothing else can be changed before the model is loaded. Planner never sends
// Unload.
const (
	Load    Kind = "load"
	Version Kind = "version"
	Adapter Kind = "adapter"
	Role    Kind = "role"
	Unload  Kind = "unload"
)

// Order is one step towards a target's wish. Fence is the fencing number, and ValidFor
// is how long after the decision the target may still obey the order.
type Order struct {
	Target   yuccaid.Target
	Kind     Kind
	Model    yuccaid.Model
	Version  string
	Adapter  yuccaid.Model
	Role     string
	Fence    yuccaid.ConfigNumber
	ValidFor time.Duration
}

// readsWeights reports whether the order makes the target read from the weight store.
func (order Order) readsWeights() bool {
	return order.Kind == Load || order.Kind == Version || order.Kind == Adapter
}

// ObservedState is the state in which a target was observed.
type ObservedState struct {
	Model    yuccaid.Model
	Version  string
	Adapters []yuccaid.Model
	Role     string
	// Fence is the highest fencing number that the target has received, or 0 if it
	// doesn't check fencing numbers.
	Fence yuccaid.ConfigNumber
}
