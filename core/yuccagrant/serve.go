package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// grantSlots grants slots to waiting requests, the most urgent tier first.
//
// Within a tier, requests of the same rank are ordered by expected work, the least first. A less
// urgent request goes before a more urgent request only if its expected work is less by more than a
// factor of rankFactor for each rank between them. A request that is late is ordered as if it were one
// rank less urgent. Once a request is starved, all requests of its tier with its rank or a
// more urgent rank go before the less urgent requests of the tier.
func (lead *Leader) grantSlots(now time.Time, dec *Decisions) {
	for _, tier := range lead.queue.tiers {
		starvedRank, found := tier.mostUrgentStarved(now)
		if !found {
			lead.grantTier(now, tier, anyRank, dec)
			continue
		}
		lead.grantTier(now, tier, func(entry *queueEntry) bool { return entry.effectiveRank() <= starvedRank }, dec)
		lead.grantTier(now, tier, func(entry *queueEntry) bool { return entry.effectiveRank() > starvedRank }, dec)
	}
}

func anyRank(*queueEntry) bool { return true }

// grantTier grants slots to the eligible requests of one tier in their present order. It ends after
// maxMisses requests that can be on time and as many late ones got no target (see misses).
func (lead *Leader) grantTier(now time.Time, tier *tierQueue, eligible func(*queueEntry) bool, dec *Decisions) {
	lead.grantHeld(now, tier, eligible, dec)
	missed := map[bool]*misses{true: {}, false: {}}
	for _, entry := range tier.ordered(now) {
		ofKind := missed[entry.onTime(now)]
		if !eligible(entry) || ofKind.enough(entry.limits()) {
			continue
		}
		if !lead.tryGrant(now, entry, dec) {
			ofKind.count(entry.limits())
		}
		if missed[true].enough(yuccaallow.Limits{}) && missed[false].enough(yuccaallow.Limits{}) {
			return
		}
	}
}

// tryGrant assigns a request to its best target and reports whether it did.
func (lead *Leader) tryGrant(now time.Time, entry *queueEntry, dec *Decisions) bool {
	best, found := lead.pick(now, entry)
	if found {
		lead.grant(now, entry, best, dec)
	}
	return found
}

// pick returns the best target for a request, and false if it has to wait. A request that can still be on
// time is not assigned to a target where it would be late if a suitable target is likely to have a free slot
// in time.
func (lead *Leader) pick(now time.Time, entry *queueEntry) (best choice, found bool) {
	best = lead.chooseTarget(now, &entry.Request)
	if best.targetState == nil || best.tooSlow {
		return best, false
	}
	return best, best.suitable || !entry.onTime(now) || !lead.worthWaiting(now, &entry.Request)
}

// grant assigns a waiting request to a target.
func (lead *Leader) grant(now time.Time, entry *queueEntry, best choice, dec *Decisions) {
	lead.queue.remove(entry.ID)
	lead.sizeStats.learn(entry.effectiveRank(), entry.expectedWork, true)
	busySlots := best.targetState.busySlots(now)
	run := lead.addRun(now, best.targetState, entry.Request)
	lead.recordGrant(now, best.targetState)
	dec.Grants = append(dec.Grants, Grant{
		ID:                  entry.ID,
		Target:              best.targetState.Name,
		FetchFrom:           run.fetchFrom,
		ExpectedTimeToFirst: best.expectedTimeToFirst,
		Busy:                busySlots,
		Held:                run.held,
	})
}

// worthWaiting reports whether a target that is suitable for the request is likely to have a
// free slot while the request can still be on time.
func (lead *Leader) worthWaiting(now time.Time, req *Request) bool {
	wait := lead.timeToFreeSlot(now, req.limits())
	base := lead.baseline(now, req)
	for _, tgt := range lead.targets {
		if tgt.backingOff(now) || tgt.tripped() || !tgt.mayServe(req) || !tgt.withinBudget(now.Add(wait)) {
			continue
		}
		candidate := lead.estimate(now, tgt, req, &base)
		if candidate.suitable && candidate.expectedTimeToFirst+wait <= time.Duration(softDeadlineShare*float64(req.SoftDeadline.Sub(now))) {
			return true
		}
	}
	return false
}

// timeToFreeSlot returns the mean time until one slot of any target that the limits allow becomes free.
func (lead *Leader) timeToFreeSlot(now time.Time, lim yuccaallow.Limits) time.Duration {
	return seconds(lead.latencyModel.expectedHold() / lead.capacities(now).within(lim))
}

// newEntry returns a queue entry for a request, with its expected work and sort key.
func (lead *Leader) newEntry(now time.Time, req Request) *queueEntry {
	lead.noteFinishable(now, &req)
	expectedWork := lead.expectedWork(&req)
	rankWeight := math.Pow(rankFactor, float64(req.effectiveRank()))
	return &queueEntry{
		Request:      req,
		submitted:    now,
		expectedWork: expectedWork,
		sortKey:      rankWeight * lead.sizeStats.orderingWork(req.effectiveRank(), expectedWork),
	}
}

// expectedWork returns how long a run is expected to occupy a slot of the fastest target, in
// seconds, if it is sent to the target that holds most of its prompt.
func (lead *Leader) expectedWork(req *Request) float64 {
	events, known := lead.lengthModel.expectedEvents(req)
	if req.MaxGap <= 0 || !known {
		return lead.latencyModel.expectedHold()
	}
	return lead.expectedTimeToFirst(req, lead.longestHeld(req)) + lead.latencyModel.gap()*max(events-1, 0)
}

// expectedTimeToFirst returns the expected time to the first event on the fastest target, in
// seconds. The target has to read the prompt without the given number of tokens.
func (lead *Leader) expectedTimeToFirst(req *Request, held yuccaid.Tokens) float64 {
	return lead.latencyModel.expectedTimeToFirst(req.Prompt-held).Seconds() * lead.lengthModel.timeToFirstRatio(req.Class)
}

// addRun counts a request as sent to a target now.
func (lead *Leader) addRun(now time.Time, tgt *targetState, request Request) *activeRun {
	base := lead.baseline(now, &request)
	estimate := lead.estimate(now, tgt, &request, &base)
	run := &activeRun{
		request:     request,
		targetState: tgt,
		sent:        now,
		dueAfter:    estimate.expectedTimeToFirst,
		unread:      request.Prompt - estimate.available.tokens,
		held:        lead.heldTokens(tgt, &request),
		fetchFrom:   estimate.available.from,
		fetchTime:   estimate.available.fetchTime,
		speed:       tgt.speed,
		ahead:       tgt.pendingPrefill(now, base.slope),
	}
	run.undelayed = run.ahead == 0 && run.fetchFrom == "" && tgt.busySlots(now) < tgt.Slots
	lead.recordParts(tgt, &request)
	lead.runs[request.ID] = run
	tgt.runs[request.ID] = run
	tgt.updateOverdue()
	return run
}

func (lead *Leader) removeRun(run *activeRun) {
	delete(lead.runs, run.request.ID)
	delete(run.targetState.runs, run.request.ID)
	run.targetState.updateOverdue()
}
