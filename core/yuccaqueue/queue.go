package yuccaqueue

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// ServeResult is what the callback of Serve returns for a request.
type ServeResult int

// The results of the callback of Serve.
const (
	// Placed says that the request got a target, so Serve removes it from the queue.
	Placed ServeResult = iota
	// NoFreeSlot says that neither this request nor any other request of its class finds
	// a free slot (see Serve).
	NoFreeSlot
	// Unsuitable says that there are free slots, but none that suits this request.
	Unsuitable
)

// Option configures a queue at its construction.
type Option func(*Queue)

// WithBounds sets the bounds on waiting requests.
func WithBounds(bounds Bounds) Option {
	return func(q *Queue) { q.bounds = bounds }
}

// WithFairWindow sets the fair window: how far an account may be ahead of the account with
// the least virtual service and still compete by deadline. Its unit is a second of service
// for each unit of the account's weight.
func WithFairWindow(seconds float64) Option {
	return func(q *Queue) { q.window = seconds }
}

// WithoutDisplacement makes a full queue refuse every arrival. It exists for tests, which
// show that the tier rule needs displacement. The tier rule is that no request is refused
// or kept waiting while a request of a lower tier is served instead.
func WithoutDisplacement() Option {
	return func(q *Queue) { q.displaces = false }
}

// WithoutRecheck keeps parked classes and held requests set aside until Unpark, so that
// Serve doesn't try them again by itself. It exists for tests, which show that the tier
// rule (see WithoutDisplacement) needs this second try in Serve.
func WithoutRecheck() Option {
	return func(q *Queue) { q.rechecks = false }
}

// Queue holds one pool's waiting requests in strict tiers. Within a tier, the accounts
// that are within the fair window compete by deadline, and accounts further ahead wait.
//
// byCheckAt orders all waiting requests by Params.CheckAt; serveTurn counts the calls of
// Serve.
type Queue struct {
	bounds    Bounds
	window    float64
	displaces bool
	rechecks  bool
	items     map[yuccaid.RequestID]*Item
	accounts  map[yuccaid.Account]*account
	tiers     []*tier
	byCheckAt heap[*Item]
	serveTurn uint64
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
		byCheckAt: heap[*Item]{
			less:     func(a, b *Item) bool { return a.Params.CheckAt.Before(b.Params.CheckAt) },
			position: func(item *Item) *int { return &item.posInCheckAt },
		},
	}
	for _, option := range options {
		option(q)
	}
	return q
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	return len(q.items)
}

// Get returns the waiting request with the given id.
func (q *Queue) Get(id yuccaid.RequestID) (*Item, bool) {
	item, found := q.items[id]
	return item, found
}

// SetWeight sets an account's weight in the fair order within a tier; a weight below 1
// counts as 1.
func (q *Queue) SetWeight(name yuccaid.Account, weight int) {
	q.account(name).weight = float64(max(weight, 1))
}

// SetBlocked sets whether an account's requests stay in the queue even if there are
// free slots. The caller blocks an account that has reached the account's limit of
// running requests.
func (q *Queue) SetBlocked(name yuccaid.Account, blocked bool) {
	acc := q.account(name)
	if acc.blocked == blocked {
		return
	}
	acc.blocked = blocked
	for _, accTier := range acc.accountTiers {
		accTier.reposition()
	}
}

// Remove removes a waiting request.
func (q *Queue) Remove(item *Item) {
	if q.items[item.Request.ID] != item {
		return
	}
	fl := item.flow
	tr := fl.accountTier.tier
	if item.held {
		fl.class.release(item)
	} else {
		fl.items.remove(item)
		fl.class.reposition(fl)
	}
	delete(q.items, item.Request.ID)
	q.byCheckAt.remove(item)
	tr.arrivals.remove(item)
	fl.accountTier.arrivals.remove(item)
	tr.work.remove(item)
	tr.load.remove(item)
	fl.accountTier.account.load.remove(item)
	q.load.remove(item)
}

// RemoveServed removes a request that got a target and charges its work to its account.
// It is meant for requests that the caller placed outside Serve. For a request that the
// callback of Serve placed, Serve itself calls RemoveServed.
func (q *Queue) RemoveServed(item *Item) {
	q.Remove(item)
	item.flow.accountTier.charge(item.Params.Work.Seconds())
}

// Serve calls try for one waiting request after another, in the order of service with
// the highest tier first, until no further request can be placed.
//
// A class consists of the requests of a tier that have the same TargetSet and the same
// value of Params.Long. When try returns NoFreeSlot, the request's class is parked until
// Unpark, so an arrival at a full pool costs no scan of the targets. When try returns
// Unsuitable, the request is held until Unpark. But a slot can also become usable merely
// because time passes. Before a tier is served, whatever an earlier call of Serve parked
// or held in the higher tiers is therefore tried again; otherwise a lower tier could
// take those slots.
func (q *Queue) Serve(try func(*Item) ServeResult) {
	q.serveTurn++
	for i := 0; i < len(q.tiers); i++ {
		fl := q.tiers[i].next()
		if fl == nil {
			continue
		}
		if q.unparkAbove(i) {
			// Start again with the highest tier.
			i = -1
			continue
		}
		for ; fl != nil; fl = q.tiers[i].next() {
			q.tryFirst(fl, try)
		}
	}
}

// tryFirst calls try for the first request of a flow and applies the result.
func (q *Queue) tryFirst(fl *flow, try func(*Item) ServeResult) {
	item := fl.items.top()
	switch try(item) {
	case Placed:
		q.RemoveServed(item)
	case NoFreeSlot:
		fl.class.park(q.serveTurn)
	case Unsuitable:
		fl.class.hold(q.serveTurn, item)
	}
}

// unparkAbove unparks the classes in the tiers above q.tiers[tierIndex] that an earlier
// call of Serve parked, or of which an earlier call held requests. It reports whether it
// unparked any class.
func (q *Queue) unparkAbove(tierIndex int) bool {
	unparked := false
	if !q.rechecks {
		return false
	}
	for _, tr := range q.tiers[:tierIndex] {
		for _, cls := range tr.classes {
			if cls.anySetAside() && cls.lastSetAside < q.serveTurn {
				cls.unpark()
				unparked = true
			}
		}
	}
	return unparked
}

// Unpark lets Serve try all parked and held requests of the matching target sets again.
func (q *Queue) Unpark(match func(TargetSet) bool) {
	for _, tr := range q.tiers {
		for _, cls := range tr.classes {
			if cls.anySetAside() && match(cls.targetSet) {
				cls.unpark()
			}
		}
	}
}

// NextToCheck returns the request with the earliest Params.CheckAt. It returns nil if no
// request waits or if that CheckAt is after now.
func (q *Queue) NextToCheck(now time.Time) *Item {
	if q.byCheckAt.len() == 0 || q.byCheckAt.top().Params.CheckAt.After(now) {
		return nil
	}
	return q.byCheckAt.top()
}

// NextCheck returns the earliest Params.CheckAt of all waiting requests, or false if
// none waits.
func (q *Queue) NextCheck() (time.Time, bool) {
	if q.byCheckAt.len() == 0 {
		return time.Time{}, false
	}
	return q.byCheckAt.top().Params.CheckAt, true
}

// Defer changes a request's Params.CheckAt.
func (q *Queue) Defer(item *Item, checkAt time.Time) {
	item.Params.CheckAt = checkAt
	q.byCheckAt.fix(item)
}

// WorkAhead returns the total work that would be served before a request of the given
// rank and deadline that arrives now. This is all work of the higher tiers, and in the
// tier of that rank the work of the requests with earlier deadlines.
func (q *Queue) WorkAhead(now time.Time, rank int, deadline time.Time) time.Duration {
	var sum time.Duration
	for _, tr := range q.tiers {
		if tr.rank < rank {
			sum += tr.work.total
		}
		if tr.rank == rank {
			sum += tr.work.workBefore(now, deadline)
		}
	}
	return sum
}

// TierLoad describes the waiting requests of one tier.
type TierLoad struct {
	Tier     yuccaid.Tier
	Rank     int
	Requests int
	Tokens   yuccaid.Tokens
	Work     time.Duration
}

// TierLoads returns the load of each tier, the highest tier first.
func (q *Queue) TierLoads() []TierLoad {
	list := make([]TierLoad, 0, len(q.tiers))
	for _, tr := range q.tiers {
		list = append(list, TierLoad{
			Tier: tr.name, Rank: tr.rank, Requests: tr.load.requests, Tokens: tr.load.tokens, Work: tr.work.total,
		})
	}
	return list
}

// ForEach calls visit for each waiting request in no particular order. It takes linear
// time, so it is for rare events such as a change of configuration.
func (q *Queue) ForEach(visit func(*Item)) {
	for _, item := range q.items {
		visit(item)
	}
}

// UpdateParams replaces the parameters of a waiting request, for example after a change
// of configuration.
func (q *Queue) UpdateParams(item *Item, params Params) {
	accTier := item.flow.accountTier
	if item.held {
		item.flow.class.release(item)
	} else {
		item.flow.items.remove(item)
		item.flow.class.reposition(item.flow)
	}
	accTier.tier.work.remove(item)
	item.Params = params
	accTier.tier.work.add(item)
	item.flow = accTier.flowFor(accTier.tier.classFor(&params, q.window))
	item.flow.items.push(item)
	item.flow.class.reposition(item.flow)
	q.byCheckAt.fix(item)
}

// PruneClasses removes empty classes. The caller calls it after it has renumbered the
// target sets, because otherwise classes whose numbers are no longer used would remain.
func (q *Queue) PruneClasses() {
	empty := func(cls *class) bool { return cls.byService.len() == 0 && len(cls.held) == 0 }
	for _, acc := range q.accounts {
		for _, accTier := range acc.accountTiers {
			accTier.flows = slices.DeleteFunc(accTier.flows, func(fl *flow) bool { return fl.items.len() == 0 && empty(fl.class) })
		}
	}
	for _, tr := range q.tiers {
		tr.classes = slices.DeleteFunc(tr.classes, func(cls *class) bool {
			return empty(cls) && !q.hasFlows(cls)
		})
	}
}

// hasFlows reports whether an account still has a flow in the class.
func (q *Queue) hasFlows(cls *class) bool {
	for _, acc := range q.accounts {
		for _, accTier := range acc.accountTiers {
			for _, fl := range accTier.flows {
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
	index, found := slices.BinarySearchFunc(q.tiers, rank, func(tr *tier, rank int) int { return tr.rank - rank })
	if !found {
		fresh := &tier{name: name, rank: rank, arrivals: arrivals{kind: listOfTier}}
		q.tiers = slices.Insert(q.tiers, index, fresh)
	}
	return q.tiers[index]
}

func (q *Queue) accountTier(acc *account, tr *tier) *accountTier {
	for _, accTier := range acc.accountTiers {
		if accTier.tier == tr {
			return accTier
		}
	}
	accTier := &accountTier{account: acc, tier: tr, arrivals: arrivals{kind: listOfAccountTier}}
	acc.accountTiers = append(acc.accountTiers, accTier)
	return accTier
}

// FirstAtOrAbove returns the first request in the order of service among the tier of the
// given rank and the higher tiers, or nil. Requests of parked classes count, although they
// found no free slot. Held requests and requests of blocked accounts don't count.
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

// CountAbove returns the number of waiting requests in tiers above the given rank.
func (q *Queue) CountAbove(rank int) int {
	sum := 0
	for _, tr := range q.tiers {
		if tr.rank < rank {
			sum += tr.load.requests
		}
	}
	return sum
}
