package yuccaroute

import "yuccacleat/core/yuccaid"

// Pick returns the pool of a request, where draw is a number from 0 up to 1 that spreads
// requests over the pools by their weights. A route whose weights are all zero uses its
// first pool.
func (route *Route) Pick(draw float64) yuccaid.Pool {
	total := 0
	for _, share := range route.Pools {
		total += max(share.Weight, 0)
	}
	left := draw * float64(total)
	for _, share := range route.Pools {
		left -= float64(max(share.Weight, 0))
		if left < 0 {
			return share.Pool
		}
	}
	return route.Pools[0].Pool
}

// Repeatable reports whether a request that may have run may be sent again.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}
