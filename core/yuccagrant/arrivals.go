package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
)

const (
	// arrivalTime is the time over which the arriving work is averaged.
	arrivalTime = time.Second
	// arrivalKeys is the number of ranges of keys for which arriving work is counted apart. Each range
	// ends at twice the key of the one before it, and the first one at smallestKey.
	arrivalKeys = 32
	smallestKey = 1.0 / 256
	// maxArrivalClasses bounds the tiers and limits for which arriving work is counted apart. Beyond it
	// the count begins anew.
	maxArrivalClasses = 256
	// minFreeCapacity is the share of the targets' capacity that is assumed to be left by the work that
	// arrives and goes first. It bounds estimated waits while more arrives than can be served.
	minFreeCapacity = 0.1
)

// arrivals is how much work that isn't refused arrives for a pool, by tier and key.
//
// While a pool is overloaded, the requests that wait aren't all that goes before a request: those that
// arrive later and are more urgent do as well. If the wait were estimated by the queue alone, less urgent
// requests would be kept until their callers' time is up, and then be refused.
type arrivals struct {
	classes map[arrivalClass]*[arrivalKeys]arrivingWork
}

// arrivalClass is what the arriving work is counted by apart from its key.
type arrivalClass struct {
	tier   int
	limits yuccaallow.Limits
}

// arrivingWork is a decaying sum of work in seconds of one slot of the fastest target.
type arrivingWork struct {
	sum float64
	at  time.Time
}

// decayed returns the sum as it is now.
func (work *arrivingWork) decayed(now time.Time) float64 {
	if work.sum == 0 {
		return 0
	}
	return work.sum * math.Exp(-now.Sub(work.at).Seconds()/arrivalTime.Seconds())
}

func newArrivals() arrivals {
	return arrivals{classes: make(map[arrivalClass]*[arrivalKeys]arrivingWork)}
}

// add counts the work of a request that arrives now.
func (arr *arrivals) add(now time.Time, entry *queueEntry) {
	cls := arrivalClass{entry.Tier, entry.limits()}
	keys := arr.classes[cls]
	if keys == nil {
		if len(arr.classes) >= maxArrivalClasses {
			clear(arr.classes)
		}
		keys = new([arrivalKeys]arrivingWork)
		arr.classes[cls] = keys
	}
	cell := &keys[keyRange(entry.sortKey)]
	cell.sum, cell.at = cell.decayed(now)+entry.expectedWork, now
}

// remove takes back the work of a request that is refused now, so that what is refused doesn't count as
// going before others.
func (arr *arrivals) remove(now time.Time, entry *queueEntry) {
	if keys := arr.classes[arrivalClass{entry.Tier, entry.limits()}]; keys != nil {
		cell := &keys[keyRange(entry.sortKey)]
		cell.sum, cell.at = max(cell.decayed(now)-entry.expectedWork, 0), now
	}
}

// ahead returns how much work arrives in a second that goes before a request whose key is the given one
// now. Of the work in the request's own range of keys, half is assumed to do so. Requests that are limited
// to other targets aren't counted.
func (arr *arrivals) ahead(now time.Time, entry *queueEntry, key float64) float64 {
	sum, own := 0.0, keyRange(key)
	for cls, keys := range arr.classes {
		if !cls.limits.Any() && cls.limits != entry.limits() {
			continue
		}
		for at := range keys {
			switch {
			case cls.tier < entry.Tier || cls.tier == entry.Tier && at < own:
				sum += keys[at].decayed(now)
			case cls.tier == entry.Tier && at == own:
				sum += keys[at].decayed(now) / 2
			}
		}
	}
	return sum / arrivalTime.Seconds()
}

// keyRange returns the range that a key lies in.
func keyRange(key float64) int {
	return min(max(int(math.Ceil(math.Log2(max(key, smallestKey)/smallestKey))), 0), arrivalKeys-1)
}

// freeShare returns the share of the capacity within the limits that more urgent work leaves, of which the given
// amount arrives in a second.
func (caps capacities) freeShare(lim yuccaallow.Limits, arriving float64) float64 {
	return max(1-arriving/caps.within(lim), minFreeCapacity)
}
