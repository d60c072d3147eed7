package yuccagrant

import (
	"math"
	"time"
)

const (
	// demandTime is the time over which the arriving work is averaged.
	demandTime = time.Second
	// demandKeys is the number of ranges of keys for which arriving work is counted apart. Each range
	// ends at twice the key of the one before it, and the first one at smallestKey.
	demandKeys  = 32
	smallestKey = 1.0 / 256
	// minFreeCapacity is the share of the targets' capacity that is assumed to be left by the work that
	// arrives and goes first. It bounds estimated waits while more arrives than can be served.
	minFreeCapacity = 0.1
	// minCapacity is the capacity that is assumed at least, in slots of the fastest target, so that waits
	// are defined while no target can be used.
	minCapacity = 0.5
)

// demand is how much work arrives for a pool, by tier and key.
//
// While a pool is overloaded, the requests that wait aren't all that goes before a request: those that
// arrive later and are more urgent do as well. If the wait were estimated by the queue alone, less urgent
// requests would be kept until their callers' time is up, and then be refused.
type demand struct {
	tiers map[int]*[demandKeys]arrivingWork
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
	return work.sum * math.Exp(-now.Sub(work.at).Seconds()/demandTime.Seconds())
}

func newDemand() demand { return demand{tiers: make(map[int]*[demandKeys]arrivingWork)} }

// add counts work that arrives now.
func (dem *demand) add(now time.Time, tier int, key, work float64) {
	keys := dem.tiers[tier]
	if keys == nil {
		keys = new([demandKeys]arrivingWork)
		dem.tiers[tier] = keys
	}
	cell := &keys[keyRange(key)]
	cell.sum, cell.at = cell.decayed(now)+work, now
}

// ahead returns how much work arrives in a second that goes before a request of the given tier and key.
// Of the work in the request's own range of keys, half is assumed to do so.
func (dem *demand) ahead(now time.Time, tier int, key float64) float64 {
	sum, own := 0.0, keyRange(key)
	for other, keys := range dem.tiers {
		for at := range keys {
			switch {
			case other < tier || other == tier && at < own:
				sum += keys[at].decayed(now)
			case other == tier && at == own:
				sum += keys[at].decayed(now) / 2
			}
		}
	}
	return sum / demandTime.Seconds()
}

// keyRange returns the range that a key lies in.
func keyRange(key float64) int {
	return min(max(int(math.Ceil(math.Log2(max(key, smallestKey)/smallestKey))), 0), demandKeys-1)
}
