package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
)

const (
	// otherCentreCost is the cost of a target in another data centre of this region. It is about what an
	// idle target gains over one with a free slot left, so that a leader sends requests to its own data
	// centre while a slot is free there.
	otherCentreCost = 50 * time.Millisecond
	// reportDelay is how long it takes until the leaders of other data centres know of a run.
	reportDelay = 150 * time.Millisecond
)

// SetCentreCount sets the number of data centres whose leaders decide on the same targets, at least 1.
func (lead *Leader) SetCentreCount(count int) { lead.sharing.centreCount = max(count, 1) }

// grantableSlots returns how many more requests may be sent to a target.
func (lead *Leader) grantableSlots(now time.Time, tgt *targetState) int {
	if tgt.heldBack(now) != yuccaallow.Allowed {
		return 0
	}
	return lead.slotsLeft(now, tgt)
}

// slotsLeft returns how many more requests the slots of a target allow.
func (lead *Leader) slotsLeft(now time.Time, tgt *targetState) int {
	if tgt.OtherCentre && !lead.sharing.spreadsRuns && !lead.lacksTargets() {
		return tgt.spareShare(now, lead.sharing.centreCount)
	}
	return tgt.grantableSlots(now)
}

// countOwnSlots counts the slots of the targets of this leader's data centre that can be used.
func (lead *Leader) countOwnSlots(now time.Time) {
	lead.sharing.ownSlots = 0
	for _, tgt := range lead.targets {
		if !tgt.OtherCentre && !tgt.tripped() && !tgt.backingOff(now) {
			lead.sharing.ownSlots += tgt.Slots
		}
	}
}

// lacksTargets reports whether more requests wait than the targets of the leader's data centre can run at
// once. The leader then competes for the targets of others like their own leaders.
//
// The leader of a data centre whose targets are few, have crashed or are evacuated would otherwise get
// only what the others leave free. While these are busy, all of its callers would wait and be refused.
func (lead *Leader) lacksTargets() bool { return lead.queue.len() > lead.sharing.ownSlots }

// spareShare returns how many more requests this leader may send to a target of another data centre: its
// share of the free slots, less what it has sent there so recently that the others don't know of it. What
// remains of the division goes to the leaders for which the target has a low bias.
//
// When a target starts or recovers, the leaders of all data centres see its free slots at the same
// time. If each filled them, the target would have several times as many requests as slots.
func (tgt *targetState) spareShare(now time.Time, centres int) int {
	recent := 0
	for _, run := range tgt.runs {
		if now.Sub(run.sent) < reportDelay {
			recent++
		}
	}
	share, fraction := math.Modf(float64(tgt.freeSlots(now)+recent) / float64(centres))
	if tgt.bias < biasShare*fraction {
		share++
	}
	return max(int(share)-recent, 0)
}

// centreCost returns the cost of a target for the place that it is in.
//
// A leader learns of the runs that other leaders have sent to a target a tenth of a second late. If
// all leaders of a region chose among the same targets, each would send its next request to the one
// that had a free slot then, and the requests would wait there while other targets are idle.
func (tgt *targetState) centreCost() time.Duration {
	switch {
	case tgt.Remote:
		return remoteCost
	case tgt.OtherCentre:
		return otherCentreCost
	}
	return 0
}

// setOvercommit sets how many requests may wait in the target's own queue. In the queue of a target of
// another data centre none may wait, because the leader there fills it, except for a leader without
// targets of its own. The shares of a pool whose runs are short (see Leader.belowShare) take the place of
// that rule.
func (lead *Leader) setOvercommit(tgt *targetState, shortRuns bool) {
	tgt.overcommit = (tgt.Slots + overcommitDivisor - 1) / overcommitDivisor
	if tgt.OtherCentre && !shortRuns && lead.sharing.hasOwnTargets {
		tgt.overcommit = 0
	}
}
