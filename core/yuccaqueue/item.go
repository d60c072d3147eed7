package yuccaqueue

import "time"

// TargetSet numbers a set of targets; the caller decides what stands behind it.
//
// Requests of one reach and length class can use the same room, so when one of them
// finds none, none of them has to be asked again.
type TargetSet uint32

// Params is what the caller worked out for an ask before it queues it.
type Params struct {
	TargetSet TargetSet
	// Long marks a prompt that occupies a target long enough to harm short requests.
	Long bool
	// Key orders requests within an account, the earliest first.
	Key time.Time
	// CheckAt is when the caller wants to look at the request if it still waits.
	CheckAt time.Time
	// LatestStart is when no target could meet the deadline any more.
	LatestStart time.Time
	// Work is the time that the request is expected to take of one target.
	Work time.Duration
}

// Item is one waiting request.
type Item struct {
	Request  Request
	Params   Params
	Arrived  time.Time
	Deadline time.Time

	flow   *flow
	held   bool
	inFlow int
	inDue  int
	links  [2]link
}

// Remaining returns the time left until the deadline.
func (item *Item) Remaining(now time.Time) time.Duration {
	return item.Deadline.Sub(now)
}

type link struct {
	older, newer *Item
}

// The two chains that an item is part of.
const (
	chainTier = iota
	chainShare
)

// chain keeps items in order of arrival, so that the newest is found at once.
type chain struct {
	kind   int
	newest *Item
}

func (ch *chain) add(item *Item) {
	item.links[ch.kind] = link{older: ch.newest}
	if ch.newest != nil {
		ch.newest.links[ch.kind].newer = item
	}
	ch.newest = item
}

func (ch *chain) drop(item *Item) {
	at := item.links[ch.kind]
	if at.older != nil {
		at.older.links[ch.kind].newer = at.newer
	}
	if at.newer != nil {
		at.newer.links[ch.kind].older = at.older
	} else {
		ch.newest = at.older
	}
	item.links[ch.kind] = link{}
}
