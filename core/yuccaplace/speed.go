package yuccaplace

// speed is a learned rate: what the target does now, and what is usual for it.
//
// Load reports and the configuration don't know that a target has become slow; what
// the owners see does. Comparing a target with its own usual rate rather than with
// the others keeps an old generation of hardware from passing for a straggler.
//
// Best is what the target can do when little else runs there. The others fall with the
// load, and a request that would make it on an idle target must not be refused for
// what a full one does.
type speed struct {
	recent float64
	usual  float64
	best   float64
	// seen counts observations up to firstRates.
	seen int
}

func newSpeed(guess float64) speed {
	return speed{recent: guess, usual: guess, best: guess}
}

// observe takes a finished run's rate in.
//
// The configured rate is a guess about long prompts on an idle target. Kept as what is
// usual, it would make stragglers of all targets as soon as short requests, with their
// fixed costs, look slower, and requests would wait before idle engines. So the first
// observations replace it.
func (sp *speed) observe(rate, weight float64) {
	if sp.seen < firstRates {
		sp.seen++
		part := 1 / float64(sp.seen+1)
		sp.usual += part * (rate - sp.usual)
		sp.recent += max(part, weight) * (rate - sp.recent)
		sp.best = max(rate, sp.best+bestWeight*(rate-sp.best))
		return
	}
	sp.recent += weight * (rate - sp.recent)
	sp.usual += sp.usualPart(rate) * (rate - sp.usual)
	sp.best = max(rate, sp.best+bestWeight*(rate-sp.best))
}

// usualPart keeps what a straggler shows from becoming usual for it.
func (sp *speed) usualPart(rate float64) float64 {
	if rate*slowRatio < sp.usual {
		return usualWeight / oddPart
	}
	return usualWeight
}

// atMost notes that the rate is below a bound, which an unfinished run shows.
func (sp *speed) atMost(rate float64) {
	sp.recent = min(sp.recent, rate)
}

// forget lets the present rate return to the usual one while nothing is seen. A
// target that was slow once gets no work, so nothing would ever show that it is well.
func (sp *speed) forget(part float64) {
	sp.recent += part * (sp.usual - sp.recent)
}

func (sp *speed) slow() bool {
	return sp.recent*slowRatio < sp.usual
}
