package yuccagrant

import (
	"slices"
	"time"
)

// waiting is an ask in the queue.
type waiting struct {
	Ask
	asked time.Time
}

// line is what waits at one rank, the earliest aim first.
type line struct {
	rank  int
	items []*waiting
}

// queue holds what waits, the most urgent rank first.
type queue struct {
	lines []*line
	byID  map[ID]*waiting
}

func newQueue() queue {
	return queue{byID: make(map[ID]*waiting)}
}

func (q *queue) push(item *waiting) {
	at, found := slices.BinarySearchFunc(q.lines, item.Rank, func(ln *line, rank int) int { return ln.rank - rank })
	if !found {
		q.lines = slices.Insert(q.lines, at, &line{rank: item.Rank})
	}
	ln := q.lines[at]
	place, _ := slices.BinarySearchFunc(ln.items, item.Aim, func(other *waiting, aim time.Time) int {
		if other.Aim.After(aim) {
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
		if ln.rank == item.Rank {
			ln.items = slices.DeleteFunc(ln.items, func(other *waiting) bool { return other == item })
		}
	}
	return item
}

func (q *queue) len() int { return len(q.byID) }

// ahead counts what is served before a request of the rank and aim.
func (q *queue) ahead(rank int, aim time.Time) int {
	sum := 0
	for _, ln := range q.lines {
		if ln.rank < rank {
			sum += len(ln.items)
		}
		if ln.rank == rank {
			for _, item := range ln.items {
				if item.Aim.After(aim) {
					break
				}
				sum++
			}
		}
	}
	return sum
}
