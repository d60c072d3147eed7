package yuccaqueue

import "time"

// TargetSet is the number of a set of targets that a request may use. The caller
// assigns the numbers; the queue only compares them.
//
// If one request finds no free slot, no other request of its tier with the same target
// set and the same value of Params.Long would find a free slot. So the queue doesn't try
// those other requests.
type TargetSet uint32

// Params holds the scheduling parameters that the caller computes for a request.
type Params struct {
	TargetSet TargetSet
	// Long marks a prompt that occupies a target long enough to delay short requests.
	Long bool
	// Key is the time by which requests are ordered, the earliest first. It orders the
	// requests of one account within a class. Among the accounts that compete by deadline
	// (see class), the account whose first request has the earliest Key is served next.
	Key time.Time
	// CheckAt is the time from which NextToCheck returns the request if it still waits.
	CheckAt time.Time
	// LatestStart is the last moment at which a target could still meet the deadline.
	LatestStart time.Time
	// Work is the expected service time of the request on one target.
	Work time.Duration
}

// Item is one waiting request.
type Item struct {
	Request  Request
	Params   Params
	Arrived  time.Time
	Deadline time.Time

	flow         *flow
	held         bool
	posInFlow    int
	posInCheckAt int
	links        [2]arrivalLinks
}

// Remaining returns the time left until the deadline.
func (item *Item) Remaining(now time.Time) time.Duration {
	return item.Deadline.Sub(now)
}

type arrivalLinks struct {
	older, newer *Item
}

// The kinds of arrival lists. Each item is in two lists: that of its tier and that of its
// accountTier.
const (
	listOfTier = iota
	listOfAccountTier
)

// arrivals is a linked list of items in order of arrival, so that the newest is found
// in constant time. An item has one pair of links for each kind of list.
type arrivals struct {
	kind   int
	newest *Item
}

func (list *arrivals) add(item *Item) {
	item.links[list.kind] = arrivalLinks{older: list.newest}
	if list.newest != nil {
		list.newest.links[list.kind].newer = item
	}
	list.newest = item
}

func (list *arrivals) remove(item *Item) {
	itemLinks := item.links[list.kind]
	if itemLinks.older != nil {
		itemLinks.older.links[list.kind].newer = itemLinks.newer
	}
	if itemLinks.newer != nil {
		itemLinks.newer.links[list.kind].older = itemLinks.older
	} else {
		list.newest = itemLinks.older
	}
	item.links[list.kind] = arrivalLinks{}
}
