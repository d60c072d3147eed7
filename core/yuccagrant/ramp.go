package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
)

// untriedWait is how long a leader leaves a new target of another data centre to the leaders there. If all leaders began
// with the target at once, each with one request, a target with few slots would get more than it can take.
const untriedWait = 1500 * time.Millisecond

// maxTrialBackoff bounds the time for which a target that failed gets no requests from the leader of its data centre. That
// leader tries it for all others, with one request at a time.
const maxTrialBackoff = time.Second

// beginRamp bounds the runs on a target that has just started.
func (tgt *targetState) beginRamp(now time.Time) {
	if !tgt.Ramped {
		return
	}
	tgt.window.Begin(now)
	if tgt.OtherCentre {
		tgt.untriedUntil = now.Add(untriedWait)
	}
}

// failRamp bounds the runs on a target that failed, until it answers.
func (tgt *targetState) failRamp(now time.Time) {
	if tgt.Ramped {
		tgt.window.Fail(now)
	}
}

// maxBackoff returns the longest time for which the target gets no requests because it failed.
func (tgt *targetState) maxBackoff() time.Duration {
	if tgt.Ramped && !tgt.OtherCentre {
		return maxTrialBackoff
	}
	return maxBackoff
}

// recordTried records whether the leader of the target's data centre knows its pace. As soon as it does, the target gets
// requests of this leader too.
func (tgt *targetState) recordTried(tried bool) {
	if tried && !tgt.tried && tgt.Ramped {
		tgt.untriedUntil, tgt.backoffUntil = time.Time{}, time.Time{}
	}
	tgt.tried = tried
}

// withinWindow reports whether the target may get one more run as far as is known of what it can take.
func (tgt *targetState) withinWindow(now time.Time) bool {
	if now.Before(tgt.untriedUntil) {
		return false
	}
	if tgt.window.Size(now) == 0 {
		return true
	}
	waiting := 0
	for _, run := range tgt.runs {
		if !run.started {
			waiting++
		}
	}
	return tgt.window.Allows(now, waiting)
}

// recordAnswer records that a run on the target began to answer after the given time.
func (tgt *targetState) recordAnswer(now time.Time, run *activeRun, took time.Duration) {
	tgt.cold.Answered(now, run.sent, tgt.Budget.Limit)
	tgt.window.Answer(now, took, run.dueAfter, tgt.maxRuns())
}

// heldBack returns why nothing is sent to the target, although it is neither full nor backing off, or
// yuccaallow.Allowed.
func (tgt *targetState) heldBack(now time.Time) yuccaallow.Exclusion {
	switch {
	case !tgt.withinBudget(now):
		return Cold
	case now.Before(tgt.untriedUntil):
		return Untried
	case !tgt.withinWindow(now):
		return Window
	}
	return yuccaallow.Allowed
}
