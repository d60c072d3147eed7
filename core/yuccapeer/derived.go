package yuccapeer

import "yuccacleat/core/yuccaid"

// maxCachedPerKind bounds what is kept of each kind. Pools are named by requests too, so a daemon
// that is asked for many that don't exist must not remember them all.
const maxCachedPerKind = 1024

// viewCache keeps what was worked out from the view until the view changes.
//
// A daemon asks who is live and who leads many times in each turn of its control loop and
// for each request. Sorted and hashed anew each time, that took a daemon of a fleet of 400
// more processor time than all its messages.
type viewCache struct {
	live           map[yuccaid.Centre][]Member
	candidates     map[yuccaid.Centre][]Listing
	candidateCount map[yuccaid.Centre]int
	leaders        map[yuccaid.Pool]Member
	gateways       map[yuccaid.Centre][]Member
}

// invalidate notes that the view, or who might be in it, is no longer what it was. Whoever
// changes one of these calls it.
func (peers *Peers) invalidate() {
	peers.dialPlanStale = true
	peers.viewCache = viewCache{}
}

// cached returns what is kept under a key, or works it out.
func cached[K comparable, V any](kept *map[K]V, key K, work func() V) V {
	if value, found := (*kept)[key]; found {
		return value
	}
	value := work()
	if *kept == nil || len(*kept) >= maxCachedPerKind {
		*kept = make(map[K]V)
	}
	(*kept)[key] = value
	return value
}
