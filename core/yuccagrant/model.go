package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// model is what an answer takes on the quickest targets of a pool: a first event after a
// time that grows with the prompt, and then one event after the other.
type model struct {
	// The sums of a least-squares line through (prompt, first event), which forget.
	weight, sumX, sumY, sumXX, sumXY float64
	seen                             int
	event                            float64
	events                           int
	hold                             float64
	holds                            int
}

// first returns the expected time to the first event.
func (mod *model) first(prompt yuccaid.Tokens) time.Duration {
	base, slope := mod.line()
	return seconds(base + slope*float64(prompt))
}

// line returns the line's constant and its slope, in seconds and seconds for a token.
// While the prompts seen are alike the slope stays at its guess, and it never falls below
// zero: a longer prompt takes no less time.
func (mod *model) line() (base, slope float64) {
	if mod.weight == 0 {
		return firstGuess.Seconds(), promptGuess.Seconds()
	}
	meanX, meanY := mod.sumX/mod.weight, mod.sumY/mod.weight
	spread := mod.sumXX/mod.weight - meanX*meanX
	slope = promptGuess.Seconds()
	if meanX == 0 {
		return meanY, 0
	}
	if mod.weight >= 3 && spread > 0.05*meanX*meanX {
		slope = max((mod.sumXY/mod.weight-meanX*meanY)/spread, 0)
	}
	return max(meanY-slope*meanX, 0), slope
}

func (mod *model) learnFirst(prompt yuccaid.Tokens, took float64) {
	keep := 1 - modelWeight
	x := float64(prompt)
	mod.weight = mod.weight*keep + 1
	mod.sumX = mod.sumX*keep + x
	mod.sumY = mod.sumY*keep + took
	mod.sumXX = mod.sumXX*keep + x*x
	mod.sumXY = mod.sumXY*keep + x*took
	mod.seen++
}

// gap returns the expected time between two events, in seconds.
func (mod *model) gap() float64 {
	if mod.events == 0 {
		return eventGuess.Seconds()
	}
	return mod.event
}

func (mod *model) learnEvent(gap float64) {
	mod.events++
	mod.event += max(modelWeight, 1/float64(mod.events)) * (gap - mod.event)
}

// held returns how long a run holds its place on average, in seconds.
func (mod *model) held() float64 {
	if mod.holds == 0 {
		return holdGuess.Seconds()
	}
	return mod.hold
}

func (mod *model) learnHold(took float64) {
	mod.holds++
	mod.hold += max(holdWeight, 1/float64(mod.holds)) * (took - mod.hold)
}

// scale changes the unit of pace: all times become factor times as long.
func (mod *model) scale(factor float64) {
	mod.sumY *= factor
	mod.sumXY *= factor
	mod.event *= factor
}

func seconds(value float64) time.Duration {
	return time.Duration(math.Min(value, math.MaxInt32) * float64(time.Second))
}
