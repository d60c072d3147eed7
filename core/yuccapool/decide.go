package yuccapool

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// Submit queues a request, or refuses it at once.
//
// A request that is already known is not counted again, because an owner that lost its
// connection submits all its requests again.
func (lead *Leader) Submit(now time.Time, req Request) Decisions {
	var dec Decisions
	if lead.handleKnown(&req, &dec) {
		return dec
	}
	acc := lead.account(req.Account)
	if !lead.admit(now, acc, &req, &dec) {
		return dec
	}
	shape := lead.shape(&req, now.Add(req.Remaining))
	params := lead.params(now, acc, &shape)
	lead.fleet.RecordArrival(now, &shape, params.Long, params.Work)
	lead.push(now, req, params, &dec)
	lead.serve(now, &dec)
	return dec
}

// handleKnown reports whether the request is waiting or running already. It repeats a
// grant that the owner has not used yet, because the first message may have been lost.
func (lead *Leader) handleKnown(req *Request, dec *Decisions) bool {
	if _, waiting := lead.queue.Get(req.ID); waiting {
		return true
	}
	run, runs := lead.runs[req.ID]
	if runs && !run.dispatched {
		lead.addGrant(run, dec)
	}
	return runs
}

// admit applies the checks that need no queue: the account's rate limits, its targets,
// and whether even an idle pool could meet the deadline. A caller that is refused at
// once has time left to try elsewhere. While the leader gathers, every request is
// admitted, and its account is not charged.
func (lead *Leader) admit(now time.Time, acc *account, req *Request, dec *Decisions) bool {
	if lead.gathering(now) {
		return true
	}
	targetSet := lead.targetSets[acc.targetSet]
	if !targetSet.AnyAccepting() {
		lead.addRefusal(dec, req, yuccaqueue.ReasonNoTarget, 0)
		return false
	}
	if retryAfter := acc.rateLimitWait(now); retryAfter > 0 {
		lead.addRefusal(dec, req, yuccaqueue.ReasonLimit, retryAfter)
		return false
	}
	shape := lead.shape(req, now.Add(req.Remaining))
	if lead.fleet.FastestTime(targetSet, &shape) > req.Remaining || req.Remaining <= 0 {
		lead.addRefusal(dec, req, yuccaqueue.ReasonDeadline, 0)
		return false
	}
	acc.charge(req)
	return true
}

// shape returns the properties of a request from which the fleet estimates its times.
func (lead *Leader) shape(req *Request, deadline time.Time) yuccaplace.Request {
	shape := yuccaplace.Request{
		Prompt:      req.Prompt,
		Answer:      req.Answer,
		BlockHashes: req.Prefixes,
		Rank:        req.Rank,
		Deadline:    deadline,
	}
	lead.fleet.FillAnswerP90(req.Operation, &shape)
	return shape
}

// params computes the scheduling parameters of a request: requests are ordered by
// deadline, and each is checked shortly before the slowest target could no longer meet
// its deadline, the earliest moment at which a slot may have to be freed for it.
func (lead *Leader) params(_ time.Time, acc *account, shape *yuccaplace.Request) yuccaqueue.Params {
	targetSet := lead.targetSets[acc.targetSet]
	work, long := lead.fleet.EstimateWork(targetSet, shape)
	return yuccaqueue.Params{
		TargetSet:   yuccaqueue.TargetSet(acc.targetSet),
		Long:        long,
		Key:         shape.Deadline,
		LatestStart: shape.Deadline.Add(-lead.fleet.FastestTime(targetSet, shape)),
		CheckAt:     shape.Deadline.Add(-lead.fleet.SlowestTime(targetSet, shape) - evictionLead),
		Work:        work,
	}
}

// push queues a request. If the queue is full and holds no request of a lower tier to
// displace, a run of a lower tier is cancelled, if possible, rather than the request
// refused.
func (lead *Leader) push(now time.Time, req Request, params yuccaqueue.Params, dec *Decisions) {
	displaced, reason := lead.queue.Push(now, req, params)
	if reason == yuccaqueue.ReasonOverload && lead.evictForQueued(now, &req, dec) {
		displaced, reason = lead.queue.Push(now, req, params)
	}
	if reason == yuccaqueue.ReasonOverload && lead.evictForNew(now, req, dec) {
		return
	}
	if reason != "" {
		lead.account(req.Account).refund(&req)
		lead.addRefusal(dec, &req, reason, lead.retryAfter(now, &req))
		return
	}
	lead.refuseDisplaced(now, displaced, dec)
}

// evictForQueued makes room in a full queue for a new request: it cancels a run of a
// lower tier and grants its slot to the first waiting request of the new request's tier
// or above.
func (lead *Leader) evictForQueued(now time.Time, req *Request, dec *Decisions) bool {
	if lead.gathering(now) {
		return false
	}
	item := lead.queue.FirstAtOrAbove(req.Rank)
	if item == nil || !lead.evict(now, &item.Request, item.Deadline, dec) {
		return false
	}
	lead.queue.RemoveServed(item)
	return true
}

// evictForNew cancels a run of a lower tier and grants its slot to a new request for
// which the queue is full. It is tried only if no run can be cancelled for a waiting
// request of the same tier or above, or if the queue is still full after that.
func (lead *Leader) evictForNew(now time.Time, req Request, dec *Decisions) bool {
	return !lead.gathering(now) && lead.evict(now, &req, now.Add(req.Remaining), dec)
}

// serve grants free slots to waiting requests and then handles the requests that are
// due for a check.
func (lead *Leader) serve(now time.Time, dec *Decisions) {
	if lead.gathering(now) {
		return
	}
	tryPlace := func(item *yuccaqueue.Item) yuccaqueue.ServeResult { return lead.tryPlace(now, item, dec) }
	lead.queue.Serve(tryPlace)
	for item := lead.queue.NextToCheck(now); item != nil; item = lead.queue.NextToCheck(now) {
		lead.check(now, item, dec)
		lead.queue.Serve(tryPlace)
	}
}

// tryPlace grants a request the best free slot, if there is a suitable one.
func (lead *Leader) tryPlace(now time.Time, item *yuccaqueue.Item, dec *Decisions) yuccaqueue.ServeResult {
	shape := lead.shape(&item.Request, item.Deadline)
	shape.LongPrompt = item.Params.Long
	targetSet := lead.targetSets[item.Params.TargetSet]
	choice, verdict := lead.fleet.Choose(now, targetSet, &shape)
	switch verdict {
	case yuccaplace.NoFreeSlot:
		return yuccaqueue.NoFreeSlot
	case yuccaplace.Unsuitable, yuccaplace.WaitForBetter:
		return yuccaqueue.Unsuitable
	default:
		lead.addGrant(lead.startRun(now, item.Request, choice, item.Deadline), dec)
		return yuccaqueue.Placed
	}
}

// check handles a request that is about to miss its deadline.
//
// Unless a request of a higher tier waits, the request may now use slots that are reserved
// for short requests or for higher tiers. If it gets none of them, a run of a lower tier is
// cancelled for it. If it has no slot by Params.LatestStart, it is refused at once: served
// late, it would take target time from requests that can still meet their deadlines.
func (lead *Leader) check(now time.Time, item *yuccaqueue.Item, dec *Decisions) {
	if !now.After(item.Params.LatestStart) && lead.placeOrEvict(now, item, dec) {
		return
	}
	if item.Params.CheckAt.After(now) {
		// evictIfDue has deferred the check.
		return
	}
	if !now.Before(item.Params.LatestStart) {
		lead.queue.Remove(item)
		lead.addRefusal(dec, &item.Request, yuccaqueue.ReasonDeadline, lead.retryAfter(now, &item.Request))
		return
	}
	lead.queue.Defer(item, lead.nextCheck(now, item))
}

// nextCheck returns when to check a request again after it could not be placed. That is
// Params.LatestStart, when the request will be refused. If the request's account is at its
// limit of running requests, the next check comes after evictionLead, because the request
// may be placed as soon as another run of the account has finished.
func (lead *Leader) nextCheck(now time.Time, item *yuccaqueue.Item) time.Time {
	recheck := now.Add(evictionLead)
	if lead.account(item.Request.Account).atRunningLimit() && recheck.Before(item.Params.LatestStart) {
		return recheck
	}
	return item.Params.LatestStart
}

// placeOrEvict places a request that is due for a check on a reserved slot or on the
// slot of a run of a lower tier.
func (lead *Leader) placeOrEvict(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	if lead.queue.CountAbove(item.Request.Rank) == 0 && lead.placeOnReserved(now, item, dec) {
		return true
	}
	return lead.evictIfDue(now, item, dec)
}

// evictIfDue cancels runs for a waiting request if the last moment at which a cancellation
// helps is at most evictionLead away. If that moment is further away, evictIfDue defers the
// check, because a run may finish by itself in the meantime.
func (lead *Leader) evictIfDue(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	eviction, found := lead.eviction(now, &item.Request, item.Deadline)
	if !found {
		return false
	}
	if eviction.Slack > evictionLead {
		lead.queue.Defer(item, now.Add(eviction.Slack-evictionLead))
		return false
	}
	lead.queue.RemoveServed(item)
	return lead.applyEviction(now, &item.Request, item.Deadline, eviction, dec)
}

// placeOnReserved grants a request a free slot even if the slot is reserved for short
// requests or for higher tiers.
func (lead *Leader) placeOnReserved(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	if lead.account(item.Request.Account).atRunningLimit() {
		return false
	}
	shape := lead.shape(&item.Request, item.Deadline)
	shape.LastAttempt = true
	choice, verdict := lead.fleet.Choose(now, lead.targetSets[item.Params.TargetSet], &shape)
	if verdict != yuccaplace.Found {
		return false
	}
	lead.queue.RemoveServed(item)
	lead.addGrant(lead.startRun(now, item.Request, choice, item.Deadline), dec)
	return true
}

// evict cancels runs of lower tiers for a request and grants it a slot that they held, if
// the request can meet its deadline there.
func (lead *Leader) evict(now time.Time, req *Request, deadline time.Time, dec *Decisions) bool {
	eviction, found := lead.eviction(now, req, deadline)
	return found && lead.applyEviction(now, req, deadline, eviction, dec)
}

// applyEviction cancels the runs of an eviction and grants the request the slot.
func (lead *Leader) applyEviction(now time.Time, req *Request, deadline time.Time, eviction yuccaplace.Preemption, dec *Decisions) bool {
	for _, victim := range eviction.Runs {
		lead.cancel(now, lead.runs[victim.ID], dec)
	}
	lead.addGrant(lead.startRun(now, *req, eviction.Choice, deadline), dec)
	return true
}

// eviction returns the runs to cancel so that a request can meet its deadline, or false
// if no eviction helps or none is allowed.
func (lead *Leader) eviction(now time.Time, req *Request, deadline time.Time) (yuccaplace.Preemption, bool) {
	acc := lead.account(req.Account)
	if !lead.preempts || acc.atRunningLimit() {
		return yuccaplace.Preemption{}, false
	}
	shape := lead.shape(req, deadline)
	eviction, found := lead.fleet.PlanPreemption(now, lead.targetSets[acc.targetSet], &shape)
	if found {
		return eviction, true
	}
	// No eviction lets a long answer meet the deadline, but an eviction may let an answer
	// of ordinary length meet it. The request's chance to meet its deadline takes
	// precedence over a run of a lower tier, so that eviction is tried too.
	shape.LastAttempt = true
	return lead.fleet.PlanPreemption(now, lead.targetSets[acc.targetSet], &shape)
}

// cancel ends a run to free its slot. If dec still holds the run's grant, the grant has
// not been sent yet: it is removed from dec and its request is queued again. Otherwise
// the owner is asked to cancel the run.
func (lead *Leader) cancel(now time.Time, run *grantedRun, dec *Decisions) {
	lead.endRun(now, run)
	unsentIndex := slices.IndexFunc(dec.Grants, func(grant Grant) bool { return grant.ID == run.req.ID })
	if unsentIndex >= 0 {
		dec.Grants = slices.Delete(dec.Grants, unsentIndex, unsentIndex+1)
		lead.requeue(now, run)
		return
	}
	dec.Cancels = append(dec.Cancels, Cancel{
		ID: run.req.ID, Owner: run.req.Owner, Target: run.Target(),
		Reason: yuccaqueue.ReasonPreempted, RetryAfter: lead.retryAfter(now, &run.req),
	})
}

// requeue queues the request of a run again, after the run's grant was removed before it
// was sent.
func (lead *Leader) requeue(now time.Time, run *grantedRun) {
	lead.onRequeue(run.Target())
	run.req.Remaining = run.deadline.Sub(now)
	shape := lead.shape(&run.req, run.deadline)
	params := lead.params(now, lead.account(run.req.Account), &shape)
	lead.queue.Restore(now, run.req, params)
}

func (lead *Leader) refuseDisplaced(now time.Time, displaced []yuccaqueue.Displaced, dec *Decisions) {
	for _, item := range displaced {
		lead.addRefusal(dec, &item.Request, item.Reason, lead.retryAfter(now, &item.Request))
	}
}

func (lead *Leader) addGrant(run *grantedRun, dec *Decisions) {
	dec.Grants = append(dec.Grants, Grant{
		ID: run.req.ID, Owner: run.req.Owner, Target: run.Target(), ValidFor: grantTTL,
		ConfigNumber: lead.config.ConfigNumber, Leader: lead.self,
	})
}

func (lead *Leader) addRefusal(dec *Decisions, req *Request, reason yuccaqueue.Reason, retryAfter time.Duration) {
	dec.Refusals = append(dec.Refusals, Refusal{ID: req.ID, Owner: req.Owner, Reason: reason, RetryAfter: retryAfter})
}

// retryAfter estimates when the work queued ahead of a refused request with this rank
// and deadline will be done, plus jitter, so that refused callers do not retry all
// together.
func (lead *Leader) retryAfter(now time.Time, req *Request) time.Duration {
	targetSet := lead.targetSet(req.Account)
	ahead := lead.queue.WorkAhead(now, req.Rank, now.Add(req.Remaining))
	drain := max(ahead/time.Duration(max(targetSet.UsableCount(), 1)), minRetryAfter)
	return drain + time.Duration(lead.rng.Float64()*retryJitter*float64(drain))
}

// Withdraw removes a waiting request that its owner no longer wants served. If its grant
// was already sent, the owner gives the slot back with RunFinished.
func (lead *Leader) Withdraw(now time.Time, id yuccaid.RequestID) Decisions {
	var dec Decisions
	if item, waiting := lead.queue.Get(id); waiting {
		lead.queue.Remove(item)
	}
	lead.serve(now, &dec)
	return dec
}
