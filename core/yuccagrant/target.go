package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaramp"
	"yuccacleat/core/yuccaspeed"
)

// targetState is a target as configured, together with its runs and what the leader has learned
// of it.
type targetState struct {
	Target
	// groupIndex is the index of the target's group in presence.groups.
	groupIndex int
	// totalSlots is the number of the target's slots. The embedded Slots is set to this leader's
	// share of them.
	totalSlots int
	runs       map[ID]*activeRun
	// overdueAt is when the first of the runs that haven't started becomes overdue, zero if all have started.
	overdueAt time.Time
	// pace is how many times longer the target takes than the fastest one, learned from
	// paceSamples answers.
	pace        float64
	paceSamples int
	// lateFraction is the fraction of the target's answers that had a gap longer than MaxGap,
	// and failureRate the fraction of its runs that failed.
	lateFraction float64
	failureRate  float64
	// backoffUntil is the time before which the target gets no requests because of a failure.
	backoffUntil        time.Time
	consecutiveFailures int
	// failedAt is when the last such failure was recorded, and lastGoodSend when the last run was sent of
	// those that have begun to answer.
	failedAt, lastGoodSend time.Time
	// unaccounted is the number of runs that the target reported beyond the runs that the leaders
	// know of, reduced by unaccountedSlack. These runs count as occupied slots until
	// unaccountedUntil.
	unaccounted      int
	unaccountedUntil time.Time
	// otherCentreRuns is the number of runs on this target that the leaders of other data
	// centres reported.
	otherCentreRuns int
	// assumedOtherRuns is the number of runs that the leaders of other data centres are assumed to
	// have on this target; see Leader.spreadOtherRuns.
	assumedOtherRuns int
	// overcommit is how many requests beyond the slots may be sent to the target.
	overcommit int
	// speed is what the target last stated about how long work takes there.
	speed yuccaspeed.Reading
	// cache is an estimate of the parts of prompts that the target holds. held is how many tokens of
	// the prompt of one request it holds. held belongs to the request for which the leader's
	// generation was heldGeneration.
	cache          yuccacache.Model
	held           yuccaid.Tokens
	heldGeneration uint64
	// bias is a small random number that differs from leader to leader. The target's cost is
	// increased by bias times the expected time to the first event without a wait for a slot.
	// Otherwise all leaders that have not learned anything yet would send their first requests to
	// the same target.
	bias float64
	// cold is what is known of whether the target is cold, and sends when this leader sent it requests.
	// reportedSends is when another leader did, as that one has reported. tookOverAt is Leader.tookOverAt.
	cold          yuccacold.State
	sends         yuccacold.Sends
	reportedSends yuccacold.Sends
	tookOverAt    time.Time
	// window bounds the runs that haven't begun while it isn't known how many the target can take.
	// tried reports that the leader of the target's own data centre has learned its pace. Until then, but
	// no longer than untriedUntil, this leader sends nothing to a new target of another data centre.
	window       yuccaramp.Window
	untriedUntil time.Time
	tried        bool
}

// activeRun is a request that was sent to a target and has not finished. started reports that the
// first event of its answer has come. dueAfter is the time from sending to the first event that was
// expected when the request was sent.
type activeRun struct {
	request     Request
	targetState *targetState
	sent        time.Time
	started     bool
	dueAfter    time.Duration
	// unread is how many tokens of the prompt the target had to read when the request was sent, as
	// far as was known.
	unread yuccaid.Tokens
	// held is how many tokens of the prompt the target held when the request was sent. fetchFrom is the
	// target from which it fetches more, empty if it fetches none, and fetchTime the expected time to
	// do so.
	held      yuccaid.Tokens
	fetchFrom yuccaid.Target
	fetchTime time.Duration
	// speed is what the target had stated about its speed when the request was sent.
	speed yuccaspeed.Reading
	// undelayed reports that the target had a free slot and read no other prompt when the request was
	// sent, and that it fetches no parts, so that the time to the first event tells its pace.
	undelayed bool
	// ahead is how many tokens of the prompts of other runs the target had to read first.
	ahead yuccaid.Tokens
}

// overdueAt returns when the run becomes overdue unless it starts before.
func (run *activeRun) overdueAt() time.Time {
	return run.sent.Add(time.Duration(overdueRatio*float64(run.dueAfter)) + overdueSlack)
}

func newTargetState(target Target, bias, pace float64) *targetState {
	return &targetState{
		Target: target,
		runs:   make(map[ID]*activeRun),
		pace:   pace,
		bias:   bias,
		cache:  yuccacache.New(0, 0),
	}
}

// keepSends takes over what is known of the target's former process, nil if there was none, that holds for the new one:
// the requests sent to the target, and whether it is cold until it registers.
func (tgt *targetState) keepSends(former *targetState) {
	if former != nil {
		tgt.cold, tgt.sends, tgt.reportedSends = former.cold, former.sends, former.reportedSends
	}
}

// configure sets the target as configured now. addedLater reports whether the leader has had targets before.
func (tgt *targetState) configure(now time.Time, target Target, addedLater bool) {
	tgt.cold.Register(now, target.Budget.Limit, target.Cold, addedLater)
	tgt.Target = target
	tgt.totalSlots = target.Slots
}

// load returns what is reported to other leaders about the target.
func (tgt *targetState) load() TargetLoad {
	load := TargetLoad{Runs: len(tgt.runs), OtherCentre: tgt.OtherCentre}
	if tgt.paceSamples >= minPaceSamples && !tgt.window.Failed() {
		load.Pace = tgt.pace
	}
	return load
}

// busySlots returns how many slots of the target are occupied, as far as is known.
func (tgt *targetState) busySlots(now time.Time) int {
	sum := len(tgt.runs) + tgt.assumedOtherRuns
	if now.Before(tgt.unaccountedUntil) {
		sum += tgt.unaccounted
	}
	return sum
}

// pendingPrefill returns how many tokens the target still has to read of the prompts of runs that have
// not begun. An engine reads one prompt after the other, so the first event of a further run comes
// only after these have been read. slope is the time to read a token on the fastest target, in
// seconds.
func (tgt *targetState) pendingPrefill(now time.Time, slope float64) yuccaid.Tokens {
	sum, earliest := yuccaid.Tokens(0), now
	for _, run := range tgt.runs {
		if run.started {
			continue
		}
		sum += run.unread
		if run.sent.Before(earliest) {
			earliest = run.sent
		}
	}
	if sum == 0 || slope <= 0 {
		return 0
	}
	readSince := now.Sub(earliest).Seconds() / (slope * tgt.pace)
	return yuccaid.Tokens(max(float64(sum)-readSince, 0))
}

func (tgt *targetState) freeSlots(now time.Time) int {
	return max(tgt.Slots-tgt.busySlots(now), 0)
}

// grantableSlots returns how many more requests may be sent to the target. A few requests beyond
// the target's slots may wait in the target's own queue, so that a slot that becomes free is not
// idle until the leader learns of it. More requests must not wait there, because the target's queue
// ignores ranks.
func (tgt *targetState) grantableSlots(now time.Time) int {
	if tgt.heldBack(now) != yuccaallow.Allowed {
		return 0
	}
	return max(tgt.maxRuns()-tgt.busySlots(now), 0)
}

// maxRuns returns how many runs the target may have: its slots, and the few that may wait in its own
// queue.
func (tgt *targetState) maxRuns() int {
	return tgt.Slots + tgt.overcommit
}

// recordReport compares the load that the target reported with the runs that the leaders know of.
// What the leaders of other data centres reported is slightly older than the target's own report,
// so unaccountedSlack runs of the difference are ignored.
func (tgt *targetState) recordReport(now time.Time, load ReportedLoad) {
	if !load.Known {
		return
	}
	tgt.unaccounted = max(load.Running+load.Waiting-len(tgt.runs)-tgt.otherCentreRuns-unaccountedSlack, 0)
	tgt.unaccountedUntil = now.Add(unaccountedTTL)
}

// backingOff reports whether the target gets no requests at present.
//
// A target that hangs or drops requests fails each request only after a long time. A target that
// refuses connections fails each request at once, and so always looks idle. Either target would
// attract request after request. One failure causes a short backoff and consecutive failures cause
// longer ones. While a run is overdue, its target gets no other requests until the first event of
// the run or until the run finishes.
func (tgt *targetState) backingOff(now time.Time) bool {
	return now.Before(tgt.backoffUntil) || !tgt.overdueAt.IsZero() && now.After(tgt.overdueAt)
}

// updateOverdue sets overdueAt after one of the target's runs has been added, changed or removed.
func (tgt *targetState) updateOverdue() {
	tgt.overdueAt = time.Time{}
	for _, run := range tgt.runs {
		if at := run.overdueAt(); !run.started && (tgt.overdueAt.IsZero() || at.Before(tgt.overdueAt)) {
			tgt.overdueAt = at
		}
	}
}

// backOff records a failure after which the target gets no requests for a while.
func (tgt *targetState) backOff(now time.Time) {
	tgt.consecutiveFailures++
	tgt.backoffUntil = now.Add(min(backoffAfter(tgt.consecutiveFailures), tgt.maxBackoff()))
}

// backoffAfter returns the backoff after the given number of consecutive failures.
func backoffAfter(failures int) time.Duration {
	// The shift is bounded because the backoff would otherwise overflow.
	return min(minBackoff<<min(failures-1, 8), maxBackoff)
}

func (tgt *targetState) learnFailure(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	tgt.failureRate += failureWeight * (sample - tgt.failureRate)
}

// learnPace includes one answer in the target's pace. ratio is the time that the answer took,
// divided by the time expected on the fastest target. weight depends on the kind of answer: the
// time between two events depends mostly on the target, but the duration of an answer with a
// single event depends as much on the request.
func (tgt *targetState) learnPace(ratio, weight float64) {
	ratio = min(max(ratio, 1/maxPace), maxPace)
	tgt.paceSamples++
	tgt.pace += max(weight, 1/float64(tgt.paceSamples)) * (ratio - tgt.pace)
}

// adoptPace sets the target's pace to a pace that another leader has learned, and reports whether
// the pace was set. It is not set if this leader has enough samples of its own, or if the given
// pace is zero, which means unknown.
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

// TargetStatus is the state of a target that a leader shows to operators. Slowness is how many times as
// long as usual work is expected to take there now, and Tripped reports that the target is tried by one
// request at a time.
type TargetStatus struct {
	Target       yuccaid.Target `json:"target"`
	Busy         int            `json:"busy"`
	Slots        int            `json:"slots"`
	Pace         float64        `json:"pace"`
	LateFraction float64        `json:"late"`
	FailureRate  float64        `json:"failed"`
	BackingOff   bool           `json:"resting"`
	Slowness     float64        `json:"slowness"`
	Tripped      bool           `json:"tripped"`
	// Cold reports that the target is known to be cold, and HeldBack why the leader sends it nothing at
	// present although it may have free slots, empty if it doesn't hold it back. Window is the bound on
	// the runs that haven't begun, zero if there is none.
	Cold     bool                 `json:"cold,omitempty"`
	HeldBack yuccaallow.Exclusion `json:"heldBack,omitempty"`
	Window   int                  `json:"window,omitempty"`
}
