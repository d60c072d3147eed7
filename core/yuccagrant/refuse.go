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
func (lead *Leader) hopeless(now time.Time, ask *Ask) bool {
	if lead.model.holds < fewHolds {
		// Nobody knows yet how long a place is held.
		return !now.Before(ask.Until)
	}
	wait := lead.wait(now, lead.queue.ahead(ask.Rank, ask.Aim))
	begin := wait + lead.model.first(ask.Prompt)
	if begin <= ask.Aim.Sub(now)+soon {
		return false
	}
	if lead.lowerRuns(ask.Rank) {
		return begin > time.Duration(patience*float64(ask.Until.Sub(now)))
	}
	return true
}

func (lead *Leader) lowerRuns(rank int) bool {
	for _, one := range lead.runs {
		if one.ask.Rank > rank {
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
		if item.Aim.Before(now) && lead.hopeless(now, &item.Ask) || !now.Before(item.Until) {
			gone = append(gone, item)
		}
	}
	lead.refuseAll(now, gone, ReasonLate, dec)
}

// expireDeserted refuses what waited in vain for a first target.
func (lead *Leader) expireDeserted(now time.Time, dec *Decisions) {
	var gone []*waiting
	for _, item := range lead.queue.byID {
		if item.Aim.Before(now) || lead.deserted(now) {
			gone = append(gone, item)
		}
	}
	lead.refuseAll(now, gone, ReasonNoTarget, dec)
}

func (lead *Leader) refuseAll(now time.Time, gone []*waiting, reason Reason, dec *Decisions) {
	slices.SortFunc(gone, func(a, b *waiting) int { return cmp.Compare(a.ID.Number, b.ID.Number) })
	for _, item := range gone {
		lead.queue.remove(item.ID)
		lead.refuse(now, &item.Ask, reason, dec)
	}
}

func (lead *Leader) refuse(now time.Time, ask *Ask, reason Reason, dec *Decisions) {
	dec.Refusals = append(dec.Refusals, Refusal{
		ID: ask.ID, Reason: reason, Back: lead.back(now, ask),
		Waiting: lead.queue.len(), Free: lead.free(now), Wait: lead.wait(now, lead.queue.ahead(ask.Rank, ask.Aim)),
	})
}

// back is when a refused caller should come again: when what waits of its rank and above
// has been served. Those refused together are spread, or they would come as one burst.
func (lead *Leader) back(now time.Time, ask *Ask) time.Duration {
	wait := lead.wait(now, lead.queue.ahead(ask.Rank, now.Add(math.MaxInt32*time.Second))+1)
	wait = min(max(wait, leastBack), mostBack)
	return wait + time.Duration(lead.rng.Float64()*backSpread*float64(wait))
}
