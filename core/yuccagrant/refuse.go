package yuccagrant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// cannotMeetDeadline reports whether a request that got no slot should be refused at once.
//
// Under overload a queue that accepts all requests makes all of them late. A caller who is
// refused at once and told when to retry loses nothing. But while requests of lower ranks run,
// their slots will become free, and a request of a higher rank is not refused before that.
func (lead *Leader) cannotMeetDeadline(now time.Time, entry *queueEntry) bool {
	if lead.latencyModel.holdSamples < minHoldSamples {
		// Too few runs have finished to estimate waiting times.
		return !now.Before(entry.Deadline)
	}
	start := lead.estimatedWait(now, lead.queue.workAhead(entry.Tier, entry.sortKey)) + seconds(lead.expectedFirst(&entry.Request))
	if start <= entry.SoftDeadline.Sub(now)+lateStartSlack {
		return false
	}
	if lead.lessUrgentRunning(&entry.Request) {
		return start > time.Duration(lateStartShare*float64(entry.Deadline.Sub(now)))
	}
	return true
}

// lessUrgentRunning reports whether a less urgent request is running.
func (lead *Leader) lessUrgentRunning(request *Request) bool {
	for _, run := range lead.runs {
		if cmp.Or(cmp.Compare(run.request.Tier, request.Tier), cmp.Compare(run.request.effectiveRank(), request.effectiveRank())) > 0 {
			return true
		}
	}
	return false
}

// refuseExpired refuses the waiting requests that can no longer be served in time.
func (lead *Leader) refuseExpired(now time.Time, dec *Decisions) {
	if len(lead.targets) == 0 {
		lead.refuseWithoutTargets(now, dec)
		return
	}
	var expired []*queueEntry
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) && lead.cannotMeetDeadline(now, entry) || !now.Before(entry.Deadline) {
			expired = append(expired, entry)
		}
	}
	lead.refuseAll(now, expired, ReasonLate, dec)
}

// refuseWithoutTargets refuses waiting requests of a pool without targets: those past their
// soft deadline, or all if no target is expected soon.
func (lead *Leader) refuseWithoutTargets(now time.Time, dec *Decisions) {
	var expired []*queueEntry
	for _, entry := range lead.queue.byID {
		if !entry.onTime(now) || lead.withoutTargets(now) {
			expired = append(expired, entry)
		}
	}
	lead.refuseAll(now, expired, ReasonNoTarget, dec)
}

func (lead *Leader) refuseAll(now time.Time, expired []*queueEntry, reason Reason, dec *Decisions) {
	slices.SortFunc(expired, func(a, b *queueEntry) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	for _, entry := range expired {
		lead.queue.remove(entry.ID)
		lead.refuse(now, entry, reason, dec)
	}
}

func (lead *Leader) refuse(now time.Time, entry *queueEntry, reason Reason, dec *Decisions) {
	lead.sizeStats.learn(entry.effectiveRank(), entry.expectedWork, false)
	estimatedWait := lead.estimatedWait(now, lead.queue.workAhead(entry.Tier, entry.sortKey))
	dec.Refusals = append(dec.Refusals, Refusal{
		ID: entry.ID, Reason: reason, RetryAfter: lead.retryAfter(now, entry.Tier),
		QueueLength: lead.queue.len(), FreeSlots: lead.freeSlots(now), EstimatedWait: estimatedWait,
	})
}

// retryAfter returns the time after which a refused caller should retry: when the requests
// waiting in its tier and in more urgent ones have been served. It is spread at random, because
// callers that are refused together would otherwise retry as one burst.
func (lead *Leader) retryAfter(now time.Time, tier int) time.Duration {
	estimatedWait := lead.estimatedWait(now, lead.queue.workAhead(tier, math.Inf(1))+lead.latencyModel.expectedHold())
	estimatedWait = min(max(estimatedWait, minRetryAfter), maxRetryAfter)
	return estimatedWait + time.Duration(lead.rng.Float64()*retryJitter*float64(estimatedWait))
}
