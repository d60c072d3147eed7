package yuccaqueue

import (
	"slices"
	"time"
)

// Displaced is a request that was removed from a full queue, with the reason.
type Displaced struct {
	*Item
	Reason Reason
}

// displacedReason maps the reason for which an arrival would have been refused to the
// reason for the request that is displaced instead.
var displacedReason = map[Reason]Reason{ReasonOverload: ReasonDisplaced, ReasonLimit: ReasonLimit}

// Push queues a request, or returns the reason why it cannot.
//
// When the queue is full, an arrival displaces the newest request of the lowest tier, if
// that tier is below the arrival's tier. The newest request is displaced because it has
// waited least, so its caller loses least. When the bound of the arrival's account is
// reached, the arrival displaces only a request of the same account. Displaced requests
// have left the queue, and the caller of Push has to refuse them. An arrival is refused
// only when no lower tier has a waiting request that the arrival may displace. Once an
// arrival has displaced a request, the arrival is queued even if a bound is still reached.
func (q *Queue) Push(now time.Time, req Request, params Params) ([]Displaced, Reason) {
	acc := q.account(req.Account)
	tr := q.tier(req.Tier, req.Rank)
	var displaced []Displaced
	for {
		reason := q.boundReached(acc, tr.rank)
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
		displaced = append(displaced, Displaced{Item: victim, Reason: displacedReason[reason]})
	}
	q.add(now, acc, tr, req, params)
	return displaced, ""
}

// Restore queues a request again after the request was placed and lost its target before
// the grant was sent. Restore checks no bound, because another request that was admitted in
// the meantime may have exceeded the bound on tokens. The restored request was admitted
// earlier, so it must not be refused because of the other request.
func (q *Queue) Restore(now time.Time, req Request, params Params) {
	q.add(now, q.account(req.Account), q.tier(req.Tier, req.Rank), req, params)
}

// boundReached returns the reason to refuse an arrival of the given rank, or "" if no
// bound is reached.
func (q *Queue) boundReached(acc *account, rank int) Reason {
	if q.bounds.accountFull(acc.load) {
		return ReasonLimit
	}
	if q.bounds.queueFull(q.load) || rank > 0 && q.bounds.lowerTiersFull(q.lowerTierLoad()) {
		return ReasonOverload
	}
	return ""
}

// lowerTierLoad returns the load of all tiers except the top one, which has rank 0.
func (q *Queue) lowerTierLoad() load {
	sum := q.load
	if len(q.tiers) > 0 && q.tiers[0].rank == 0 {
		sum.requests -= q.tiers[0].load.requests
		sum.tokens -= q.tiers[0].load.tokens
	}
	return sum
}

// victim returns the request that an arrival of the given rank displaces: the newest
// waiting request of the lowest tier below that rank, or nil if there is none. If the
// reason is ReasonLimit, only requests of the account are considered, otherwise requests of
// all accounts.
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
		if tr.arrivals.newest != nil {
			return tr.arrivals.newest
		}
	}
	return nil
}

// newestBelow returns the account's newest waiting request in the lowest tier below the
// given rank, or nil.
func (acc *account) newestBelow(rank int) *Item {
	var lowest *accountTier
	for _, accTier := range acc.accountTiers {
		if accTier.tier.rank > rank && accTier.waiting() && (lowest == nil || accTier.tier.rank > lowest.tier.rank) {
			lowest = accTier
		}
	}
	if lowest == nil {
		return nil
	}
	return lowest.arrivals.newest
}

func (q *Queue) add(now time.Time, acc *account, tr *tier, req Request, params Params) {
	item := &Item{Request: req, Params: params, Arrived: now, Deadline: now.Add(req.Remaining)}
	accTier := q.accountTier(acc, tr)
	cls := tr.classFor(&params, q.window)
	if !accTier.waiting() {
		accTier.virtualService = max(accTier.virtualService, tr.floor)
	}
	item.flow = accTier.flowFor(cls)
	item.flow.items.push(item)
	cls.reposition(item.flow)
	q.items[req.ID] = item
	q.byCheckAt.push(item)
	tr.arrivals.add(item)
	accTier.arrivals.add(item)
	tr.work.add(item)
	tr.load.add(item)
	acc.load.add(item)
	q.load.add(item)
}
