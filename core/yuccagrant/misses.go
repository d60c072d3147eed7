package yuccagrant

import "yuccacleat/core/yuccaallow"

// misses counts the waiting requests that got no target, by their limits. If limited requests counted like
// the others, a few that wait for the full targets of their version or their regions would keep the free
// targets of others idle.
type misses struct {
	// unlimited counts the requests that any target may serve.
	unlimited int
	limited   map[yuccaallow.Limits]int
}

// enough reports whether further requests with the limits would find no target either.
func (mss *misses) enough(lim yuccaallow.Limits) bool {
	if lim.Any() {
		return mss.unlimited >= maxMisses
	}
	return mss.limited[lim] >= maxMisses
}

func (mss *misses) count(lim yuccaallow.Limits) {
	if lim.Any() {
		mss.unlimited++
		return
	}
	if mss.limited == nil {
		mss.limited = make(map[yuccaallow.Limits]int, 1)
	}
	mss.limited[lim]++
}
