package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// latencyModel estimates the latencies of the fastest targets of a pool: the time to the first
// event grows linearly with the prompt, and events then follow at a fixed gap.
type latencyModel struct {
	// weight to sumXY are exponentially decaying sums for a least-squares line through the
	// pairs of prompt length in tokens (X) and time to the first event in seconds (Y).
	weight, sumX, sumY, sumXX, sumXY float64
	firstSamples                     int
	// meanGap and meanHold are the mean time between two events and the mean time that a run
	// occupies its slot, in seconds.
	meanGap     float64
	gapSamples  int
	meanHold    float64
	holdSamples int
}

// expectedTimeToFirst returns the expected time to the first event.
func (mod *latencyModel) expectedTimeToFirst(prompt yuccaid.Tokens) time.Duration {
	base, slope := mod.fitLine()
	return seconds(base + slope*float64(prompt))
}

// fitLine returns the intercept of the line in seconds, and its slope in seconds per token. The
// slope stays at its default until at least three prompts, of clearly different lengths, were seen.
// While all prompts had length 0, the slope is 0. It is never negative, because a longer prompt
// takes no less time.
func (mod *latencyModel) fitLine() (base, slope float64) {
	if mod.weight == 0 {
		return defaultTimeToFirst.Seconds(), defaultPerPromptToken.Seconds()
	}
	meanX, meanY := mod.sumX/mod.weight, mod.sumY/mod.weight
	spread := mod.sumXX/mod.weight - meanX*meanX
	slope = defaultPerPromptToken.Seconds()
	if meanX == 0 {
		return meanY, 0
	}
	if mod.weight >= 3 && spread > 0.05*meanX*meanX {
		slope = max((mod.sumXY/mod.weight-meanX*meanY)/spread, 0)
	}
	return max(meanY-slope*meanX, 0), slope
}

// learnTimeToFirst includes the time to one first event, in seconds on the fastest target.
func (mod *latencyModel) learnTimeToFirst(prompt yuccaid.Tokens, took float64) {
	keep := 1 - latencyWeight
	x := float64(prompt)
	mod.weight = mod.weight*keep + 1
	mod.sumX = mod.sumX*keep + x
	mod.sumY = mod.sumY*keep + took
	mod.sumXX = mod.sumXX*keep + x*x
	mod.sumXY = mod.sumXY*keep + x*took
	mod.firstSamples++
}

// gap returns the expected time between two events, in seconds.
func (mod *latencyModel) gap() float64 {
	if mod.gapSamples == 0 {
		return defaultEventGap.Seconds()
	}
	return mod.meanGap
}

// learnGap includes the mean gap between the events of one answer, in seconds on the fastest
// target.
func (mod *latencyModel) learnGap(gap float64) {
	mod.gapSamples++
	mod.meanGap += max(latencyWeight, 1/float64(mod.gapSamples)) * (gap - mod.meanGap)
}

// expectedHold returns the mean time that a run occupies its slot, in seconds.
func (mod *latencyModel) expectedHold() float64 {
	if mod.holdSamples == 0 {
		return defaultHold.Seconds()
	}
	return mod.meanHold
}

// learnHold includes the time that one run occupied its slot, in seconds on the fastest target.
func (mod *latencyModel) learnHold(took float64) {
	mod.holdSamples++
	mod.meanHold += max(holdWeight, 1/float64(mod.holdSamples)) * (took - mod.meanHold)
}

// scale multiplies the times to first events and between events by a factor, after the paces of
// the targets have been divided by the same factor. meanHold is not scaled.
func (mod *latencyModel) scale(factor float64) {
	mod.sumY *= factor
	mod.sumXY *= factor
	mod.meanGap *= factor
}

// seconds converts a number of seconds to a duration. The number is bounded so that the conversion
// cannot overflow.
func seconds(value float64) time.Duration {
	return time.Duration(math.Min(value, math.MaxInt32) * float64(time.Second))
}
