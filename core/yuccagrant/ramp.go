package yuccagrant

import "time"

const (
	// untriedWait is how long a leader leaves a new target of another data centre to the leader there. If all leaders
	// began with the target at once, each with one request, a target with few slots would get more than it can take.
	untriedWait = 600 * time.Millisecond
	// maxTrialBackoff bounds the time for which a target that failed gets no requests from the leader of its data centre.
	// That leader tries it for all others, with one request at a time.
	maxTrialBackoff = time.Second
)

// beginRamp bounds the runs on a target that has just started by a window.
func (tgt *targetState) beginRamp(now time.Time) {
	if !tgt.Ramped {
		return
	}
	tgt.window.Begin(now)
	if tgt.OtherCentre {
		tgt.untriedUntil = now.Add(untriedWait)
	}
}

// failRamp bounds the runs on a target that failed to one at a time until it answers.
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

// recordTried records whether the leader of the target's own data centre has learned its pace. Once it has, this leader
// sends requests to the target too.
func (tgt *targetState) recordTried(tried bool) {
	if tried && !tgt.tried && tgt.Ramped {
		tgt.untriedUntil, tgt.backoffUntil = time.Time{}, time.Time{}
	}
	tgt.tried = tried
}

// withinWindow reports whether the target's window allows one more run.
func (tgt *targetState) withinWindow(now time.Time) bool {
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
