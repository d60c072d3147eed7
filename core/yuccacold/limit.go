package yuccacold

import "time"

// Limit is what the operators state of a pool's targets.
type Limit struct {
	// Duration is how long a target is cold after its process started.
	Duration time.Duration
	// Rate is how many requests a second a cold target bears.
	Rate float64
}

// Applies reports whether the pool's targets are ever cold.
func (lim Limit) Applies() bool { return lim.Duration > 0 && lim.Rate > 0 }

// Bound is by how much all daemons together may exceed the rate of a Limit in any second: by a factor and by a number of
// requests.
type Bound struct {
	Factor    float64
	Allowance float64
}

// PerSecond returns how many requests a cold target may get in any second.
func (bound Bound) PerSecond(lim Limit) int {
	factor := bound.Factor
	if factor <= 0 {
		factor = 1
	}
	return max(int(lim.Rate*factor+max(bound.Allowance, 0)), 1)
}
