package yuccaqueue

// flow is what one account has waiting in one class.
type flow struct {
	share *share
	class *class
	items heap[*Item]

	inAll      int
	inEligible int
	inLate     int
}

func newFlow(sh *share, cls *class) *flow {
	return &flow{share: sh, class: cls, items: heap[*Item]{
		less:  func(a, b *Item) bool { return a.Params.Key.Before(b.Params.Key) },
		place: func(item *Item) *int { return &item.inFlow },
	}}
}

// class is the part of a tier whose requests can use the same room: one reach, and
// either short or long.
//
// Accounts within fairWindow of the one served least compete by deadline; the others
// wait until the least served has caught up. With spare capacity everybody is within
// the window and the order is by deadline, which loses no request that could be met.
// Under load a large account can't push out a small one by deadlines alone.
type class struct {
	reach    TargetSet
	long     bool
	window   float64
	floor    float64
	parked   bool
	since    uint64
	held     []*Item
	all      heap[*flow]
	eligible heap[*flow]
	late     heap[*flow]
}

func newClass(reach TargetSet, long bool, window float64) *class {
	byVirtual := func(a, b *flow) bool { return a.share.virtual < b.share.virtual }
	byKey := func(a, b *flow) bool { return a.items.top().Params.Key.Before(b.items.top().Params.Key) }
	return &class{
		reach:    reach,
		long:     long,
		window:   window,
		all:      heap[*flow]{less: byVirtual, place: func(fl *flow) *int { return &fl.inAll }},
		eligible: heap[*flow]{less: byKey, place: func(fl *flow) *int { return &fl.inEligible }},
		late:     heap[*flow]{less: byVirtual, place: func(fl *flow) *int { return &fl.inLate }},
	}
}

// seat puts a flow where its share and its first item belong.
func (cls *class) seat(fl *flow) {
	if fl.items.len() == 0 || fl.share.account.blocked {
		cls.all.drop(fl)
		cls.eligible.drop(fl)
		cls.late.drop(fl)
	} else {
		cls.all.fix(fl)
		cls.place(fl)
	}
	cls.advance()
}

func (cls *class) place(fl *flow) {
	if fl.share.virtual <= cls.floor+cls.window {
		cls.late.drop(fl)
		cls.eligible.fix(fl)
		return
	}
	cls.eligible.drop(fl)
	cls.late.fix(fl)
}

// advance raises the floor to the least served flow and admits those it now covers.
func (cls *class) advance() {
	if cls.all.len() == 0 {
		return
	}
	cls.floor = max(cls.floor, cls.all.top().share.virtual)
	for cls.late.len() > 0 && cls.late.top().share.virtual <= cls.floor+cls.window {
		cls.place(cls.late.top())
	}
}

// head returns the flow to be served next, or nil.
func (cls *class) head() *flow {
	if cls.parked || cls.eligible.len() == 0 {
		return nil
	}
	return cls.eligible.top()
}

// aside reports whether something of the class waits for other room than there was.
func (cls *class) aside() bool {
	return cls.parked || len(cls.held) > 0
}

func (cls *class) park(turn uint64) {
	cls.parked = true
	cls.since = turn
}

// hold sets an item aside until other room comes up.
func (cls *class) hold(turn uint64, item *Item) {
	cls.since = turn
	item.held = true
	item.flow.items.drop(item)
	cls.held = append(cls.held, item)
	cls.seat(item.flow)
	if len(cls.held) >= holdLimit {
		cls.parked = true
	}
}

func (cls *class) wake() {
	cls.parked = false
	for at, item := range cls.held {
		cls.held[at] = nil
		item.held = false
		item.flow.items.push(item)
		cls.seat(item.flow)
	}
	cls.held = cls.held[:0]
}

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
