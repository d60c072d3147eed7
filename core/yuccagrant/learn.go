package yuccagrant

import (
	"math"
	"time"
)

// learnFirst includes the time to a first event in the pool's latency model and the target's
// pace.
func (lead *Leader) learnFirst(run *activeRun, took time.Duration) {
	net := max(took-run.targetState.RoundTrip, time.Millisecond).Seconds()
	expected := max(lead.latencyModel.expectedFirst(run.request.Prompt), time.Millisecond).Seconds()
	reliable := run.request.MaxGap == 0 || lead.lengthModel.learnFirst(run.request.Class, net/run.targetState.pace/expected)
	if reliable {
		lead.latencyModel.learnFirst(run.request.Prompt, net/run.targetState.pace)
	}
	if lead.latencyModel.firstSamples > 1 && run.request.MaxGap == 0 {
		run.targetState.learnPace(net/expected, singlePaceWeight)
		lead.notePaceChange(run.targetState)
	}
}

// recordOutcome learns from the outcome of a run.
func (lead *Leader) recordOutcome(now time.Time, run *activeRun, result Finished) {
	tgt := run.targetState
	switch result.Outcome {
	case Served:
		lead.learnServed(now, run, result)
	case Failed:
		tgt.consecutiveFailures = 0
		tgt.learnFailure(true)
	case Rejected:
		tgt.learnFailure(true)
		tgt.backoffUntil = now.Add(minBackoff / 2)
	case Broken:
		tgt.learnFailure(true)
	case Unreachable, Lost, Misdirected:
		tgt.learnFailure(true)
		tgt.backOff(now)
	case Dropped:
	}
}

func (lead *Leader) learnServed(now time.Time, run *activeRun, result Finished) {
	tgt := run.targetState
	tgt.consecutiveFailures = 0
	tgt.learnFailure(false)
	lead.latencyModel.learnHold(now.Sub(run.sent).Seconds() / tgt.pace)
	if run.request.MaxGap > 0 {
		lead.lengthModel.learnAnswer(&run.request, result.Events)
	}
	if result.Events > minPaceEvents && result.Span > 0 {
		gap := result.Span.Seconds() / float64(result.Events-1)
		expected := lead.latencyModel.gap()
		lead.latencyModel.learnGap(gap / tgt.pace)
		if lead.latencyModel.gapSamples > 1 {
			tgt.learnPace(gap/expected, streamPaceWeight)
			lead.notePaceChange(tgt)
		}
	}
	if run.request.MaxGap > 0 {
		tgt.learnLateGap(result.LongestGap > run.request.MaxGap)
	}
}

// notePaceChange records that the pace of a target has changed.
func (lead *Leader) notePaceChange(tgt *targetState) {
	lead.pacesChanged = true
	lead.remoteBound.pace = min(lead.remoteBound.pace, tgt.pace)
}

// normalisePaces scales the paces and the latency model so that the fastest known target has a
// pace of 1. Answers determine only the product of both, so without it both could drift.
func (lead *Leader) normalisePaces() {
	if !lead.pacesChanged {
		return
	}
	lead.pacesChanged = false
	best := math.Inf(1)
	for _, tgt := range lead.targets {
		if tgt.paceSamples >= minPaceSamples {
			best = min(best, tgt.pace)
		}
	}
	if math.IsInf(best, 1) || math.Abs(best-1) < 0.02 {
		return
	}
	for _, tgt := range lead.targets {
		tgt.pace /= best
	}
	lead.remoteBound.configure(lead.targets)
	lead.latencyModel.scale(best)
}
