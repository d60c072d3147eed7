package yuccaplace

// speed is a learned rate of a target.
//
// recent is the current rate and usual the long-term one. Neither load reports nor the
// configuration show that a target has become slow; the owners' measurements do. A
// target is compared with its own usual rate rather than with other targets, so that an
// old generation of hardware isn't taken for a straggler.
//
// best is the rate that the target reaches when little else runs there. The other two
// fall with the load, and a request that would meet its deadline on an idle target must
// not be rejected because of the rate of a full one.
type speed struct {
	recent float64
	usual  float64
	best   float64
	// samples counts observations up to initialSamples.
	samples int
}

func newSpeed(guess float64) speed {
	return speed{recent: guess, usual: guess, best: guess}
}

// observe adds the rate of a finished run.
//
// The configured rate is a guess for long prompts on an idle target. If it were kept as
// the usual rate, all targets would look like stragglers as soon as short requests
// came, whose fixed costs make them slower, and requests would wait before idle
// engines. The first observations therefore replace it.
func (sp *speed) observe(rate, weight float64) {
	if sp.samples < initialSamples {
		sp.samples++
		meanWeight := 1 / float64(sp.samples+1)
		sp.usual += meanWeight * (rate - sp.usual)
		sp.recent += max(meanWeight, weight) * (rate - sp.recent)
		sp.best = max(rate, sp.best+bestWeight*(rate-sp.best))
		return
	}
	sp.recent += weight * (rate - sp.recent)
	sp.usual += sp.weightForUsual(rate) * (rate - sp.usual)
	sp.best = max(rate, sp.best+bestWeight*(rate-sp.best))
}

// weightForUsual returns the weight of an observation in the usual rate. It is small
// for a straggler's rates, so that they don't become the usual ones.
func (sp *speed) weightForUsual(rate float64) float64 {
	if rate*slowRatio < sp.usual {
		return usualWeight / stragglerDivisor
	}
	return usualWeight
}

// capRecent lowers the recent rate to an upper bound that an unfinished run shows.
func (sp *speed) capRecent(rate float64) {
	sp.recent = min(sp.recent, rate)
}

// returnToUsual moves the recent rate towards the usual one by a fraction while nothing
// is observed. A target that was slow once gets no work, so otherwise nothing would
// ever show that it has recovered.
func (sp *speed) returnToUsual(fraction float64) {
	sp.recent += fraction * (sp.usual - sp.recent)
}

func (sp *speed) slow() bool {
	return sp.recent*slowRatio < sp.usual
}
