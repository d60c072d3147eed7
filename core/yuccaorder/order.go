package yuccaorder

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Kind says what an order changes.
type Kind string

// The kinds of orders, in the sequence in which a target is brought up: nothing else
// can be changed before the model is there.
const (
	Load    Kind = "load"
	Version Kind = "version"
	Adapter Kind = "adapter"
	Role    Kind = "role"
	Unload  Kind = "unload"
)

// Order is one step towards the wished state; Expires is the time it may still be
// obeyed after it was decided.
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

// fetches reports whether the order makes the target read from the weight store.
func (order Order) fetches() bool {
	return order.Kind == Load || order.Kind == Version || order.Kind == Adapter
}

// ObservedState is what a target was seen to have.
type ObservedState struct {
	Model    yuccaid.Model
	Version  string
	Adapters []yuccaid.Model
	Role     string
	// Fence is the highest fencing number the target has seen, 0 if it checks none.
	Fence yuccaid.ConfigNumber
}
