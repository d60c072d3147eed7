package yuccaqueue

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// tier holds the waiting requests of one rank.
type tier struct {
	name     yuccaid.Tier
	rank     int
	load     load
	arrivals arrivals
	classes  []*class
	work     histogram
	// floor is the least virtual service with which an account enters the tier: an account
	// without waiting requests is raised to it when one of its requests arrives.
	floor float64
}

func (tr *tier) classFor(params *Params, window float64) *class {
	for _, cls := range tr.classes {
		if cls.targetSet == params.TargetSet && cls.long == params.Long {
			return cls
		}
	}
	cls := newClass(params.TargetSet, params.Long, window)
	tr.classes = append(tr.classes, cls)
	return cls
}

// next returns the flow to be served next over all classes that are not parked, or nil.
//
// A class is passed over if the flow that it would serve next is more than a window ahead
// of the least served flow of all classes that are not parked. This makes the tier fair
// across classes too. The scan is over classes, not over accounts. For each distinct set of
// targets there are at most two classes, one for short and one for long requests.
func (tr *tier) next() *flow {
	var best *flow
	leastService := math.Inf(1)
	for _, cls := range tr.classes {
		if cls.head() != nil {
			leastService = min(leastService, max(cls.floor, cls.byService.top().accountTier.virtualService))
		}
	}
	if !math.IsInf(leastService, 1) {
		tr.floor = max(tr.floor, leastService)
	}
	for _, cls := range tr.classes {
		fl := cls.head()
		if fl == nil || fl.accountTier.virtualService > leastService+cls.window {
			continue
		}
		if best == nil || fl.items.top().Params.Key.Before(best.items.top().Params.Key) {
			best = fl
		}
	}
	return best
}

// histogram sums waiting work by deadline.
//
// buckets is a ring: the bucket of a deadline follows from the absolute time, so nothing
// moves as time passes. later sums the work whose deadline, at arrival, was beyond the
// span of the ring; total sums all work.
type histogram struct {
	buckets [bucketCount]time.Duration
	later   time.Duration
	total   time.Duration
}

func (hist *histogram) bucket(item *Item) *time.Duration {
	if item.Deadline.Sub(item.Arrived) >= bucketWidth*(bucketCount-1) {
		return &hist.later
	}
	return &hist.buckets[bucketIndex(item.Deadline)]
}

func bucketIndex(at time.Time) int64 {
	return at.UnixNano() / int64(bucketWidth) % bucketCount
}

func (hist *histogram) add(item *Item) {
	*hist.bucket(item) += item.Params.Work
	hist.total += item.Params.Work
}

func (hist *histogram) remove(item *Item) {
	*hist.bucket(item) -= item.Params.Work
	hist.total -= item.Params.Work
}

// workBefore sums the work with deadlines from now until the given deadline, to the
// precision of a bucket. For a deadline beyond the span of the ring it returns all work.
func (hist *histogram) workBefore(now, deadline time.Time) time.Duration {
	if hist.total == 0 || deadline.Before(now) {
		return 0
	}
	if deadline.Sub(now) >= bucketWidth*(bucketCount-1) {
		return hist.total
	}
	var sum time.Duration
	last := bucketIndex(deadline)
	for at := bucketIndex(now); ; at = (at + 1) % bucketCount {
		sum += hist.buckets[at]
		if at == last {
			return sum
		}
	}
}

// first returns the request with the earliest key among the eligible flows of all
// classes, parked ones included, or nil.
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
