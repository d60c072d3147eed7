package yuccaqueue

import (
	"slices"
	"time"
)

// Displaced is a request that had to leave the queue, and why.
type Displaced struct {
	*Item
	Reason Reason
}

// displacedFor is what the displaced is told, by what the arrival would have been.
var displacedFor = map[Reason]Reason{ReasonOverload: ReasonDisplaced, ReasonLimit: ReasonLimit}

// Push queues an ask, or returns why it can't.
//
// When the queue is full, an arrival takes the place of the newest request of the
// lowest tier, if that tier is below its own: the newest has waited least, and its
// caller loses least. An account at its own bound displaces its own only. The
// displaced have left the queue and are the caller's to refuse. An arrival is refused
// for load only when nothing of a lower tier waits.
func (q *Queue) Push(now time.Time, ask Request, terms Params) ([]Displaced, Reason) {
	acc := q.account(ask.Account)
	tr := q.tier(ask.Tier, ask.Rank)
	var displaced []Displaced
	for {
		reason := q.full(acc, tr.rank)
		if reason == "" {
			break
		}
		victim := q.victim(acc, tr.rank, reason)
		if victim == nil && len(displaced) == 0 {
			return nil, reason
		}
		if victim == nil {
			break
		}
		q.Remove(victim)
		displaced = append(displaced, Displaced{Item: victim, Reason: displacedFor[reason]})
	}
	q.add(now, acc, tr, ask, terms)
	return displaced, ""
}

// Restore queues again a request that was taken and can't be served after all. Its
// place in the queue was granted to it, so no bound is asked: the bound on tokens may
// be overrun by the last arrival, and the request would be refused for that.
func (q *Queue) Restore(now time.Time, ask Request, terms Params) {
	q.add(now, q.account(ask.Account), q.tier(ask.Tier, ask.Rank), ask, terms)
}

func (q *Queue) full(acc *account, rank int) Reason {
	if q.bounds.accountFull(acc.load) {
		return ReasonLimit
	}
	if q.bounds.poolFull(q.load) || rank > 0 && q.bounds.lowerFull(q.lowerLoad()) {
		return ReasonOverload
	}
	return ""
}

func (q *Queue) lowerLoad() load {
	sum := q.load
	if len(q.tiers) > 0 && q.tiers[0].rank == 0 {
		sum.requests -= q.tiers[0].load.requests
		sum.tokens -= q.tiers[0].load.tokens
	}
	return sum
}

// victim returns the newest waiting request of the lowest tier below the given rank:
// of the account itself when its own bound is reached, else of the whole pool.
func (q *Queue) victim(acc *account, rank int, reason Reason) *Item {
	if !q.displaces {
		return nil
	}
	if reason == ReasonLimit {
		return acc.newestBelow(rank)
	}
	for _, tr := range slices.Backward(q.tiers) {
		if tr.rank <= rank {
			return nil
		}
		if tr.chain.newest != nil {
			return tr.chain.newest
		}
	}
	return nil
}

func (acc *account) newestBelow(rank int) *Item {
	var lowest *share
	for _, sh := range acc.shares {
		if sh.tier.rank > rank && sh.waiting() && (lowest == nil || sh.tier.rank > lowest.tier.rank) {
			lowest = sh
		}
	}
	if lowest == nil {
		return nil
	}
	return lowest.chain.newest
}

func (q *Queue) add(now time.Time, acc *account, tr *tier, ask Request, terms Params) {
	item := &Item{Request: ask, Params: terms, Arrived: now, Deadline: now.Add(ask.Remaining)}
	sh := q.share(acc, tr)
	cls := tr.classOf(&terms, q.window)
	if !sh.waiting() {
		sh.virtual = max(sh.virtual, tr.floor)
	}
	item.flow = sh.flowIn(cls)
	item.flow.items.push(item)
	cls.seat(item.flow)
	q.items[ask.ID] = item
	q.due.push(item)
	tr.chain.add(item)
	sh.chain.add(item)
	tr.work.add(item)
	tr.load.add(item)
	acc.load.add(item)
	q.load.add(item)
}
