package yuccaplace

// rateEstimate is a learned rate of a target, in tokens or calls per second.
//
// recent is the current rate and usual the long-term one. Neither load reports nor the
// configuration show that a target has become slow; the measurements of the daemons
// that own the requests do. A target is compared with its own usual rate rather than
// with other targets, so that an old generation of hardware isn't taken for a
// straggler.
//
// best is the rate that the target reaches when little else runs there. recent and
// usual fall with the load, and a request that would meet its deadline on an idle
// target must not be rejected because of the rate of a full target.
type rateEstimate struct {
	recent float64
	usual  float64
	best   float64
	// samples counts observations up to initialSamples.
	samples int
}

func newRateEstimate(guess float64) rateEstimate {
	return rateEstimate{recent: guess, usual: guess, best: guess}
}

// observe adds the rate of a finished run.
//
// The configured rate is a guess for long prompts on an idle target. If it were kept as
// the usual rate, all targets would look like stragglers as soon as short requests
// came, whose fixed costs make them slower, and requests would wait while engines are
// idle. The first observations therefore replace the configured rate.
func (est *rateEstimate) observe(rate, weight float64) {
	if est.samples < initialSamples {
		est.samples++
		meanWeight := 1 / float64(est.samples+1)
		est.usual += meanWeight * (rate - est.usual)
		est.recent += max(meanWeight, weight) * (rate - est.recent)
		est.best = max(rate, est.best+bestWeight*(rate-est.best))
		return
	}
	est.recent += weight * (rate - est.recent)
	est.usual += est.weightForUsual(rate) * (rate - est.usual)
	est.best = max(rate, est.best+bestWeight*(rate-est.best))
}

// weightForUsual returns the weight of an observation in the usual rate. The weight is
// smaller for a straggler's rate, so that only a lasting change makes the slow rate the
// usual one.
func (est *rateEstimate) weightForUsual(rate float64) float64 {
	if rate*slowRatio < est.usual {
		return usualWeight / stragglerDivisor
	}
	return usualWeight
}

// capRecent lowers the recent rate to the given rate, if the given rate is lower. The
// time that an unfinished run has taken so far gives such an upper bound of the rate.
func (est *rateEstimate) capRecent(rate float64) {
	est.recent = min(est.recent, rate)
}

// returnToUsual moves the recent rate towards the usual one by a fraction while nothing
// is observed. A target that was slow once gets little or no work. Without the return,
// nothing might ever show that the target has recovered.
func (est *rateEstimate) returnToUsual(fraction float64) {
	est.recent += fraction * (est.usual - est.recent)
}

// slow reports whether the recent rate is so far below the usual one that the target is
// a straggler.
func (est *rateEstimate) slow() bool {
	return est.recent*slowRatio < est.usual
}
