package yuccagrant

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaallow"
)

// queueEntry is a waiting request.
type queueEntry struct {
	Request
	submitted time.Time
	// expectedWork is how long the request is expected to occupy a slot of the fastest target,
	// in seconds. sortKey is the work that the request is ordered by, weighted by rank; within a
	// tier the entry with the lowest sortKey goes first.
	expectedWork float64
	sortKey      float64
}

// onTime reports whether the soft deadline has not passed, so that the first event can still be
// on time.
func (entry *queueEntry) onTime(now time.Time) bool { return !entry.SoftDeadline.Before(now) }

// starved reports whether the request has waited so long that less urgent requests may no longer
// overtake it.
func (entry *queueEntry) starved(now time.Time) bool {
	return now.Sub(entry.submitted) > time.Duration(starvationShare*float64(entry.Deadline.Sub(entry.submitted)))
}

// key returns what the request is ordered by now: the sortKey, and that of a request one rank less urgent
// once the request is late. A late answer is worth less to its caller than one on time, but a more urgent
// one more than a less urgent one on time, so late requests mustn't wait for all others.
func (entry *queueEntry) key(now time.Time) float64 {
	if entry.onTime(now) {
		return entry.sortKey
	}
	return rankFactor * entry.sortKey
}

// tierQueue holds the waiting requests of one tier, sorted by sortKey.
type tierQueue struct {
	tier    int
	entries []*queueEntry
}

// mostUrgentStarved returns the effective rank of the most urgent request that is starved, and
// whether any request is starved.
func (tq *tierQueue) mostUrgentStarved(now time.Time) (rank int, found bool) {
	for _, entry := range tq.entries {
		if (!found || entry.effectiveRank() < rank) && entry.starved(now) {
			rank, found = entry.effectiveRank(), true
		}
	}
	return rank, found
}

// ordered returns the entries by their present keys.
func (tq *tierQueue) ordered(now time.Time) []*queueEntry {
	var onTime, late []*queueEntry
	for _, entry := range tq.entries {
		if entry.onTime(now) {
			onTime = append(onTime, entry)
		} else {
			late = append(late, entry)
		}
	}
	if len(late) == 0 {
		return onTime
	}
	merged := make([]*queueEntry, 0, len(onTime)+len(late))
	for len(onTime) > 0 && len(late) > 0 {
		if onTime[0].key(now) <= late[0].key(now) {
			merged, onTime = append(merged, onTime[0]), onTime[1:]
		} else {
			merged, late = append(merged, late[0]), late[1:]
		}
	}
	return append(append(merged, onTime...), late...)
}

// queue holds the waiting requests, the most urgent tier first.
type queue struct {
	tiers []*tierQueue
	byID  map[ID]*queueEntry
}

func newQueue() queue {
	return queue{byID: make(map[ID]*queueEntry)}
}

// push inserts an entry behind all entries of its tier with the same or a lower sortKey.
func (q *queue) push(entry *queueEntry) {
	at, found := slices.BinarySearchFunc(q.tiers, entry.Tier, func(tq *tierQueue, tier int) int { return cmp.Compare(tq.tier, tier) })
	if !found {
		q.tiers = slices.Insert(q.tiers, at, &tierQueue{tier: entry.Tier})
	}
	tq := q.tiers[at]
	pos, _ := slices.BinarySearchFunc(tq.entries, entry.sortKey, func(other *queueEntry, sortKey float64) int {
		if other.sortKey > sortKey {
			return 1
		}
		return -1
	})
	tq.entries = slices.Insert(tq.entries, pos, entry)
	q.byID[entry.ID] = entry
}

// remove removes a request and returns its entry, or nil if it isn't waiting.
func (q *queue) remove(id ID) *queueEntry {
	entry, found := q.byID[id]
	if !found {
		return nil
	}
	delete(q.byID, id)
	for _, tq := range q.tiers {
		if tq.tier == entry.Tier {
			at := slices.Index(tq.entries, entry)
			tq.entries = slices.Delete(tq.entries, at, at+1)
		}
	}
	return entry
}

func (q *queue) len() int { return len(q.byID) }

// count returns how many waiting requests have the given limits.
func (q *queue) count(lim yuccaallow.Limits) int {
	sum := 0
	for _, entry := range q.byID {
		if entry.limits() == lim {
			sum++
		}
	}
	return sum
}

// workAhead returns the expected work of all waiting requests that go before a request of the given
// tier and key. Waiting requests with the same tier and key are included.
func (q *queue) workAhead(now time.Time, tier int, key float64) demand {
	var sum demand
	for _, tq := range q.tiers {
		if tq.tier > tier {
			break
		}
		for _, entry := range tq.entries {
			if tq.tier < tier || entry.key(now) <= key {
				sum.add(entry.limits(), entry.expectedWork)
			}
		}
	}
	return sum
}
