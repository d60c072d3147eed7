package yuccapeer

import "yuccacleat/core/yuccaid"

// maxCachedPerKind bounds the entries of each map of a viewCache; a full map is cleared.
// Pools are also named by requests, so without a bound requests for many pools that don't
// exist would fill the memory.
const maxCachedPerKind = 1024

// viewCache holds results computed from the view until the view changes.
//
// A daemon needs the live members and the leaders many times in each turn of its control
// loop and for each request. If they were sorted and hashed each time, a daemon in a fleet of
// 400 would spend more processor time on that than on all its messages.
type viewCache struct {
	live           map[yuccaid.Centre][]Member
	candidates     map[yuccaid.Centre][]Listing
	candidateCount map[yuccaid.Centre]int
	leaders        map[yuccaid.Pool]Member
	gateways       map[yuccaid.Centre][]Member
}

// invalidate clears the cache and marks the dial plan as stale. A method that changes the
// view or the candidates must call it before any cached result is used again.
func (peers *Peers) invalidate() {
	peers.dialPlanStale = true
	peers.viewCache = viewCache{}
}

// cached returns the cached value of a key, or computes and caches it. It clears a map that
// has maxCachedPerKind entries.
func cached[K comparable, V any](values *map[K]V, key K, compute func() V) V {
	if value, found := (*values)[key]; found {
		return value
	}
	value := compute()
	if *values == nil || len(*values) >= maxCachedPerKind {
		*values = make(map[K]V)
	}
	(*values)[key] = value
	return value
}
