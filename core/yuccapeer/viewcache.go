package yuccapeer

import "yuccacleat/core/yuccaid"

// maxCachedPerKind bounds the entries of each map of a viewCache; a full map is cleared.
// Leaders are cached for every pool that a request names, whether or not the pool exists, and
// for every account. Without a bound, requests for many pools that don't exist would fill the
// memory.
const maxCachedPerKind = 4096

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
	ranks          map[yuccaid.Pool]int
	gateways       map[yuccaid.Centre][]Member
}

// invalidate clears the cache and marks the dial plan as stale. A method that changes the
// view or the candidates must call it before any cached result is used again.
func (peers *Peers) invalidate() {
	peers.dialPlanStale = true
	peers.wantedStale = true
	peers.viewCache = viewCache{}
}

// cached returns the value that one map of a viewCache holds for a key. If the map holds no
// value for the key, cached computes and stores it. Before that, it clears the map if the map
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
