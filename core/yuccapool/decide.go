package yuccapool

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// Submit queues an ask, or refuses it at once.
//
// An ask that is already known is not counted again: an owner that lost its link
// offers everything anew.
func (lead *Leader) Submit(now time.Time, ask Ask) Decisions {
	var dec Decisions
	if lead.known(&ask, &dec) {
		return dec
	}
	acc := lead.account(ask.Account)
	if !lead.admit(now, acc, &ask, &dec) {
		return dec
	}
	shape := lead.shape(&ask, now.Add(ask.Remaining))
	terms := lead.terms(now, acc, &shape)
	lead.fleet.RecordArrival(now, &shape, terms.Long, terms.Work)
	lead.push(now, ask, terms, &dec)
	lead.serve(now, &dec)
	return dec
}

func (lead *Leader) known(ask *Ask, dec *Decisions) bool {
	if _, waits := lead.queue.Get(ask.ID); waits {
		return true
	}
	one, runs := lead.runs[ask.ID]
	if runs && !one.used {
		lead.grant(one, dec)
	}
	return runs
}

// admit applies what can be known at once: the account's limits, its targets, and
// whether even an idle pool could meet the deadline. A caller who hears this at once
// can turn elsewhere while there is time.
func (lead *Leader) admit(now time.Time, acc *account, ask *Ask, dec *Decisions) bool {
	if lead.gathering(now) {
		return true
	}
	reach := lead.reaches[acc.reach]
	if !reach.AnyAccepting() {
		lead.refuse(dec, ask, yuccaqueue.ReasonNoTarget, 0)
		return false
	}
	if back := acc.refusal(now); back > 0 {
		lead.refuse(dec, ask, yuccaqueue.ReasonLimit, back)
		return false
	}
	shape := lead.shape(ask, now.Add(ask.Remaining))
	if lead.fleet.FastestTime(reach, &shape) > ask.Remaining || ask.Remaining <= 0 {
		lead.refuse(dec, ask, yuccaqueue.ReasonDeadline, 0)
		return false
	}
	acc.take(ask)
	return true
}

func (lead *Leader) shape(ask *Ask, deadline time.Time) yuccaplace.Request {
	shape := yuccaplace.Request{
		Prompt:   ask.Prompt,
		Answer:   ask.Answer,
		Prefixes: ask.Prefixes,
		Rank:     ask.Rank,
		Deadline: deadline,
	}
	lead.fleet.FillAnswerP90(ask.Operation, &shape)
	return shape
}

// terms works out how a request waits: its deadline orders it, and it is due for a
// look when the slowest target could no longer take it, the first moment at which
// room may have to be made.
func (lead *Leader) terms(_ time.Time, acc *account, shape *yuccaplace.Request) yuccaqueue.Params {
	reach := lead.reaches[acc.reach]
	work, long := lead.fleet.EstimateWork(reach, shape)
	return yuccaqueue.Params{
		TargetSet:   yuccaqueue.TargetSet(acc.reach),
		Long:        long,
		Key:         shape.Deadline,
		LatestStart: shape.Deadline.Add(-lead.fleet.FastestTime(reach, shape)),
		CheckAt:     shape.Deadline.Add(-lead.fleet.SlowestTime(reach, shape) - evictLead),
		Work:        work,
	}
}

// push queues an ask. When the queue is full of its own tier and higher ones, a run of
// a lower tier is cancelled before the ask is refused.
func (lead *Leader) push(now time.Time, ask Ask, terms yuccaqueue.Params, dec *Decisions) {
	displaced, reason := lead.queue.Push(now, ask, terms)
	if reason == yuccaqueue.ReasonOverload && lead.relieve(now, &ask, dec) {
		displaced, reason = lead.queue.Push(now, ask, terms)
	}
	if reason == yuccaqueue.ReasonOverload && lead.bypass(now, ask, dec) {
		return
	}
	if reason != "" {
		lead.account(ask.Account).giveBack(&ask)
		lead.refuse(dec, &ask, reason, lead.back(now, &ask))
		return
	}
	lead.displace(now, displaced, dec)
}

// relieve makes room in a full queue by cancelling a run of a lower tier in favour of
// a waiting request of the ask's tier or above.
func (lead *Leader) relieve(now time.Time, ask *Ask, dec *Decisions) bool {
	if lead.gathering(now) {
		return false
	}
	item := lead.queue.FirstAtOrAbove(ask.Rank)
	if item == nil || !lead.evict(now, &item.Request, item.Deadline, dec) {
		return false
	}
	lead.queue.RemoveServed(item)
	return true
}

// bypass grants an ask that the full queue can't take the place of a run of a lower
// tier, when no waiting request could use that place.
func (lead *Leader) bypass(now time.Time, ask Ask, dec *Decisions) bool {
	return !lead.gathering(now) && lead.evict(now, &ask, now.Add(ask.Remaining), dec)
}

// serve grants what finds room and then looks at the requests that are due.
func (lead *Leader) serve(now time.Time, dec *Decisions) {
	if lead.gathering(now) {
		return
	}
	try := func(item *yuccaqueue.Item) yuccaqueue.ServeResult { return lead.try(now, item, dec) }
	lead.queue.Serve(try)
	for item := lead.queue.NextToCheck(now); item != nil; item = lead.queue.NextToCheck(now) {
		lead.due(now, item, dec)
		lead.queue.Serve(try)
	}
}

func (lead *Leader) try(now time.Time, item *yuccaqueue.Item, dec *Decisions) yuccaqueue.ServeResult {
	shape := lead.shape(&item.Request, item.Deadline)
	shape.LongPrompt = item.Params.Long
	reach := lead.reaches[item.Params.TargetSet]
	choice, verdict := lead.fleet.Choose(now, reach, &shape)
	switch verdict {
	case yuccaplace.NoFreeSlot:
		return yuccaqueue.NoFreeSlot
	case yuccaplace.Unsuitable, yuccaplace.WaitForBetter:
		return yuccaqueue.Unsuitable
	default:
		lead.grant(lead.start(now, item.Request, choice, item.Deadline), dec)
		return yuccaqueue.Placed
	}
}

// due looks at a request that is about to miss its deadline.
//
// First the room kept for others is opened to it, unless a higher tier waits for that
// room; then a run of a lower tier is cancelled; and when nothing helps any more, the
// request is refused at once instead of being served late, which would take the
// target from requests that can still be met.
func (lead *Leader) due(now time.Time, item *yuccaqueue.Item, dec *Decisions) {
	if !now.After(item.Params.LatestStart) && lead.rescue(now, item, dec) {
		return
	}
	if item.Params.CheckAt.After(now) {
		return
	}
	if !now.Before(item.Params.LatestStart) {
		lead.queue.Remove(item)
		lead.refuse(dec, &item.Request, yuccaqueue.ReasonDeadline, lead.back(now, &item.Request))
		return
	}
	lead.queue.Defer(item, lead.again(now, item))
}

// again is when a request that nothing helped yet is looked at next. One held up by
// its own account's limit may go as soon as another of the account has ended.
func (lead *Leader) again(now time.Time, item *yuccaqueue.Item) time.Time {
	soon := now.Add(evictLead)
	if lead.account(item.Request.Account).full() && soon.Before(item.Params.LatestStart) {
		return soon
	}
	return item.Params.LatestStart
}

func (lead *Leader) rescue(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	if lead.queue.CountAbove(item.Request.Rank) == 0 && lead.squeeze(now, item, dec) {
		return true
	}
	return lead.evictLate(now, item, dec)
}

// evictLate cancels for a waiting request, but not before the last moment that helps:
// until then a run may end by itself.
func (lead *Leader) evictLate(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	eviction, found := lead.eviction(now, &item.Request, item.Deadline)
	if !found {
		return false
	}
	if eviction.Slack > evictLead {
		lead.queue.Defer(item, now.Add(eviction.Slack-evictLead))
		return false
	}
	lead.queue.RemoveServed(item)
	return lead.carryOut(now, &item.Request, item.Deadline, eviction, dec)
}

func (lead *Leader) squeeze(now time.Time, item *yuccaqueue.Item, dec *Decisions) bool {
	if lead.account(item.Request.Account).full() {
		return false
	}
	shape := lead.shape(&item.Request, item.Deadline)
	shape.LastAttempt = true
	choice, verdict := lead.fleet.Choose(now, lead.reaches[item.Params.TargetSet], &shape)
	if verdict != yuccaplace.Found {
		return false
	}
	lead.queue.RemoveServed(item)
	lead.grant(lead.start(now, item.Request, choice, item.Deadline), dec)
	return true
}

// evict cancels runs of lower tiers for a request and grants it their place, if that
// lets it meet its deadline.
func (lead *Leader) evict(now time.Time, ask *Ask, deadline time.Time, dec *Decisions) bool {
	eviction, found := lead.eviction(now, ask, deadline)
	return found && lead.carryOut(now, ask, deadline, eviction, dec)
}

func (lead *Leader) carryOut(now time.Time, ask *Ask, deadline time.Time, eviction yuccaplace.Preemption, dec *Decisions) bool {
	for _, victim := range eviction.Runs {
		lead.cancel(now, lead.runs[victim.ID], dec)
	}
	lead.grant(lead.start(now, *ask, eviction.Choice, deadline), dec)
	return true
}

func (lead *Leader) eviction(now time.Time, ask *Ask, deadline time.Time) (yuccaplace.Preemption, bool) {
	acc := lead.account(ask.Account)
	if !lead.preempts || acc.full() {
		return yuccaplace.Preemption{}, false
	}
	shape := lead.shape(ask, deadline)
	eviction, found := lead.fleet.PlanPreemption(now, lead.reaches[acc.reach], &shape)
	if found {
		return eviction, true
	}
	// There is no room left for a long answer, but an ordinary one would be in time. A
	// run of a lower tier is worth less than even that chance.
	shape.LastAttempt = true
	return lead.fleet.PlanPreemption(now, lead.reaches[acc.reach], &shape)
}

// cancel takes a run's place away. A grant that this very decision made hasn't left
// yet: it is taken back and its request waits on.
func (lead *Leader) cancel(now time.Time, one *run, dec *Decisions) {
	lead.end(now, one)
	unsent := slices.IndexFunc(dec.Grants, func(grant Grant) bool { return grant.ID == one.ask.ID })
	if unsent >= 0 {
		dec.Grants = slices.Delete(dec.Grants, unsent, unsent+1)
		lead.requeue(now, one)
		return
	}
	dec.Cancels = append(dec.Cancels, Cancel{
		ID: one.ask.ID, Owner: one.ask.Owner, Target: one.Target(),
		Reason: yuccaqueue.ReasonPreempted, RetryAfter: lead.back(now, &one.ask),
	})
}

func (lead *Leader) requeue(now time.Time, one *run) {
	lead.onRequeue(one.Target())
	one.ask.Remaining = one.deadline.Sub(now)
	shape := lead.shape(&one.ask, one.deadline)
	terms := lead.terms(now, lead.account(one.ask.Account), &shape)
	lead.queue.Restore(now, one.ask, terms)
}

func (lead *Leader) displace(now time.Time, displaced []yuccaqueue.Displaced, dec *Decisions) {
	for _, gone := range displaced {
		lead.refuse(dec, &gone.Request, gone.Reason, lead.back(now, &gone.Request))
	}
}

func (lead *Leader) grant(one *run, dec *Decisions) {
	dec.Grants = append(dec.Grants, Grant{
		ID: one.ask.ID, Owner: one.ask.Owner, Target: one.Target(), ValidFor: grantLife,
		ConfigNumber: lead.view.ConfigNumber, Leader: lead.self,
	})
}

func (lead *Leader) refuse(dec *Decisions, ask *Ask, reason yuccaqueue.Reason, back time.Duration) {
	dec.Refusals = append(dec.Refusals, Refusal{ID: ask.ID, Owner: ask.Owner, Reason: reason, RetryAfter: back})
}

// back returns when a refused request of this length would find the work gone that
// stands before it now, spread so that the refused don't all return together.
func (lead *Leader) back(now time.Time, ask *Ask) time.Duration {
	reach := lead.reach(ask.Account)
	ahead := lead.queue.WorkAhead(now, ask.Rank, now.Add(ask.Remaining))
	drain := max(ahead/time.Duration(max(reach.UsableCount(), 1)), shortestBack)
	return drain + time.Duration(lead.rng.Float64()*backSpread*float64(drain))
}

// Withdraw forgets a waiting ask. A grant that is already out comes back by Finished.
func (lead *Leader) Withdraw(now time.Time, id yuccaid.RequestID) Decisions {
	var dec Decisions
	if item, waits := lead.queue.Get(id); waits {
		lead.queue.Remove(item)
	}
	lead.serve(now, &dec)
	return dec
}
