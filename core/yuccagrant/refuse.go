package yuccagrant

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// hopeless reports whether a request that found no place had better be told so at once.
//
// Under overload a queue that takes everything makes everybody late. A caller who hears at
// once when to come back loses nothing by it. But while requests of lower ranks run, their
// places will come free, and a higher rank is not sent away before them.
func (lead *Leader) hopeless(now time.Time, item *waiting) bool {
	if lead.model.holds < fewHolds {
		// Nobody knows yet how long a place is held.
		return !now.Before(item.Deadline)
	}
	begin := lead.wait(now, lead.queue.ahead(item.Tier, item.index)) + seconds(lead.first(&item.Request))
	if begin <= item.SoftDeadline.Sub(now)+soon {
		return false
	}
	if lead.lowerRuns(&item.Request) {
		return begin > time.Duration(patience*float64(item.Deadline.Sub(now)))
	}
	return true
}

// lowerRuns reports whether something less urgent runs.
func (lead *Leader) lowerRuns(ask *Request) bool {
	for _, one := range lead.runs {
		if cmp.Or(cmp.Compare(one.ask.Tier, ask.Tier), cmp.Compare(one.ask.rank(), ask.rank())) > 0 {
			return true
		}
	}
	return false
}

// expire refuses what waited in vain.
func (lead *Leader) expire(now time.Time, dec *Decisions) {
	if len(lead.nodes) == 0 {
		lead.expireDeserted(now, dec)
		return
	}
	var gone []*waiting
	for _, item := range lead.queue.byID {
		if !item.onTime(now) && lead.hopeless(now, item) || !now.Before(item.Deadline) {
			gone = append(gone, item)
		}
	}
	lead.refuseAll(now, gone, ReasonLate, dec)
}

// expireDeserted refuses what waited in vain for a first target.
func (lead *Leader) expireDeserted(now time.Time, dec *Decisions) {
	var gone []*waiting
	for _, item := range lead.queue.byID {
		if !item.onTime(now) || lead.deserted(now) {
			gone = append(gone, item)
		}
	}
	lead.refuseAll(now, gone, ReasonNoTarget, dec)
}

func (lead *Leader) refuseAll(now time.Time, gone []*waiting, reason Reason, dec *Decisions) {
	slices.SortFunc(gone, func(a, b *waiting) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	for _, item := range gone {
		lead.queue.remove(item.ID)
		lead.refuse(now, item, reason, dec)
	}
}

func (lead *Leader) refuse(now time.Time, item *waiting, reason Reason, dec *Decisions) {
	lead.sizes.learn(item.rank(), item.work, false)
	wait := lead.wait(now, lead.queue.ahead(item.Tier, item.index))
	dec.Refusals = append(dec.Refusals, Refusal{
		ID: item.ID, Reason: reason, RetryAfter: lead.back(now, item.Tier),
		QueueLength: lead.queue.len(), FreeSlots: lead.free(now), EstimatedWait: wait,
	})
}

// back is when a refused caller should come again: when what waits of its tier and above
// has been served. Those refused together are spread, or they would come as one burst.
func (lead *Leader) back(now time.Time, tier int) time.Duration {
	wait := lead.wait(now, lead.queue.ahead(tier, math.Inf(1))+lead.model.held())
	wait = min(max(wait, leastBack), mostBack)
	return wait + time.Duration(lead.rng.Float64()*backSpread*float64(wait))
}
