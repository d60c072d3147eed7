package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

const (
	// maxStaleHold is the mean time of a run below which the loads that other leaders report say
	// little, because most of the runs have finished when the report arrives.
	maxStaleHold = 300 * time.Millisecond
	// maxShareLoad bounds the runs and waiting requests that a target may have, as a multiple of its
	// slots, when a leader uses its share of the slots although all of them look occupied.
	maxShareLoad = 2
)

// sharing is how this leader shares the targets with the leaders of other data centres, or with other leaders of
// its own data centre.
type sharing struct {
	// leaderCount is the number of leaders among which the slots of each target are divided.
	leaderCount int
	// centreCount is the number of data centres whose leaders decide on the same targets.
	centreCount int
	// spreadsRuns is set while the runs of other leaders are assumed to be spread over all targets (see
	// Leader.spreadOtherRuns).
	spreadsRuns bool
	// hasOwnTargets reports whether there are targets in this leader's data centre, and ownSlots is the
	// number of slots of those that can be used.
	hasOwnTargets bool
	ownSlots      int
	// servesLimited reports whether requests that may be served in some regions only have been submitted.
	servesLimited bool
}

// shareSlots sets how many slots of each target this leader uses: its share of them. What remains of the
// division goes to the leaders for which the target has a low bias. If each leader rounded its
// share up, twenty leaders would use twenty slots of each target that has four.
func (lead *Leader) shareSlots() {
	short, sum := lead.shortRuns(), 0
	lead.sharing.hasOwnTargets = false
	for _, tgt := range lead.targets {
		tgt.Slots = tgt.totalSlots / lead.sharing.leaderCount
		remainder := tgt.totalSlots % lead.sharing.leaderCount
		if tgt.bias*float64(lead.sharing.leaderCount) < biasShare*float64(remainder) {
			tgt.Slots++
		}
		sum += tgt.Slots
		lead.sharing.hasOwnTargets = lead.sharing.hasOwnTargets || !tgt.OtherCentre
	}
	if sum > 0 && lead.sharing.servesLimited {
		lead.keepSlotPerRegion()
	}
	for _, tgt := range lead.targets {
		if sum == 0 {
			tgt.Slots = 1
		}
		lead.setOvercommit(tgt, short)
	}
}

// keepSlotPerRegion gives this leader one slot in each region where it has none. A leader with a small share may
// have no slot of any target in a region, where requests that may be served only there would wait in vain. The
// bias decides on which target it is, so that not all leaders use the same one.
func (lead *Leader) keepSlotPerRegion() {
	leastBiased := make(map[yuccaid.Region]*targetState)
	hasSlot := make(map[yuccaid.Region]bool)
	for _, tgt := range lead.targets {
		hasSlot[tgt.Region] = hasSlot[tgt.Region] || tgt.Slots > 0
		if other := leastBiased[tgt.Region]; other == nil || tgt.bias < other.bias {
			leastBiased[tgt.Region] = tgt
		}
	}
	for region, tgt := range leastBiased {
		if !hasSlot[region] {
			tgt.Slots = 1
		}
	}
}

// belowShare reports whether this leader has fewer runs than its share of the pool's slots, in a pool
// whose runs are shorter than the delay of the other leaders' reports.
//
// Several leaders decide on such a pool's targets. Each of them sees the runs that the others had a
// tenth of a second ago. While the targets are nearly full, a leader would find all slots occupied and
// refuse its requests, although most of the reported runs have finished. So each leader may always
// use a share of the slots that corresponds to its share of the demand. The shares of all leaders add
// up to the slots of the pool.
//
// For a request that may use some of the targets only, the share is that of these targets.
func (lead *Leader) belowShare(now time.Time, lim yuccaallow.Limits) bool {
	if !lead.shortRuns() {
		return false
	}
	slots, others, runs := 0, 0, 0
	for _, tgt := range lead.targets {
		if !tgt.within(lim) {
			continue
		}
		runs += len(tgt.runs)
		if !tgt.backingOff(now) && !tgt.tripped() {
			slots += tgt.Slots
			others += tgt.otherCentreRuns
		}
	}
	waiting := lead.queue.len()
	if lim.Any() {
		runs = len(lead.runs)
	} else {
		waiting = lead.queue.count(lim)
	}
	demand := float64(runs + waiting)
	return float64(runs) < math.Ceil(float64(slots)*demand/(demand+float64(others)))
}

// chooseWithinShare returns the target with the lowest cost among those with fewer runs than
// maxShareLoad allows.
func (lead *Leader) chooseWithinShare(now time.Time, req *Request, base *baseline) choice {
	best := choice{cost: math.MaxInt64}
	for _, tgt := range lead.targets {
		hasRoom := tgt.busySlots(now) < maxShareLoad*tgt.Slots && tgt.heldBack(now) == yuccaallow.Allowed
		if hasRoom && !tgt.backingOff(now) && tgt.mayServe(req) && lead.mayTry(now, tgt, req) {
			best = best.better(lead.estimate(now, tgt, req, base))
		}
	}
	return best
}

// spreadOtherRuns sets the number of runs that other leaders are assumed to have on each target: the
// reported number or, in a pool whose runs are shorter than the delay of the reports, the target's
// share of all reported runs.
//
// If the leaders used the reported numbers in such a pool, all of them would send their next requests
// to the target that had the fewest runs a tenth of a second ago, and overload it.
func (lead *Leader) spreadOtherRuns() {
	stale := lead.shortRuns()
	lead.sharing.spreadsRuns = stale
	slots, others := 0, 0
	for _, tgt := range lead.targets {
		slots += tgt.Slots
		others += tgt.otherCentreRuns
	}
	for _, tgt := range lead.targets {
		lead.setOvercommit(tgt, stale)
		tgt.assumedOtherRuns = tgt.otherCentreRuns
		if stale && slots > 0 {
			tgt.assumedOtherRuns = int(math.Round(float64(others) * float64(tgt.Slots) / float64(slots)))
		}
	}
}

// shortRuns reports whether the runs of the pool are shorter than the delay of the reports of other
// leaders.
func (lead *Leader) shortRuns() bool {
	return lead.latencyModel.holdSamples >= minHoldSamples && lead.latencyModel.expectedHold() < maxStaleHold.Seconds()
}
