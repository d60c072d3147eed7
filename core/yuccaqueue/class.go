package yuccaqueue

// flow holds the waiting requests of one account in one class, the earliest Params.Key
// first.
//
// The pos fields are the flow's positions in the heaps of its class.
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
// Accounts whose virtual service is at most window above that of the account served
// least compete by deadline; the others wait until that account has caught up. With
// spare capacity all accounts are within the window, and the pure deadline order loses
// no request that could meet its deadline. Under load an account with many requests
// cannot displace one with few by early deadlines alone.
//
// floor is the highest value so far of the least virtual service among the class's
// flows. parked says that no request of the class finds a free slot; held lists
// requests for which the free slots are unsuitable. Neither is tried again before
// unpark. asideTurn is the call of Serve that last parked the class or held one of its
// requests.
type class struct {
	targetSet TargetSet
	long      bool
	window    float64
	floor     float64
	parked    bool
	asideTurn uint64
	held      []*Item
	byService heap[*flow]
	eligible  heap[*flow]
	ahead     heap[*flow]
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
// service, its first item or its account's blocking.
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

// assignHeap puts a flow in the eligible heap if it is within the window, otherwise in
// the ahead heap.
func (cls *class) assignHeap(fl *flow) {
	if fl.accountTier.virtualService <= cls.floor+cls.window {
		cls.ahead.remove(fl)
		cls.eligible.fix(fl)
		return
	}
	cls.eligible.remove(fl)
	cls.ahead.fix(fl)
}

// advanceFloor raises the floor to the least virtual service and makes the flows
// eligible that are now within the window.
func (cls *class) advanceFloor() {
	if cls.byService.len() == 0 {
		return
	}
	cls.floor = max(cls.floor, cls.byService.top().accountTier.virtualService)
	for cls.ahead.len() > 0 && cls.ahead.top().accountTier.virtualService <= cls.floor+cls.window {
		cls.assignHeap(cls.ahead.top())
	}
}

// head returns the flow to be served next, or nil.
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

// park sets the whole class aside, because no free slot was found for it, until unpark.
func (cls *class) park(serveTurn uint64) {
	cls.parked = true
	cls.asideTurn = serveTurn
}

// hold sets a request aside, for which the free slots are unsuitable, until unpark.
func (cls *class) hold(serveTurn uint64, item *Item) {
	cls.asideTurn = serveTurn
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
	for at, item := range cls.held {
		cls.held[at] = nil
		item.held = false
		item.flow.items.push(item)
		cls.reposition(item.flow)
	}
	cls.held = cls.held[:0]
}

// release removes a request from held without queueing it again.
func (cls *class) release(item *Item) {
	for at, other := range cls.held {
		if other == item {
			last := len(cls.held) - 1
			cls.held[at] = cls.held[last]
			cls.held[last] = nil
			cls.held = cls.held[:last]
			item.held = false
			return
		}
	}
}
