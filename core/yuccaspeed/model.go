package yuccaspeed

import (
	"math"
	"time"
)

const (
	// minFactor and maxFactor clamp a stated figure, so that a single wrong one has little effect.
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

// Reading is the last figure that a target has stated, and when. The zero value is that of a target that has
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
	// mean and variance are those of the stated figures.
	mean, variance float64
	samples        int
	// ages relates each figure to the one before it on the same target, by the range of the time between them.
	ages [ageSlots]regression
	// outcomes relates how long work took to what the figures said.
	outcomes regression
}

// Observe learns from a figure that a target states now, and returns it as the target's reading. last is
// the target's reading before. A figure that can't be true is ignored.
func (mod *Model) Observe(now time.Time, last Reading, factor Factor) Reading {
	if factor <= 0 || math.IsNaN(float64(factor)) {
		return last
	}
	factor = min(max(factor, minFactor), maxFactor)
	mod.samples++
	weight := max(meanWeight, 1/float64(mod.samples))
	mod.mean += weight * (float64(factor) - mod.mean)
	deviation := float64(factor) - mod.mean
	mod.variance += weight * (deviation*deviation - mod.variance)
	if last.Known() {
		if slot, found := ageSlot(now.Sub(last.At)); found {
			mod.ages[slot].add(float64(last.Factor)-mod.mean, deviation, pairDecay)
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

// validity returns how far a figure of the given age still holds, from 0 to 1.
func (mod *Model) validity(age time.Duration) float64 {
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
	return mod.validity(now.Sub(reading.At)) * (float64(reading.Factor) - mod.mean) / mod.mean
}

// Trust returns how far the stated figures explain how long work takes, from 0 to 1.
func (mod *Model) Trust() float64 {
	if mod.mean <= 0 {
		return 0
	}
	return mod.outcomes.slope(priorOutcomes * mod.variance / (mod.mean * mod.mean))
}

// Factor returns how many times as long as usual work that begins now is expected to take on a target. The
// usual time is the mean over time, as is a pace that is learned from answers.
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

// Learn learns how far figures can be trusted from how long work took that began at the given time, as a
// ratio to the time that was expected at the usual speed. reading is the target's reading at that time.
func (mod *Model) Learn(began time.Time, reading Reading, ratio float64) {
	expected := mod.deviation(began, reading)
	if expected == 0 || math.IsNaN(ratio) {
		return
	}
	mod.outcomes.add(expected, min(max(ratio, 1/maxRatio), maxRatio)-1, outcomeDecay)
}
