package yuccagrant

import (
	"math"
	"time"
)

// grantSlots grants slots to waiting requests, the most urgent tier first.
//
// Within a tier requests are ordered by expected work: a request that occupies its slot briefly
// goes before a longer one, and before one of a more urgent rank if it is shorter by more than
// the factor between the ranks. Requests that can still be on time go before late ones. A
// request that has waited for long is no longer overtaken by less urgent ones.
func (lead *Leader) grantSlots(now time.Time, dec *Decisions) {
	for _, tier := range lead.queue.tiers {
		effectiveRank, found := tier.starved(now)
		if !found {
			lead.grantTier(now, tier, anyRank, dec)
			continue
		}
		lead.grantTier(now, tier, func(entry *queueEntry) bool { return entry.effectiveRank() <= effectiveRank }, dec)
		lead.grantTier(now, tier, func(entry *queueEntry) bool { return entry.effectiveRank() > effectiveRank }, dec)
	}
}

func anyRank(*queueEntry) bool { return true }

// grantTier grants slots to the eligible requests of one tier.
func (lead *Leader) grantTier(now time.Time, tier *tierQueue, eligible func(*queueEntry) bool, dec *Decisions) {
	for _, onTime := range []bool{true, false} {
		missed := 0
		for at := 0; at < len(tier.entries) && missed < maxMisses; {
			entry := tier.entries[at]
			switch {
			case entry.onTime(now) != onTime || !eligible(entry):
				at++
			case !lead.tryGrant(now, entry, dec):
				at++
				missed++
			}
		}
	}
}

// tryGrant grants a request its best target and reports whether it did. A request that can
// still be on time waits instead of taking a target where it would be late, if a better one is
// likely to become free in time.
func (lead *Leader) tryGrant(now time.Time, entry *queueEntry, dec *Decisions) bool {
	best := lead.chooseTarget(now, &entry.Request)
	if best.targetState == nil {
		return false
	}
	if !best.suitable && entry.onTime(now) && lead.worthWaiting(now, &entry.Request) {
		return false
	}
	lead.queue.remove(entry.ID)
	lead.sizeStats.learn(entry.effectiveRank(), entry.expectedWork, true)
	busySlots := best.targetState.busySlots(now)
	lead.addRun(now, best.targetState, entry.Request)
	dec.Grants = append(dec.Grants, Grant{ID: entry.ID, Target: best.targetState.Name, ExpectedFirst: best.expectedFirst, Busy: busySlots})
	return true
}

// worthWaiting reports whether a target that is suitable for the request is likely to have a
// free slot while the request can still be on time.
func (lead *Leader) worthWaiting(now time.Time, req *Request) bool {
	wait := lead.nextFreeSlot(now)
	base := lead.baseline(req)
	for _, tgt := range lead.targets {
		if tgt.backingOff(now) || tgt.failedBefore(req) {
			continue
		}
		candidate := lead.estimate(now, tgt, req, &base)
		if candidate.suitable && candidate.expectedFirst+wait <= time.Duration(softDeadlineShare*float64(req.SoftDeadline.Sub(now))) {
			return true
		}
	}
	return false
}

// nextFreeSlot returns the mean time until a slot becomes free.
func (lead *Leader) nextFreeSlot(now time.Time) time.Duration {
	return lead.estimatedWait(now, lead.latencyModel.expectedHold())
}

// estimatedWait returns how long the targets take for the given work, which is in seconds of one
// slot of the fastest target.
func (lead *Leader) estimatedWait(now time.Time, work float64) time.Duration {
	return seconds(work / max(lead.slotCapacity(now), 0.5))
}

// newEntry returns a queue entry for a request.
func (lead *Leader) newEntry(now time.Time, req Request) *queueEntry {
	expectedWork := lead.expectedWork(&req)
	weight := math.Pow(rankFactor, float64(req.effectiveRank()))
	return &queueEntry{Request: req, submitted: now, expectedWork: expectedWork, sortKey: weight * lead.sizeStats.orderingWork(req.effectiveRank(), expectedWork)}
}

// expectedWork returns how long a run is expected to occupy a slot of the fastest target, in
// seconds.
func (lead *Leader) expectedWork(req *Request) float64 {
	events, known := lead.lengthModel.events(req)
	if req.MaxGap <= 0 || !known {
		return lead.latencyModel.expectedHold()
	}
	return lead.expectedFirst(req) + lead.latencyModel.gap()*max(events-1, 0)
}

// expectedFirst returns the expected time to the first event on the fastest target, in seconds.
func (lead *Leader) expectedFirst(req *Request) float64 {
	return lead.latencyModel.expectedFirst(req.Prompt).Seconds() * lead.lengthModel.firstRatio(req.Class)
}

func (lead *Leader) addRun(now time.Time, tgt *targetState, request Request) *activeRun {
	base := lead.baseline(&request)
	run := &activeRun{request: request, targetState: tgt, sent: now, expected: lead.estimate(now, tgt, &request, &base).expectedFirst}
	lead.runs[request.ID] = run
	tgt.runs[request.ID] = run
	return run
}

func (lead *Leader) removeRun(run *activeRun) {
	delete(lead.runs, run.request.ID)
	delete(run.targetState.runs, run.request.ID)
}
