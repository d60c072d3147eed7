package yuccagrant

import "time"

// recordSpeed takes in how long the target of a run says that work takes there now.
func (lead *Leader) recordSpeed(now time.Time, run *activeRun, load ReportedLoad) {
	tgt := run.targetState
	tgt.speed = lead.speeds.Read(now, tgt.speed, load.Slowness)
}

// slowness returns how many times as long as usual work that begins now is expected to take on a
// target. It multiplies the target's pace, which is learned from many answers and says nothing of the
// moment.
func (lead *Leader) slowness(now time.Time, tgt *targetState) float64 {
	return float64(lead.speeds.Factor(now, tgt.speed))
}

// usualTime returns how long something that took the given time, in seconds, would have taken at the
// usual speed, if it ended now. What is learned from it is then no slower for a slow moment.
func (lead *Leader) usualTime(now time.Time, tgt *targetState, took float64) float64 {
	if !tgt.speed.Known() {
		return took
	}
	middle := tgt.speed.At.Add(now.Sub(tgt.speed.At) / 2)
	return took / float64(lead.speeds.Factor(middle, tgt.speed))
}

// leastSlowness is a lower bound of slowness.
func (lead *Leader) leastSlowness() float64 { return float64(lead.speeds.Least()) }

// learnSpeed takes in how long a run took to begin, as a ratio to what was expected at the usual speed,
// to find out how far the figures can be trusted.
func (lead *Leader) learnSpeed(run *activeRun, ratio float64) {
	lead.speeds.Learn(run.sent, run.speed, ratio)
}

// SpeedTrust returns how far the times that targets state for their work explain how long it takes, from 0
// to 1.
func (lead *Leader) SpeedTrust() float64 { return lead.speeds.Trust() }
