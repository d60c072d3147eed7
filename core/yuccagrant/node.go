package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// targetState is a target as configured, and what a leader knows of it.
type targetState struct {
	Target
	// totalSlots is the number of the target's slots; Slots is this leader's share of them.
	totalSlots int
	runs       map[ID]*activeRun
	// pace is how many times longer the target takes than the fastest one, learned from
	// paceSamples answers.
	pace        float64
	paceSamples int
	// lateFraction is the fraction of the target's answers that had a gap longer than MaxGap,
	// and failureRate the fraction of its runs that failed.
	lateFraction float64
	failureRate  float64
	// backoffUntil is until when the target gets no requests after a failure.
	backoffUntil        time.Time
	consecutiveFailures int
	// unaccounted is the number of runs that the target reported beyond those that the leaders
	// know of. It counts until unaccountedUntil.
	unaccounted      int
	unaccountedUntil time.Time
	// remoteRuns is the number of runs that leaders of other data centres reported.
	remoteRuns int
	// bias is a small random share of the cost that differs from leader to leader. Without it
	// all leaders that have not learned anything yet would send their first requests to the
	// same target.
	bias float64
}

// activeRun is a request that was sent to a target. started reports that its first event has
// come, and expected is the time from sending after which it was expected.
type activeRun struct {
	request     Request
	targetState *targetState
	sent        time.Time
	started     bool
	expected    time.Duration
}

func newTargetState(target Target, bias float64) *targetState {
	return &targetState{Target: target, runs: make(map[ID]*activeRun), pace: 1, bias: bias}
}

// setLeaderCount sets Slots to this leader's share of the slots, rounded up.
func (tgt *targetState) setLeaderCount(leaderCount int) {
	tgt.Slots = (tgt.totalSlots + leaderCount - 1) / leaderCount
}

// load returns what is reported to other leaders about the target.
func (tgt *targetState) load() TargetLoad {
	load := TargetLoad{Runs: len(tgt.runs)}
	if tgt.paceSamples >= minPaceSamples {
		load.Pace = tgt.pace
	}
	return load
}

// busySlots returns how many slots of the target are occupied, as far as is known.
func (tgt *targetState) busySlots(now time.Time) int {
	sum := len(tgt.runs) + tgt.remoteRuns
	if now.Before(tgt.unaccountedUntil) {
		sum += tgt.unaccounted
	}
	return sum
}

func (tgt *targetState) freeSlots(now time.Time) int {
	return max(tgt.Slots-tgt.busySlots(now), 0)
}

// grantableSlots returns how many more requests the target may be sent. A few may wait there
// beyond its slots, so that a slot that becomes free is not idle until the leader learns of it.
// More than a few would wait in the target's own queue, which ignores ranks.
func (tgt *targetState) grantableSlots(now time.Time) int {
	return max(tgt.Slots+(tgt.Slots+overcommitDivisor-1)/overcommitDivisor-tgt.busySlots(now), 0)
}

// recordReport records the load that the target reported. The numbers of runs that leaders of
// other data centres reported are slightly older, so a difference of one or two runs is
// ignored.
func (tgt *targetState) recordReport(now time.Time, load ReportedLoad) {
	if !load.Known {
		return
	}
	tgt.unaccounted = max(load.Running+load.Waiting-len(tgt.runs)-tgt.remoteRuns-unaccountedSlack, 0)
	tgt.unaccountedUntil = now.Add(unaccountedTTL)
}

// backingOff reports whether the target gets no requests at present.
//
// A target that hangs or drops requests fails each one after a long time, and a target that
// refuses connections fails each one at once and so always looks idle. Either would attract
// request after request. One failure causes a short backoff, consecutive failures cause longer
// ones, and an overdue run keeps other requests away until its first event or its end.
func (tgt *targetState) backingOff(now time.Time) bool {
	return now.Before(tgt.backoffUntil) || tgt.hasOverdueRun(now)
}

func (tgt *targetState) hasOverdueRun(now time.Time) bool {
	for _, run := range tgt.runs {
		if !run.started && now.Sub(run.sent) > time.Duration(overdueRatio*float64(run.expected))+overdueSlack {
			return true
		}
	}
	return false
}

// backOff records a failure after which the target gets no requests for a while.
func (tgt *targetState) backOff(now time.Time) {
	delay := min(minBackoff<<min(tgt.consecutiveFailures, 8), maxBackoff)
	tgt.consecutiveFailures++
	tgt.backoffUntil = now.Add(delay)
}

func (tgt *targetState) learnFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	tgt.failureRate += failureWeight * (sample - tgt.failureRate)
}

// learnPace includes one answer in the target's pace: ratio is its duration divided by the one
// expected on the fastest target. The weight depends on the kind of answer, because the time
// between events depends mostly on the target and the time to a single answer depends as much
// on the request.
func (tgt *targetState) learnPace(ratio, weight float64) {
	ratio = min(max(ratio, 1/maxPace), maxPace)
	tgt.paceSamples++
	tgt.pace += max(weight, 1/float64(tgt.paceSamples)) * (ratio - tgt.pace)
}

// adoptPace sets the pace to one that another leader has learned, unless this leader has enough
// samples, and reports whether it did.
func (tgt *targetState) adoptPace(pace float64) bool {
	if tgt.paceSamples >= minPaceSamples || pace <= 0 {
		return false
	}
	tgt.pace = pace
	tgt.paceSamples = minPaceSamples
	return true
}

func (tgt *targetState) learnLateGap(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	tgt.lateFraction += lateGapWeight * (sample - tgt.lateFraction)
}

func (tgt *targetState) failedBefore(req *Request) bool {
	for _, name := range req.FailedTargets {
		if name == tgt.Name {
			return true
		}
	}
	return false
}

// TargetStatus is a target as the leader sees it, for operators.
type TargetStatus struct {
	Target       yuccaid.Target `json:"target"`
	Busy         int            `json:"busy"`
	Slots        int            `json:"slots"`
	Pace         float64        `json:"pace"`
	LateFraction float64        `json:"late"`
	FailureRate  float64        `json:"failed"`
	BackingOff   bool           `json:"resting"`
}
