package yuccaspeed

import (
	"math"
	"time"
)

const (
	// minFactor and maxFactor bound a stated figure, so that a single wrong one has little effect.
	minFactor = 0.2
	maxFactor = 5.0
	// meanWeight is the weight of one figure in the mean of all.
	meanWeight = 0.01
	// ageSlots is the number of ranges of ages for which it is learned how far a figure still holds.
	// The first range ends at firstAge, and each further one is twice as long.
	ageSlots = 8
	firstAge = 25 * time.Millisecond
	// pairDecay is the factor by which the weight of earlier pairs of figures is reduced with each new
	// pair of that age, and minPairs the weight below which an age is taken as too old.
	pairDecay = 0.99
	minPairs  = 5.0
	// outcomeDecay is the factor by which the weight of earlier outcomes is reduced with each new one.
	// priorOutcomes is the weight of the assumption that figures say nothing.
	outcomeDecay  = 0.98
	priorOutcomes = 5.0
	// maxRatio bounds the ratio of actual to expected time that one outcome can contribute.
	maxRatio = 4.0
)

// Factor is how many times as long as usual work takes.
type Factor float64

// Reading is the last figure that a target has stated, and when. It is the zero value if the target has
// stated none.
type Reading struct {
	Factor Factor
	At     time.Time
}

// Known reports whether the target has stated a figure.
func (rd Reading) Known() bool { return rd.Factor > 0 }

// Model estimates how long work takes on the targets of a pool. The zero value knows nothing, and
// expects work to take as long as usual.
type Model struct {
	// mean and spread are the mean of the stated figures and their mean squared deviation from it.
	mean, spread float64
	samples      int
	ages         [ageSlots]covariance
	outcomes     covariance
}

// covariance holds the decaying sums for a line through the origin: of the products of what was
// expected and what was seen, and of the squares of what was expected.
type covariance struct {
	weight, products, squares float64
}

func (cov *covariance) learn(expected, seen, decay float64) {
	cov.weight = cov.weight*decay + 1
	cov.products = cov.products*decay + expected*seen
	cov.squares = cov.squares*decay + expected*expected
}

// slope returns the slope of the line, from 0 to 1, if prior is added to the squares of what was
// expected.
func (cov *covariance) slope(prior float64) float64 {
	if cov.squares <= 0 {
		return 0
	}
	return min(max(cov.products/(cov.squares+prior), 0), 1)
}

// Read takes in a figure that a target states now, and returns it as the target's reading. last is the
// target's reading before.
func (mod *Model) Read(now time.Time, last Reading, factor Factor) Reading {
	if factor <= 0 || math.IsNaN(float64(factor)) {
		return last
	}
	factor = min(max(factor, minFactor), maxFactor)
	mod.samples++
	weight := max(meanWeight, 1/float64(mod.samples))
	mod.mean += weight * (float64(factor) - mod.mean)
	deviation := float64(factor) - mod.mean
	mod.spread += weight * (deviation*deviation - mod.spread)
	if last.Known() {
		if slot, found := ageSlot(now.Sub(last.At)); found {
			mod.ages[slot].learn(float64(last.Factor)-mod.mean, deviation, pairDecay)
		}
	}
	return Reading{Factor: factor, At: now}
}

// ageSlot returns the range that an age lies in, or false if it is beyond all.
func ageSlot(age time.Duration) (slot int, found bool) {
	for limit := firstAge; slot < ageSlots; slot, limit = slot+1, 2*limit {
		if age < limit {
			return slot, true
		}
	}
	return 0, false
}

// holds returns how far a figure of the given age still holds, from 0 to 1.
func (mod *Model) holds(age time.Duration) float64 {
	slot, found := ageSlot(age)
	if !found || mod.ages[slot].weight < minPairs {
		return 0
	}
	return mod.ages[slot].slope(0)
}

// deviation returns by what share the time of work that begins now is expected to differ from the
// usual, if figures could be trusted.
func (mod *Model) deviation(now time.Time, reading Reading) float64 {
	if !reading.Known() || mod.mean <= 0 {
		return 0
	}
	return mod.holds(now.Sub(reading.At)) * (float64(reading.Factor) - mod.mean) / mod.mean
}

// Trust returns how far the stated figures explain how long work takes, from 0 to 1.
func (mod *Model) Trust() float64 {
	if mod.mean <= 0 {
		return 0
	}
	return mod.outcomes.slope(priorOutcomes * mod.spread / (mod.mean * mod.mean))
}

// Factor returns how many times as long as usual work that begins now is expected to take on a target.
// Usual is the mean over time, which also a pace learned from answers is.
func (mod *Model) Factor(now time.Time, reading Reading) Factor {
	return Factor(1 + mod.Trust()*mod.deviation(now, reading))
}

// Least returns a lower bound of what Factor returns.
func (mod *Model) Least() Factor {
	if mod.mean <= 0 {
		return 1
	}
	return Factor(1 - mod.Trust()*(1-minFactor/mod.mean))
}

// Learn takes in how long work took that began at the given time, as a ratio to the time that was
// expected at the usual speed. reading is the target's reading when the work began.
func (mod *Model) Learn(began time.Time, reading Reading, ratio float64) {
	expected := mod.deviation(began, reading)
	if expected == 0 || math.IsNaN(ratio) {
		return
	}
	mod.outcomes.learn(expected, min(max(ratio, 1/maxRatio), maxRatio)-1, outcomeDecay)
}
