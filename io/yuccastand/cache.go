package yuccastand

import (
	"container/list"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccatarget"
)

// eventLimit bounds the cache events that are kept; older ones show as a gap.
const eventLimit = 4096

// prefixCache holds prefix blocks in the order of their last use. A block stands for
// the prompt up to its end, so a prompt's leading blocks are looked up one by one.
type prefixCache struct {
	block    yuccaid.Tokens
	limit    int
	order    *list.List
	elements map[uint64]*list.Element
}

func newPrefixCache(size, block yuccaid.Tokens) *prefixCache {
	return &prefixCache{
		block:    block,
		limit:    int(size / block),
		order:    list.New(),
		elements: make(map[uint64]*list.Element),
	}
}

// cached returns how many leading tokens of the prompt are in the cache.
func (cache *prefixCache) cached(prefixes []uint64, prompt yuccaid.Tokens) yuccaid.Tokens {
	found := 0
	for found < len(prefixes) && cache.elements[prefixes[found]] != nil {
		found++
	}
	return min(yuccaid.Tokens(found)*cache.block, prompt)
}

// store takes a prompt's blocks in and returns what entered and what left. The blocks
// are touched from the last to the first, so that a prompt's tail is evicted before
// its head, without which the tail is of no use.
func (cache *prefixCache) store(prefixes []uint64) (stored, evicted []uint64) {
	for i := len(prefixes) - 1; i >= 0; i-- {
		prefix := prefixes[i]
		if element := cache.elements[prefix]; element != nil {
			cache.order.MoveToFront(element)
			continue
		}
		cache.elements[prefix] = cache.order.PushFront(prefix)
		stored = append(stored, prefix)
	}
	for cache.order.Len() > cache.limit {
		oldest := cache.order.Back()
		prefix, _ := cache.order.Remove(oldest).(uint64)
		delete(cache.elements, prefix)
		evicted = append(evicted, prefix)
	}
	return stored, evicted
}

// eventLog keeps the last cache events and the time of each.
type eventLog struct {
	sequence uint64
	events   []yuccatarget.CacheEvent
	times    []time.Time
}

// add logs an event, or loses it: its number is used up either way.
func (log *eventLog) add(now time.Time, stored, evicted []uint64, lost bool) {
	if len(stored)+len(evicted) == 0 {
		return
	}
	log.sequence++
	if lost {
		return
	}
	log.events = append(log.events, yuccatarget.CacheEvent{Sequence: log.sequence, Stored: stored, Evicted: evicted})
	log.times = append(log.times, now)
	if len(log.events) > eventLimit {
		log.events = log.events[1:]
		log.times = log.times[1:]
	}
}

// after returns the events behind a sequence number that are old enough to be seen.
func (log *eventLog) after(sequence uint64, seen time.Time) []yuccatarget.CacheEvent {
	found := []yuccatarget.CacheEvent{}
	for i, event := range log.events {
		if event.Sequence > sequence && !log.times[i].After(seen) {
			found = append(found, event)
		}
	}
	return found
}
