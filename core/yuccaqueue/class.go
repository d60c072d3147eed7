package yuccaqueue

// flow holds the waiting requests of one account in one class, the earliest Params.Key
// first.
//
// posInService, posInEligible and posInAhead are the flow's positions in the heaps
// byService, eligible and ahead of its class.
type flow struct {
	accountTier *accountTier
	class       *class
	items       heap[*Item]

	posInService  int
	posInEligible int
	posInAhead    int
}

func newFlow(accTier *accountTier, cls *class) *flow {
	return &flow{accountTier: accTier, class: cls, items: heap[*Item]{
		less:     func(a, b *Item) bool { return a.Params.Key.Before(b.Params.Key) },
		position: func(item *Item) *int { return &item.posInFlow },
	}}
}

// class is the part of a tier whose requests can use the same free slots: those with
// one target set that are all short or all long.
//
// Accounts whose virtual service is at most window above floor compete by deadline.
// Accounts further ahead wait until the floor has risen. With spare capacity no account is
// further ahead, so the order is pure deadline order, in which no request that
// could meet its deadline misses it. Under load an account with many requests cannot delay
// an account with few requests merely by early deadlines.
//
// byService holds all flows that have a request to serve, the least virtual service
// first. Held requests and requests of blocked accounts are not to be served. Each flow in
// byService is also in a second heap. If the virtual service of its account is at most
// window above floor, that heap is eligible, which is ordered by Params.Key. Otherwise it is
// ahead, which is ordered by virtual service. floor is the highest value so far of the least
// virtual service among the flows in byService.
//
// held lists requests for which the free slots are unsuitable. parked says that none of
// the class's requests is tried, because one of them found no free slot or because
// maxHeldItems of them are held. Parked classes and held requests are not tried again
// before unpark. lastSetAside is the value of Queue.serveTurn when the class was last
// parked or when one of its requests was last held.
type class struct {
	targetSet    TargetSet
	long         bool
	window       float64
	floor        float64
	parked       bool
	lastSetAside uint64
	held         []*Item
	byService    heap[*flow]
	eligible     heap[*flow]
	ahead        heap[*flow]
}

func newClass(targetSet TargetSet, long bool, window float64) *class {
	byVirtualService := func(a, b *flow) bool { return a.accountTier.virtualService < b.accountTier.virtualService }
	byKey := func(a, b *flow) bool { return a.items.top().Params.Key.Before(b.items.top().Params.Key) }
	return &class{
		targetSet: targetSet,
		long:      long,
		window:    window,
		byService: heap[*flow]{less: byVirtualService, position: func(fl *flow) *int { return &fl.posInService }},
		eligible:  heap[*flow]{less: byKey, position: func(fl *flow) *int { return &fl.posInEligible }},
		ahead:     heap[*flow]{less: byVirtualService, position: func(fl *flow) *int { return &fl.posInAhead }},
	}
}

// reposition updates a flow's positions in the heaps after a change of its virtual
// service or its first item, or after its account was blocked or unblocked.
func (cls *class) reposition(fl *flow) {
	if fl.items.len() == 0 || fl.accountTier.account.blocked {
		cls.byService.remove(fl)
		cls.eligible.remove(fl)
		cls.ahead.remove(fl)
	} else {
		cls.byService.fix(fl)
		cls.assignHeap(fl)
	}
	cls.advanceFloor()
}

// assignHeap puts a flow in the eligible heap if the virtual service of its account is at
// most window above floor, otherwise in the ahead heap.
func (cls *class) assignHeap(fl *flow) {
	if fl.accountTier.virtualService <= cls.floor+cls.window {
		cls.ahead.remove(fl)
		cls.eligible.fix(fl)
		return
	}
	cls.eligible.remove(fl)
	cls.ahead.fix(fl)
}

// advanceFloor raises the floor to the least virtual service. Then it moves the flows whose
// virtual service is now at most window above the floor from the ahead heap to the eligible
// heap.
func (cls *class) advanceFloor() {
	if cls.byService.len() == 0 {
		return
	}
	cls.floor = max(cls.floor, cls.byService.top().accountTier.virtualService)
	for cls.ahead.len() > 0 && cls.ahead.top().accountTier.virtualService <= cls.floor+cls.window {
		cls.assignHeap(cls.ahead.top())
	}
}

// head returns the flow to be served next, or nil if the class is parked or no flow is
// eligible.
func (cls *class) head() *flow {
	if cls.parked || cls.eligible.len() == 0 {
		return nil
	}
	return cls.eligible.top()
}

// anySetAside reports whether the class is parked or one of its requests is held.
func (cls *class) anySetAside() bool {
	return cls.parked || len(cls.held) > 0
}

// park keeps the whole class, for which no free slot was found, from being tried until
// unpark.
func (cls *class) park(serveTurn uint64) {
	cls.parked = true
	cls.lastSetAside = serveTurn
}

// hold keeps a request, for which the free slots are unsuitable, from being tried until
// unpark. It parks the class once maxHeldItems of its requests are held.
func (cls *class) hold(serveTurn uint64, item *Item) {
	cls.lastSetAside = serveTurn
	item.held = true
	item.flow.items.remove(item)
	cls.held = append(cls.held, item)
	cls.reposition(item.flow)
	if len(cls.held) >= maxHeldItems {
		cls.parked = true
	}
}

// unpark lets all requests of the class, held ones included, be served again.
func (cls *class) unpark() {
	cls.parked = false
	for i, item := range cls.held {
		cls.held[i] = nil
		item.held = false
		item.flow.items.push(item)
		cls.reposition(item.flow)
	}
	cls.held = cls.held[:0]
}

// release removes a request from the list of held requests. It does not add the request
// to its flow again.
func (cls *class) release(item *Item) {
	for i, other := range cls.held {
		if other == item {
			last := len(cls.held) - 1
			cls.held[i] = cls.held[last]
			cls.held[last] = nil
			cls.held = cls.held[:last]
			item.held = false
			return
		}
	}
}
