package yuccaqueue

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// tier is what waits at one rank.
type tier struct {
	name    yuccaid.Tier
	rank    int
	load    load
	chain   chain
	classes []*class
	work    histogram
	// floor is the service that an account starts from when it had nothing waiting.
	floor float64
}

func (tr *tier) classOf(terms *Params, window float64) *class {
	for _, cls := range tr.classes {
		if cls.reach == terms.TargetSet && cls.long == terms.Long {
			return cls
		}
	}
	cls := newClass(terms.TargetSet, terms.Long, window)
	tr.classes = append(tr.classes, cls)
	return cls
}

// next returns the flow to be served next over all classes that have room.
//
// A class whose best candidate has had more than a window beyond the least served
// open account gives way, so that fairness holds across classes too. The scan is over
// classes, two for each distinct set of targets, not over accounts.
func (tr *tier) next() *flow {
	var best *flow
	least := math.Inf(1)
	for _, cls := range tr.classes {
		if cls.head() != nil {
			least = min(least, max(cls.floor, cls.all.top().share.virtual))
		}
	}
	if !math.IsInf(least, 1) {
		tr.floor = max(tr.floor, least)
	}
	for _, cls := range tr.classes {
		fl := cls.head()
		if fl == nil || fl.share.virtual > least+cls.window {
			continue
		}
		if best == nil || fl.items.top().Params.Key.Before(best.items.top().Params.Key) {
			best = fl
		}
	}
	return best
}

// histogram sums waiting work by deadline.
type histogram struct {
	slots [slotCount]time.Duration
	later time.Duration
	total time.Duration
}

func (hist *histogram) slot(item *Item) *time.Duration {
	if item.Deadline.Sub(item.Arrived) >= slotWidth*(slotCount-1) {
		return &hist.later
	}
	return &hist.slots[slotOf(item.Deadline)]
}

func slotOf(at time.Time) int64 {
	return at.UnixNano() / int64(slotWidth) % slotCount
}

func (hist *histogram) add(item *Item) {
	*hist.slot(item) += item.Params.Work
	hist.total += item.Params.Work
}

func (hist *histogram) drop(item *Item) {
	*hist.slot(item) -= item.Params.Work
	hist.total -= item.Params.Work
}

// before sums the work with deadlines from now until the given time.
func (hist *histogram) before(now, deadline time.Time) time.Duration {
	if hist.total == 0 || deadline.Before(now) {
		return 0
	}
	if deadline.Sub(now) >= slotWidth*(slotCount-1) {
		return hist.total
	}
	var sum time.Duration
	last := slotOf(deadline)
	for at := slotOf(now); ; at = (at + 1) % slotCount {
		sum += hist.slots[at]
		if at == last {
			return sum
		}
	}
}

// first returns the request with the earliest key among those that may be served.
func (tr *tier) first() *Item {
	var best *Item
	for _, cls := range tr.classes {
		if cls.eligible.len() == 0 {
			continue
		}
		if item := cls.eligible.top().items.top(); best == nil || item.Params.Key.Before(best.Params.Key) {
			best = item
		}
	}
	return best
}
