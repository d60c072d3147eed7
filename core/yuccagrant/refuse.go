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
func (lead *Leader) cannotMeetDeadline(now time.Time, entry *queueEntry) bool {
	if lead.latencyModel.holdSamples < minHoldSamples {
		// Too few runs have finished to estimate waiting times.
		return !now.Before(entry.Deadline)
	}
	untilFirst := lead.waitFor(now, entry) + seconds(lead.expectedTimeToFirst(&entry.Request, lead.longestHeld(&entry.Request)))
	if untilFirst <= entry.SoftDeadline.Sub(now)+lateStartSlack {
		return false
	}
	if lead.lessUrgentRunning(&entry.Request) {
		return untilFirst > time.Duration(lateStartShare*float64(entry.Deadline.Sub(now)))
	}
	return true
}

// lessUrgentRunning reports whether a request of a less urgent tier or effective rank than the
// given one is running.
func (lead *Leader) lessUrgentRunning(request *Request) bool {
	for _, run := range lead.runs {
		if cmp.Or(cmp.Compare(run.request.Tier, request.Tier), cmp.Compare(run.request.effectiveRank(), request.effectiveRank())) > 0 {
			return true
		}
	}
	return false
}

// refuseExpired refuses the waiting requests that are past their deadline, and the waiting requests
// that are past their soft deadline and whose first event is expected too late.
// refuseWithoutTargets does so for a pool without targets.
func (lead *Leader) refuseExpired(now time.Time, dec *Decisions) {
	if len(lead.targets) == 0 {
		lead.refuseWithoutTargets(now, dec)
		return
	}
	lead.refuseWithoutVersion(now, dec)
	var expired []*queueEntry
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) && lead.cannotMeetDeadline(now, entry) || !now.Before(entry.Deadline) {
			expired = append(expired, entry)
		}
	}
	lead.refuseAll(now, expired, ReasonLate, dec)
}

// refuseWithoutTargets refuses waiting requests of a pool without targets: the requests past their
// soft deadline, or all waiting requests if no target is expected soon.
func (lead *Leader) refuseWithoutTargets(now time.Time, dec *Decisions) {
	var expired []*queueEntry
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) || lead.withoutTargets(now) {
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
	estimatedWait := lead.waitFor(now, entry)
	dec.Refusals = append(dec.Refusals, Refusal{
		ID: entry.ID, Reason: reason, RetryAfter: lead.retryAfter(now, entry),
		QueueLength: lead.queue.len(), FreeSlots: lead.freeSlots(now), EstimatedWait: estimatedWait,
	})
}

// waitFor returns how long a waiting request is expected to wait for a slot, with the requests that are
// expected to arrive meanwhile and go first.
func (lead *Leader) waitFor(now time.Time, entry *queueEntry) time.Duration {
	key := entry.key(now)
	work := lead.queue.workAhead(now, entry.Tier, key)
	return seconds(work / lead.capacityBehind(now, lead.demand.ahead(now, entry.Tier, key)))
}

// capacityBehind returns the capacity that is left by more urgent work, of which the given amount arrives
// in a second.
func (lead *Leader) capacityBehind(now time.Time, arriving float64) float64 {
	capacity := max(lead.slotCapacity(now), minCapacity)
	return max(capacity-arriving, minFreeCapacity*capacity)
}

// retryAfter returns the time after which a refused caller should retry: the estimated time to serve
// all requests that wait in the refused request's tier or in more urgent tiers, and the callers as urgent
// that were refused before. A random part is added. While no target can be used, nothing is known of the
// time that requests will take.
func (lead *Leader) retryAfter(now time.Time, entry *queueEntry) time.Duration {
	wait := lead.estimatedWait(now, lead.queue.workAhead(now, entry.Tier, math.Inf(1))+lead.latencyModel.expectedHold())
	if lead.slotCapacity(now) > minCapacity {
		behind := lead.capacityBehind(now, lead.demand.ahead(now, entry.Tier, entry.sortKey))
		wait = lead.returns.plan(now, urgency{entry.Tier, entry.effectiveRank()}, wait, seconds(entry.expectedWork/behind))
	}
	wait = min(max(wait, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(lead.rng.Float64()*retryJitter*float64(wait))
}
