package yuccaqueue

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// ServeResult is what the caller of Serve says of the request it was shown.
type ServeResult int

// The answers to Serve.
const (
	// Placed says that the request got its target and leaves the queue.
	Placed ServeResult = iota
	// NoFreeSlot says that no request of this reach and length finds room now.
	NoFreeSlot
	// Unsuitable says that the room there is now doesn't suit this request.
	Unsuitable
)

// Option changes a queue at its construction.
type Option func(*Queue)

// WithBounds sets what may wait.
func WithBounds(bounds Bounds) Option {
	return func(q *Queue) { q.bounds = bounds }
}

// WithFairWindow sets how many seconds of service an account may be ahead of the one
// served least before deadlines stop speaking for it.
func WithFairWindow(seconds float64) Option {
	return func(q *Queue) { q.window = seconds }
}

// WithoutDisplacement makes a full queue refuse every arrival; it exists to show that
// the tier rule needs displacement.
func WithoutDisplacement() Option {
	return func(q *Queue) { q.displaces = false }
}

// WithoutRecheck leaves classes that found no room aside until Wake; it exists to show
// that the tier rule needs the second look.
func WithoutRecheck() Option {
	return func(q *Queue) { q.rechecks = false }
}

// Queue holds one pool's waiting requests: strict tiers, and within a tier deadline
// order between accounts that are within a window of their fair share.
type Queue struct {
	bounds    Bounds
	window    float64
	displaces bool
	rechecks  bool
	items     map[yuccaid.RequestID]*Item
	accounts  map[yuccaid.Account]*account
	tiers     []*tier
	due       heap[*Item]
	turn      uint64
	load      load
}

// New returns an empty queue.
func New(options ...Option) *Queue {
	q := &Queue{
		bounds:    DefaultBounds(),
		window:    fairWindow,
		displaces: true,
		rechecks:  true,
		items:     map[yuccaid.RequestID]*Item{},
		accounts:  map[yuccaid.Account]*account{},
		due: heap[*Item]{
			less:  func(a, b *Item) bool { return a.Params.CheckAt.Before(b.Params.CheckAt) },
			place: func(item *Item) *int { return &item.inDue },
		},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Len returns how many requests wait.
func (q *Queue) Len() int {
	return len(q.items)
}

// Get returns a waiting request.
func (q *Queue) Get(id yuccaid.RequestID) (*Item, bool) {
	item, found := q.items[id]
	return item, found
}

// SetWeight sets an account's share of a tier's service; one below 1 counts as 1.
func (q *Queue) SetWeight(name yuccaid.Account, weight int) {
	q.account(name).weight = float64(max(weight, 1))
}

// SetBlocked keeps an account's requests waiting whatever room there is, or lets them
// go on; it is for an account at its own limit of running requests.
func (q *Queue) SetBlocked(name yuccaid.Account, blocked bool) {
	acc := q.account(name)
	if acc.blocked == blocked {
		return
	}
	acc.blocked = blocked
	for _, sh := range acc.shares {
		sh.seat()
	}
}

// Remove takes a waiting request out.
func (q *Queue) Remove(item *Item) {
	if q.items[item.Request.ID] != item {
		return
	}
	fl := item.flow
	tr := fl.share.tier
	if item.held {
		fl.class.release(item)
	} else {
		fl.items.drop(item)
		fl.class.seat(fl)
	}
	delete(q.items, item.Request.ID)
	q.due.drop(item)
	tr.chain.drop(item)
	fl.share.chain.drop(item)
	tr.work.drop(item)
	tr.load.drop(item)
	fl.share.account.load.drop(item)
	q.load.drop(item)
}

// RemoveServed removes a request that was given a target outside Serve and counts its work as
// its account's.
func (q *Queue) RemoveServed(item *Item) {
	q.Remove(item)
	item.flow.share.charge(item.Params.Work.Seconds())
}

// Serve shows the waiting requests in the order of service, the highest tier first,
// until nothing more finds room.
//
// A class that found no room isn't asked again before Wake, so an arrival behind a
// full pool costs no scan of the targets. Room can come up by the mere passing of
// time, though, so before a tier is served, the classes above it that were set aside
// in an earlier turn are asked once more: else a lower tier could take their place.
func (q *Queue) Serve(try func(*Item) ServeResult) {
	q.turn++
	for at := 0; at < len(q.tiers); at++ {
		fl := q.tiers[at].next()
		if fl == nil {
			continue
		}
		if q.wakeAbove(at) {
			at = -1
			continue
		}
		for ; fl != nil; fl = q.tiers[at].next() {
			q.serveOne(fl, try)
		}
	}
}

func (q *Queue) serveOne(fl *flow, try func(*Item) ServeResult) {
	item := fl.items.top()
	switch try(item) {
	case Placed:
		q.RemoveServed(item)
	case NoFreeSlot:
		fl.class.park(q.turn)
	case Unsuitable:
		fl.class.hold(q.turn, item)
	}
}

// wakeAbove wakes the classes of higher tiers that were set aside in earlier turns and
// reports whether there were any.
func (q *Queue) wakeAbove(at int) bool {
	woken := false
	if !q.rechecks {
		return false
	}
	for _, tr := range q.tiers[:at] {
		for _, cls := range tr.classes {
			if cls.aside() && cls.since < q.turn {
				cls.wake()
				woken = true
			}
		}
	}
	return woken
}

// Unpark lets the classes of the matching reaches be served again.
func (q *Queue) Unpark(match func(TargetSet) bool) {
	for _, tr := range q.tiers {
		for _, cls := range tr.classes {
			if cls.aside() && match(cls.reach) {
				cls.wake()
			}
		}
	}
}

// NextToCheck returns the request whose time to be looked at has come first, or nil.
func (q *Queue) NextToCheck(now time.Time) *Item {
	if q.due.len() == 0 || q.due.top().Params.CheckAt.After(now) {
		return nil
	}
	return q.due.top()
}

// NextCheck returns when Due has something to return.
func (q *Queue) NextCheck() (time.Time, bool) {
	if q.due.len() == 0 {
		return time.Time{}, false
	}
	return q.due.top().Params.CheckAt, true
}

// Defer sets when a request is to be looked at again.
func (q *Queue) Defer(item *Item, due time.Time) {
	item.Params.CheckAt = due
	q.due.fix(item)
}

// WorkAhead sums the work that would be served before a request of the rank and deadline
// that arrives now: all of the higher tiers and the earlier deadlines of its own.
func (q *Queue) WorkAhead(now time.Time, rank int, deadline time.Time) time.Duration {
	var sum time.Duration
	for _, tr := range q.tiers {
		if tr.rank < rank {
			sum += tr.work.total
		}
		if tr.rank == rank {
			sum += tr.work.before(now, deadline)
		}
	}
	return sum
}

// TierLoad is what waits at one rank.
type TierLoad struct {
	Tier     yuccaid.Tier
	Rank     int
	Requests int
	Tokens   yuccaid.Tokens
	Work     time.Duration
}

// TierLoads returns what waits, the highest tier first.
func (q *Queue) TierLoads() []TierLoad {
	list := make([]TierLoad, 0, len(q.tiers))
	for _, tr := range q.tiers {
		list = append(list, TierLoad{
			Tier: tr.name, Rank: tr.rank, Requests: tr.load.requests, Tokens: tr.load.tokens, Work: tr.work.total,
		})
	}
	return list
}

// ForEach calls visit for each waiting request; it is for a change of configuration and
// for tests, not for the steady state.
func (q *Queue) ForEach(visit func(*Item)) {
	for _, item := range q.items {
		visit(item)
	}
}

// UpdateParams gives a waiting request other terms, as after a change of configuration.
func (q *Queue) UpdateParams(item *Item, terms Params) {
	sh := item.flow.share
	if item.held {
		item.flow.class.release(item)
	} else {
		item.flow.items.drop(item)
		item.flow.class.seat(item.flow)
	}
	sh.tier.work.drop(item)
	item.Params = terms
	sh.tier.work.add(item)
	item.flow = sh.flowIn(sh.tier.classOf(&terms, q.window))
	item.flow.items.push(item)
	item.flow.class.seat(item.flow)
	q.due.fix(item)
}

// PruneClasses forgets classes that nothing waits in, after reaches were renumbered.
func (q *Queue) PruneClasses() {
	empty := func(cls *class) bool { return cls.all.len() == 0 && len(cls.held) == 0 }
	for _, acc := range q.accounts {
		for _, sh := range acc.shares {
			sh.flows = slices.DeleteFunc(sh.flows, func(fl *flow) bool { return fl.items.len() == 0 && empty(fl.class) })
		}
	}
	for _, tr := range q.tiers {
		tr.classes = slices.DeleteFunc(tr.classes, func(cls *class) bool {
			return empty(cls) && !q.used(cls)
		})
	}
}

func (q *Queue) used(cls *class) bool {
	for _, acc := range q.accounts {
		for _, sh := range acc.shares {
			for _, fl := range sh.flows {
				if fl.class == cls {
					return true
				}
			}
		}
	}
	return false
}

func (q *Queue) account(name yuccaid.Account) *account {
	acc, found := q.accounts[name]
	if !found {
		acc = &account{name: name, weight: 1}
		q.accounts[name] = acc
	}
	return acc
}

func (q *Queue) tier(name yuccaid.Tier, rank int) *tier {
	at, found := slices.BinarySearchFunc(q.tiers, rank, func(tr *tier, rank int) int { return tr.rank - rank })
	if !found {
		fresh := &tier{name: name, rank: rank, chain: chain{kind: chainTier}}
		q.tiers = slices.Insert(q.tiers, at, fresh)
	}
	return q.tiers[at]
}

func (q *Queue) share(acc *account, tr *tier) *share {
	for _, sh := range acc.shares {
		if sh.tier == tr {
			return sh
		}
	}
	sh := &share{account: acc, tier: tr, chain: chain{kind: chainShare}}
	acc.shares = append(acc.shares, sh)
	return sh
}

// FirstAtOrAbove returns the request that is served first at the rank or above, whether there
// is room for it or not, or nil.
func (q *Queue) FirstAtOrAbove(rank int) *Item {
	for _, tr := range q.tiers {
		if tr.rank > rank {
			return nil
		}
		if item := tr.first(); item != nil {
			return item
		}
	}
	return nil
}

// CountAbove returns how many requests of higher tiers wait.
func (q *Queue) CountAbove(rank int) int {
	sum := 0
	for _, tr := range q.tiers {
		if tr.rank < rank {
			sum += tr.load.requests
		}
	}
	return sum
}
