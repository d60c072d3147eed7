package yuccagrant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// cannotMeetDeadline reports whether a waiting request should be refused now because its first
// event is expected too late.
//
// Under overload a queue that accepts all requests makes all of them late. A caller who is refused
// at once and told when to retry loses nothing. But while less urgent requests than the waiting one
// run, the waiting request may wait longer, because the slots of the less urgent requests will
// become free soon. It is then refused only if its first event is expected later than
// lateStartShare of the time to its deadline.
func (lead *Leader) cannotMeetDeadline(now time.Time, entry *queueEntry, caps capacities) bool {
	if lead.latencyModel.holdSamples < minHoldSamples {
		// Too few runs have finished to estimate waiting times.
		return !now.Before(entry.Deadline)
	}
	untilFirst := lead.waitFor(now, entry, caps) + seconds(lead.expectedTimeToFirst(&entry.Request, lead.longestHeld(&entry.Request)))
	if untilFirst <= entry.SoftDeadline.Sub(now)+lateStartSlack {
		return false
	}
	if lead.lessUrgentRunning(&entry.Request) {
		return untilFirst > time.Duration(lateStartShare*float64(entry.Deadline.Sub(now)))
	}
	return true
}

// lessUrgentRunning reports whether a request of a less urgent tier or effective rank than the
// given one is running on a target that the given one may use.
func (lead *Leader) lessUrgentRunning(request *Request) bool {
	for _, run := range lead.runs {
		urgency := cmp.Or(
			cmp.Compare(run.request.Tier, request.Tier),
			cmp.Compare(run.request.effectiveRank(), request.effectiveRank()),
		)
		if urgency > 0 && run.targetState.within(request.limits()) {
			return true
		}
	}
	return false
}

// refuseExpired refuses the waiting requests that are past their deadline, and the waiting requests
// that are past their soft deadline and whose first event is expected too late.
// refuseWithoutTargets does so for a pool without targets.
func (lead *Leader) refuseExpired(now time.Time, dec *Decisions) {
	if lead.queue.len() == 0 {
		return
	}
	if len(lead.targets) == 0 {
		lead.refuseWithoutTargets(now, dec)
		return
	}
	lead.refuseMissing(now, dec)
	var expired []*queueEntry
	caps := lead.capacities(now)
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) && lead.cannotMeetDeadline(now, entry, caps) || !now.Before(entry.Deadline) {
			expired = append(expired, entry)
		}
	}
	lead.refuseAll(now, expired, ReasonLate, dec)
}

// refuseWithoutTargets refuses waiting requests of a pool without targets: the requests past their
// soft deadline, or all waiting requests if no target is expected soon.
func (lead *Leader) refuseWithoutTargets(now time.Time, dec *Decisions) {
	lead.refuseMissing(now, dec)
	var expired []*queueEntry
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) {
			expired = append(expired, entry)
		}
	}
	lead.refuseAll(now, expired, ReasonNoTarget, dec)
}

// refuseAll removes the given requests from the queue and refuses them, in the order of their
// numbers.
func (lead *Leader) refuseAll(now time.Time, expired []*queueEntry, reason Reason, dec *Decisions) {
	slices.SortFunc(expired, func(a, b *queueEntry) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	for _, entry := range expired {
		lead.queue.remove(entry.ID)
		lead.refuse(now, entry, reason, dec)
	}
}

func (lead *Leader) refuse(now time.Time, entry *queueEntry, reason Reason, dec *Decisions) {
	lead.sizeStats.learn(entry.effectiveRank(), entry.expectedWork, false)
	lead.arrivals.remove(now, entry)
	caps := lead.capacities(now)
	dec.Refusals = append(dec.Refusals, Refusal{
		ID:            entry.ID,
		Reason:        reason,
		RetryAfter:    lead.retryAfter(now, entry, reason, caps),
		QueueLength:   lead.queue.len(),
		FreeSlots:     lead.freeSlots(now, entry.limits()),
		EstimatedWait: lead.waitFor(now, entry, caps),
	})
}

// waitFor returns how long a waiting request is expected to wait for a slot, with the requests that are
// expected to arrive meanwhile and go first. They delay it only while others wait: a slot that becomes
// free goes to the one that waits alone.
func (lead *Leader) waitFor(now time.Time, entry *queueEntry, caps capacities) time.Duration {
	key := entry.key(now)
	wait := caps.wait(entry.limits(), lead.queue.workAhead(now, entry.Tier, key))
	var own demand
	own.add(entry.limits(), entry.expectedWork)
	alone := min(caps.wait(entry.limits(), own), wait)
	return alone + seconds((wait-alone).Seconds()/caps.freeShare(entry.limits(), lead.arrivals.ahead(now, entry, key)))
}

// retryAfter returns the time after which a refused caller should retry: the estimated time to serve
// one more request and all requests that wait in the refused request's tier or in more urgent tiers, and
// the callers as urgent that were refused before. Where the regions of the request have no target, it is
// the time in which they may have one again. It is limited to the range from minRetryAfter to
// maxRetryAfter, and a random part is added. While no target can be used, nothing is known of the time
// that requests will take.
func (lead *Leader) retryAfter(now time.Time, entry *queueEntry, reason Reason, caps capacities) time.Duration {
	ahead := lead.queue.workAhead(now, entry.Tier, math.Inf(1))
	ahead.add(entry.limits(), lead.latencyModel.expectedHold())
	wait := caps.wait(entry.limits(), ahead)
	switch capacity := caps.within(entry.limits()); {
	case reason == ReasonNoRegion:
		wait = max(wait, noTargetGrace)
	case capacity > minCapacity:
		left := capacity * caps.freeShare(entry.limits(), lead.arrivals.ahead(now, entry, entry.sortKey))
		wait = lead.retries.plan(now, urgency{entry.Tier, entry.effectiveRank()}, wait, seconds(entry.expectedWork/left))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(lead.rng.Float64()*retryJitter*float64(wait))
}
