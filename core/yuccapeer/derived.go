package yuccapeer

import "yuccacleat/core/yuccaid"

// mostDerived bounds what is kept of each kind. Pools are named by requests too, so a daemon
// that is asked for many that don't exist must not remember them all.
const mostDerived = 1024

// derived keeps what was worked out from the view until the view changes.
//
// A daemon asks who is live and who leads many times in each turn of its control loop and
// for each request. Sorted and hashed anew each time, that took a daemon of a fleet of 400
// more processor time than all its messages.
type derived struct {
	live       map[yuccaid.Centre][]Member
	candidates map[yuccaid.Centre][]Listing
	known      map[yuccaid.Centre]int
	leaders    map[yuccaid.Pool]Member
	gateways   map[yuccaid.Centre][]Member
}

// changed notes that the view, or who might be in it, is no longer what it was. Whoever
// changes one of these calls it.
func (peers *Peers) changed() {
	peers.stale = true
	peers.derived = derived{}
}

// lookUp returns what is kept under a key, or works it out.
func lookUp[K comparable, V any](kept *map[K]V, key K, work func() V) V {
	if value, found := (*kept)[key]; found {
		return value
	}
	value := work()
	if *kept == nil || len(*kept) >= mostDerived {
		*kept = make(map[K]V)
	}
	(*kept)[key] = value
	return value
}
