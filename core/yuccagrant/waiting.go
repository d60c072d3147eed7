package yuccagrant

import (
	"cmp"
	"slices"
	"time"
)

// waiting is an ask in the queue.
type waiting struct {
	Request
	asked time.Time
	// work is how long a run is expected to hold a place of the quickest target, in seconds,
	// and index that work counted by the rank: within a tier the least goes first.
	work  float64
	index float64
}

// onTime reports whether the first event can still be on time.
func (item *waiting) onTime(now time.Time) bool { return !item.SoftDeadline.Before(now) }

// pressed reports whether the request has waited so long that no less urgent one may go
// before it any more.
func (item *waiting) pressed(now time.Time) bool {
	return now.Sub(item.asked) > time.Duration(passedPart*float64(item.Deadline.Sub(item.asked)))
}

// line is what waits of one tier, the least index first.
type line struct {
	tier  int
	items []*waiting
}

// pressed returns the rank of the most urgent request that is pressed, and whether there is
// one.
func (ln *line) pressed(now time.Time) (rank int, found bool) {
	for _, item := range ln.items {
		if (!found || item.rank() < rank) && item.pressed(now) {
			rank, found = item.rank(), true
		}
	}
	return rank, found
}

// queue holds what waits, the most urgent tier first.
type queue struct {
	lines []*line
	byID  map[ID]*waiting
}

func newQueue() queue {
	return queue{byID: make(map[ID]*waiting)}
}

func (q *queue) push(item *waiting) {
	at, found := slices.BinarySearchFunc(q.lines, item.Tier, func(ln *line, tier int) int { return cmp.Compare(ln.tier, tier) })
	if !found {
		q.lines = slices.Insert(q.lines, at, &line{tier: item.Tier})
	}
	ln := q.lines[at]
	place, _ := slices.BinarySearchFunc(ln.items, item.index, func(other *waiting, index float64) int {
		if other.index > index {
			return 1
		}
		return -1
	})
	ln.items = slices.Insert(ln.items, place, item)
	q.byID[item.ID] = item
}

func (q *queue) remove(id ID) *waiting {
	item, waits := q.byID[id]
	if !waits {
		return nil
	}
	delete(q.byID, id)
	for _, ln := range q.lines {
		if ln.tier == item.Tier {
			at := slices.Index(ln.items, item)
			ln.items = slices.Delete(ln.items, at, at+1)
		}
	}
	return item
}

func (q *queue) len() int { return len(q.byID) }

// ahead sums the work that is served before a request of a tier and an index, in seconds of
// the quickest target.
func (q *queue) ahead(tier int, index float64) float64 {
	sum := 0.0
	for _, ln := range q.lines {
		for _, item := range ln.items {
			if ln.tier > tier || ln.tier == tier && item.index > index {
				break
			}
			sum += item.work
		}
	}
	return sum
}
