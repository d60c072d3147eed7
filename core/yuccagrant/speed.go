package yuccagrant

import "time"

// recordSpeed records the slowness that the target of a run states.
func (lead *Leader) recordSpeed(now time.Time, run *activeRun, load ReportedLoad) {
	tgt := run.targetState
	tgt.speed = lead.speeds.Observe(now, tgt.speed, load.Slowness)
}

// slowness returns how many times as long as usual work that begins now is expected to take on a
// target. It multiplies the target's pace, which is a mean over many answers.
func (lead *Leader) slowness(now time.Time, tgt *targetState) float64 {
	return float64(lead.speeds.Factor(now, tgt.speed))
}

// usualTime returns how long something that took the given time, in seconds, and ended now would have
// taken at the usual speed, so that a slow moment doesn't make the learned pace slower.
func (lead *Leader) usualTime(now time.Time, tgt *targetState, took float64) float64 {
	if !tgt.speed.Known() {
		return took
	}
	middle := tgt.speed.At.Add(now.Sub(tgt.speed.At) / 2)
	return took / float64(lead.speeds.Factor(middle, tgt.speed))
}

// leastSlowness is a lower bound of slowness.
func (lead *Leader) leastSlowness() float64 { return float64(lead.speeds.Least()) }

// learnSpeed records how long a run took to begin, as a ratio to what was expected at the usual speed, from
// which the model learns how far stated figures can be trusted.
func (lead *Leader) learnSpeed(run *activeRun, ratio float64) {
	lead.speeds.Learn(run.sent, run.speed, ratio)
}

// SpeedTrust returns how far the times that targets state for their work explain how long it takes, from 0
// to 1.
func (lead *Leader) SpeedTrust() float64 { return lead.speeds.Trust() }
