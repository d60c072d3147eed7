package yuccastand

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// orderState is what an engine has loaded, and what it will have once its orders are in
// effect.
type orderState struct {
	now    yuccatarget.State
	wished yuccatarget.State
	ready  time.Time
}

// at returns the state as it is reported at a time.
func (state *orderState) at(now time.Time, leaving bool) yuccatarget.State {
	if !now.Before(state.ready) {
		state.now = state.wished
	}
	said := state.now
	said.Fence = state.wished.Fence
	said.Loading = now.Before(state.ready)
	said.Leaving = leaving
	return said
}

// obey takes an order that is in effect after some time; it reports false for a kind
// that it doesn't know.
func (state *orderState) obey(order yuccatarget.Order, now time.Time, takes time.Duration) bool {
	state.at(now, false)
	if !change(&state.wished, order) {
		return false
	}
	state.wished.Fence = max(state.wished.Fence, order.Fence)
	state.ready = now.Add(takes)
	return true
}

// change puts an order into a state.
func change(state *yuccatarget.State, order yuccatarget.Order) bool {
	switch order.Kind {
	case yuccatarget.OrderLoad:
		state.Model = order.Model
		state.Version = order.Version
	case yuccatarget.OrderUnload:
		unload(state, order.Adapter)
	case yuccatarget.OrderVersion:
		state.Version = order.Version
	case yuccatarget.OrderAdapter:
		if !slices.Contains(state.Adapters, order.Adapter) {
			state.Adapters = append(slices.Clone(state.Adapters), order.Adapter)
		}
	case yuccatarget.OrderRole:
		state.Role = order.Role
	default:
		return false
	}
	return true
}

// unload takes away an adapter, or the model and all that goes with it if none is named.
func unload(state *yuccatarget.State, adapter yuccaid.Model) {
	if adapter == "" {
		state.Model = ""
		state.Version = ""
		state.Adapters = nil
		return
	}
	state.Adapters = slices.DeleteFunc(slices.Clone(state.Adapters), func(name yuccaid.Model) bool { return name == adapter })
}
