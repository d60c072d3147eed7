package yuccaroute

import (
	"slices"

	"yuccacleat/core/yuccaid"
)

// Pick returns the pool for a request. The pools are chosen in proportion to their weights by
// draw, a random number in [0, 1). A negative weight counts as zero. If all weights are zero, Pick
// returns the first pool.
func (route *Route) Pick(draw float64) yuccaid.Pool {
	totalWeight := 0
	for _, poolWeight := range route.Pools {
		totalWeight += max(poolWeight.Weight, 0)
	}
	remaining := draw * float64(totalWeight)
	for _, poolWeight := range route.Pools {
		remaining -= float64(max(poolWeight.Weight, 0))
		if remaining < 0 {
			return poolWeight.Pool
		}
	}
	return route.Pools[0].Pool
}

// Serves reports whether some of the route's requests go to a pool.
func (route *Route) Serves(pool yuccaid.Pool) bool {
	return slices.ContainsFunc(route.Pools, func(each PoolWeight) bool {
		return each.Pool == pool && (each.Weight > 0 || len(route.Pools) == 1)
	})
}

// Repeatable reports whether a request may be sent again after a target may have run it.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || route.Kind == Stream && route.Resumable
}
