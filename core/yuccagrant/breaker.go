package yuccagrant

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// tripFailures is the number of consecutive failures after which a target is tried by one request
	// at a time. A target that loses some of its answers seldom has as many.
	tripFailures = 3
	// goodSendTTL is how long after it was sent a run that has begun to answer outweighs the failures that
	// other leaders report.
	goodSendTTL = 500 * time.Millisecond
	// anyTrialAfter is the time after the end of a backoff from which also a request of the most
	// urgent rank may be the one that tries the target.
	anyTrialAfter = time.Second
	// maxTrippedShare is the largest share of a leader's targets whose failures it reports to other
	// leaders. If more fail, the cause is most likely this leader's own network.
	maxTrippedShare = 0.5
)

// TargetFailures tells other leaders how many runs in a row have failed on a target, zero once one
// has begun again.
type TargetFailures struct {
	Target   yuccaid.Target
	Failures int
}

// tripped reports whether so many runs in a row have failed on the target that it is tried by one
// request at a time, as behind a half-open circuit breaker.
//
// A target that resets each connection looks idle once its backoff is over, and would be sent as many
// requests as it has slots, all of which would be lost.
func (tgt *targetState) tripped() bool { return tgt.consecutiveFailures >= tripFailures }

// mayTry reports whether the target may be sent the request as far as its failures are concerned. The
// request that tries a tripped target is likely to be lost, so it is not one of the most urgent rank,
// unless no other has come for anyTrialAfter.
func (lead *Leader) mayTry(now time.Time, tgt *targetState, req *Request) bool {
	if !tgt.tripped() {
		return true
	}
	for _, run := range tgt.runs {
		if !run.started {
			return false
		}
	}
	return now.Sub(tgt.backoffUntil) >= anyTrialAfter || !lead.sizeStats.mostUrgent(req.effectiveRank())
}

// recordBegun records that a run's answer has begun, which ends the count of failures before it was
// sent. Runs that were sent before a failure say nothing about what the target does since.
func (lead *Leader) recordBegun(run *activeRun) {
	tgt := run.targetState
	if run.sent.Before(tgt.failedAt) {
		return
	}
	if run.sent.After(tgt.lastGoodSend) {
		tgt.lastGoodSend = run.sent
	}
	if tgt.tripped() {
		lead.noteFailures(tgt)
	}
	tgt.consecutiveFailures = 0
}

// recordFailure records a failure after which a target gets no requests for a while.
func (lead *Leader) recordFailure(now time.Time, tgt *targetState) {
	tgt.backOff(now)
	tgt.failedAt = now
	if tgt.tripped() {
		lead.noteFailures(tgt)
	}
}

// noteFailures records that the failures of a target are to be reported to other leaders.
func (lead *Leader) noteFailures(tgt *targetState) {
	if lead.newFailures == nil {
		lead.newFailures = make(map[yuccaid.Target]bool)
	}
	lead.newFailures[tgt.Name] = true
}

// TakeFailures returns what has changed since the last call about targets that are tried by one
// request at a time, for the leaders of other data centres.
func (lead *Leader) TakeFailures() []TargetFailures {
	if len(lead.newFailures) == 0 {
		return nil
	}
	tripped := 0
	for _, tgt := range lead.targets {
		if tgt.tripped() {
			tripped++
		}
	}
	var list []TargetFailures
	for name := range lead.newFailures {
		tgt, found := lead.targetsByName[name]
		if !found || tgt.tripped() && float64(tripped) > maxTrippedShare*float64(len(lead.targets)) {
			continue
		}
		failures := tgt.consecutiveFailures
		if !tgt.tripped() {
			failures = 0
		}
		list = append(list, TargetFailures{Target: name, Failures: failures})
	}
	clear(lead.newFailures)
	slices.SortFunc(list, func(a, b TargetFailures) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// AddFailures applies what another leader reports about targets that are tried by one request at a time,
// so that not every leader loses requests there.
func (lead *Leader) AddFailures(now time.Time, reports []TargetFailures) Decisions {
	var dec Decisions
	for _, report := range reports {
		tgt, found := lead.targetsByName[report.Target]
		switch {
		case !found || now.Sub(tgt.lastGoodSend) < goodSendTTL:
		case report.Failures > 0:
			lead.addFailure(now, tgt, report.Failures)
		case tgt.tripped():
			tgt.consecutiveFailures, tgt.backoffUntil = 0, now
		}
	}
	lead.grantSlots(now, &dec)
	return dec
}

// addFailure has a target back off because of the failures that another leader reports. This leader waits longer
// than that one, which tries the target first and tells when it serves again. The leader of the target's own
// data centre goes on trying it for all.
func (lead *Leader) addFailure(now time.Time, tgt *targetState, failures int) {
	tgt.consecutiveFailures = max(tgt.consecutiveFailures, failures)
	wait := time.Duration((1 + lead.rng.Float64()) * float64(backoffAfter(failures)))
	if !tgt.OtherCentre {
		wait = min(wait, tgt.maxBackoff())
	}
	if until := now.Add(wait); until.After(tgt.backoffUntil) {
		tgt.backoffUntil = until
	}
}
