package yuccaroute

import "yuccacleat/core/yuccaid"

// Pick returns the pool for a request. The pools are chosen in proportion to their weights by
// draw, a random number in [0, 1). If all weights are zero, Pick returns the first pool.
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

// Repeatable reports whether a request may be sent again after a target may have run it.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}
