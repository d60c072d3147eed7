package yuccagrant

import (
	"math"
	"time"
)

// learnTimeToFirst includes the time to a run's first event in the pool's latency model, as the time
// for the tokens that the target had to read for this run and before it, and in the target's pace if
// the answer has a single event or tells the pace by its beginning. The latency model leaves out the
// times of answers of several events whose class announces wrong prompt lengths, and of runs whose fetch
// may have saved nothing. The pace isn't learned until the latency model includes two times, because the
// first time only defines the model.
func (lead *Leader) learnTimeToFirst(now time.Time, run *activeRun, took time.Duration) {
	targetTime := max(took-run.targetState.RoundTrip, time.Millisecond).Seconds()
	if run.fetchFrom != "" {
		lead.learnFetch(run, targetTime)
		targetTime = max(targetTime-run.fetchTime.Seconds(), time.Millisecond.Seconds())
	}
	expected := max(lead.latencyModel.expectedTimeToFirst(run.unread+run.ahead), time.Millisecond).Seconds()
	lead.learnSpeed(run, targetTime/run.targetState.pace/expected)
	targetTime = lead.usualTime(now, run.targetState, targetTime)
	promptReliable := run.request.MaxGap == 0 || lead.lengthModel.learnTimeToFirst(run.request.Class, targetTime/run.targetState.pace/expected)
	if promptReliable && (run.fetchFrom == "" || lead.fetches.reliable()) {
		lead.latencyModel.learnTimeToFirst(run.unread+run.ahead, targetTime/run.targetState.pace)
	}
	if lead.latencyModel.firstSamples > 1 && (run.request.MaxGap == 0 || promptReliable && run.tellsPace()) {
		run.targetState.learnPace(targetTime/expected, singlePaceWeight)
		lead.notePaceChange(run.targetState)
	}
}

// tellsPace reports whether the pace of the target is learned from the beginning of an answer of several
// events. That is less exact than the gaps between the events, but a slow target takes seconds for its
// first answer, and would be sent many requests meanwhile.
func (run *activeRun) tellsPace() bool {
	return run.undelayed && run.targetState.paceSamples == 0
}

// learnFetch learns from the time to the first event of a run that fetched parts of its prompt.
func (lead *Leader) learnFetch(run *activeRun, targetTime float64) {
	withFetch := run.targetState.pace*lead.latencyModel.expectedTimeToFirst(run.unread+run.ahead).Seconds() + run.fetchTime.Seconds()
	withoutFetch := run.targetState.pace * lead.latencyModel.expectedTimeToFirst(run.request.Prompt-run.held+run.ahead).Seconds()
	if withoutFetch > withFetch {
		lead.fetches.learn(targetTime, withFetch, withoutFetch)
	}
}

// recordOutcome learns from the outcome of a run.
func (lead *Leader) recordOutcome(now time.Time, run *activeRun, result Finished) {
	tgt := run.targetState
	if result.Outcome != Served && !run.started {
		lead.forgetParts(run)
	}
	switch result.Outcome {
	case Served:
		lead.learnServed(now, run, result)
	case Failed:
		// The target answered, so earlier failures to reach it no longer count.
		lead.recordBegun(run)
		tgt.learnFailure(true)
	case Rejected:
		// A target that is full gets no requests for half of minBackoff, however often it
		// rejects them.
		tgt.cold.Answered(now, run.sent, tgt.Budget.Limit)
		tgt.window.Shrink(now)
		tgt.learnFailure(true)
		tgt.backoffUntil = now.Add(minBackoff / 2)
	case Broken:
		tgt.learnFailure(true)
		lead.learnGap(now, run, result)
	case Unreachable, Lost, Misdirected:
		if result.Outcome == Unreachable {
			tgt.cold.Unreachable(now)
		}
		tgt.failRamp(now)
		tgt.learnFailure(true)
		lead.recordFailure(now, tgt)
	case Dropped:
		// The outcome says nothing about the target, but what came of the answer tells its pace.
		lead.learnGap(now, run, result)
	}
}

// learnGap learns from the gaps between the events of an answer, whether it is complete or not. If only
// complete answers counted, nothing would be learned from those that a slow target doesn't complete in
// time.
func (lead *Leader) learnGap(now time.Time, run *activeRun, result Finished) {
	tgt := run.targetState
	if result.Events <= minPaceEvents || result.Span <= 0 {
		return
	}
	gap := lead.usualTime(now, tgt, result.Span.Seconds()) / float64(result.Events-1)
	expected := lead.latencyModel.gap()
	lead.latencyModel.learnGap(gap / tgt.pace)
	if lead.latencyModel.gapSamples > 1 {
		tgt.learnPace(gap/expected, streamPaceWeight)
		lead.notePaceChange(tgt)
	}
}

// learnServed learns from a run that was served: how long it occupied its slot, the length of
// its answer, and the gaps between its events.
func (lead *Leader) learnServed(now time.Time, run *activeRun, result Finished) {
	tgt := run.targetState
	lead.recordBegun(run)
	tgt.learnFailure(false)
	lead.latencyModel.learnHold(now.Sub(run.sent).Seconds() / tgt.pace)
	if run.request.MaxGap > 0 {
		lead.lengthModel.learnAnswer(&run.request, result.Events)
	}
	lead.learnGap(now, run, result)
	if run.request.MaxGap > 0 {
		tgt.learnLateGap(result.LongestGap > run.request.MaxGap)
	}
}

// notePaceChange records that the pace of a target has changed, so that the paces are normalised
// at the next Tick, and lowers the bound on the cost of targets in other regions if needed.
func (lead *Leader) notePaceChange(tgt *targetState) {
	lead.pacesChanged = true
	lead.remoteBound.minPace = min(lead.remoteBound.minPace, tgt.pace)
}

// normalisePaces scales the paces and the latency model so that the fastest known target has a
// pace of 1. Answers determine only the product of pace and modelled latency, so both could
// drift in opposite directions otherwise. Deviations of less than 2% are left alone.
func (lead *Leader) normalisePaces() {
	if !lead.pacesChanged {
		return
	}
	lead.pacesChanged = false
	lowestPace := math.Inf(1)
	for _, tgt := range lead.targets {
		if tgt.paceSamples >= minPaceSamples {
			lowestPace = min(lowestPace, tgt.pace)
		}
	}
	if math.IsInf(lowestPace, 1) || math.Abs(lowestPace-1) < 0.02 {
		return
	}
	for _, tgt := range lead.targets {
		tgt.pace /= lowestPace
	}
	lead.remoteBound.configure(lead.targets)
	lead.latencyModel.scale(lowestPace)
}
