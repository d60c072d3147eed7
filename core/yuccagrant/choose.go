package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// choice is a target considered for a request, with the estimates for that request on that target.
// suitable reports that the target is expected to serve the request on time. targetState is nil if
// no target was found.
type choice struct {
	targetState         *targetState
	expectedTimeToFirst time.Duration
	cost                time.Duration
	suitable            bool
	// tooSlow reports that the answer is expected to be cut off there, though not on a fast target.
	tooSlow bool
	// available is what the target need not read of the prompt.
	available available
}

// baseline holds the estimates for a request that do not depend on the target, as times on an
// idle target of pace 1.
type baseline struct {
	// expectedTimeToFirst is the time to the first event. The other fields are in seconds:
	// expectedHold is how long a run occupies its slot, gap the time between two events, and
	// perToken the time to read one token of the prompt. slope is that time for a request whose
	// announced length is reliable.
	expectedTimeToFirst         time.Duration
	expectedHold, gap, perToken float64
	slope                       float64
	// events is the expected number of events of the answer, zero if it isn't known.
	events float64
	// holder is the target from which others can fetch parts of the prompt, nil if there is none.
	holder *targetState
}

// baseline returns the estimates for a request. It also finds out which targets hold parts of the
// request's prompt, for the calls of estimate that follow.
func (lead *Leader) baseline(now time.Time, req *Request) baseline {
	holder := lead.findHeldParts(now, req)
	_, slope := lead.latencyModel.fitLine()
	events, _ := lead.lengthModel.expectedEvents(req)
	return baseline{
		expectedTimeToFirst: seconds(lead.expectedTimeToFirst(req, 0)),
		expectedHold:        lead.latencyModel.expectedHold(),
		gap:                 lead.latencyModel.gap(),
		perToken:            slope * lead.lengthModel.timeToFirstRatio(req.Class),
		slope:               slope,
		events:              events,
		holder:              holder,
	}
}

// remoteBound is a lower bound on the cost of targets in other regions.
//
// Without this bound the leader of a large pool would evaluate the targets of all regions for each
// request, although it almost always chooses a target of its own region. The bound is derived from
// the cost function, so the choice is the same with and without the bound.
type remoteBound struct {
	// localCount is the number of targets in this region, which come first in Leader.targets.
	localCount int
	// minRoundTrip is the shortest round trip to a target in another region, and minPace the
	// pace of the fastest target in any region.
	minRoundTrip time.Duration
	minPace      float64
}

func (bound *remoteBound) configure(targets []*targetState) {
	*bound = remoteBound{localCount: len(targets), minPace: math.Inf(1)}
	for at, tgt := range targets {
		bound.minPace = min(bound.minPace, tgt.pace)
		if !tgt.Remote {
			continue
		}
		if at < bound.localCount {
			bound.localCount, bound.minRoundTrip = at, tgt.RoundTrip
		}
		bound.minRoundTrip = min(bound.minRoundTrip, tgt.RoundTrip)
	}
}

// chooseTarget returns the target with the lowest cost among those that may be sent the request. A
// suitable target is preferred to any target that is not suitable. The returned choice has no
// target if the request may be sent to none.
//
// The cost makes targets of different pace in several data centres comparable. It is the
// expected time to the first event plus penalties for a busy target, for long gaps and failures
// in its answers, and for billed traffic to another region.
func (lead *Leader) chooseTarget(now time.Time, req *Request) choice {
	best := choice{cost: math.MaxInt64}
	base := lead.baseline(now, req)
	minFirst := max(base.expectedTimeToFirst-seconds(base.perToken*float64(lead.longestHeld(req))), 0)
	minRemoteFirst := time.Duration(lead.remoteBound.minPace * lead.leastSlowness() * float64(minFirst))
	minRemoteCost := minRemoteFirst + lead.remoteBound.minRoundTrip + remoteCost
	for at, tgt := range lead.targets {
		if at >= lead.remoteBound.localCount && best.suitable && best.cost <= minRemoteCost {
			return best
		}
		if lead.exclusion(now, tgt, req) != yuccaallow.Allowed {
			continue
		}
		best = best.better(lead.estimate(now, tgt, req, &base))
	}
	if best.targetState == nil && lead.belowShare(now, req.limits()) {
		return lead.chooseWithinShare(now, req, &base)
	}
	return best
}

// better returns the choice that is to be preferred: a suitable target, else one that isn't too slow,
// else the lower cost.
func (best choice) better(other choice) choice {
	switch {
	case best.targetState == nil || other.suitable != best.suitable:
		if other.suitable || best.targetState == nil {
			return other
		}
	case other.tooSlow != best.tooSlow:
		if best.tooSlow {
			return other
		}
	case other.cost < best.cost:
		return other
	}
	return best
}

// estimate returns the estimates for a request on one target. If all slots of the target are
// occupied, the time to the first event includes the wait for a slot to become free.
func (lead *Leader) estimate(now time.Time, tgt *targetState, req *Request, base *baseline) choice {
	avail := lead.available(tgt, req, base)
	pending := tgt.pendingPrefill(now, base.slope)
	onFastest := base.expectedTimeToFirst + seconds(base.perToken*float64(pending-avail.tokens))
	firstWithoutWait := avail.fetchTime + time.Duration(tgt.pace*lead.slowness(now, tgt)*float64(onFastest))
	busySlots := tgt.busySlots(now)
	slots := float64(max(tgt.Slots, 1))
	crowding := crowdingShare * float64(busySlots) / slots
	wait := seconds(float64(max(busySlots-tgt.Slots+1, 0)) * base.expectedHold * tgt.pace / slots)
	candidate := choice{targetState: tgt, available: avail, expectedTimeToFirst: wait + firstWithoutWait + tgt.RoundTrip}
	candidate.cost = candidate.expectedTimeToFirst + time.Duration((crowding+tgt.bias)*float64(firstWithoutWait)) +
		time.Duration(tgt.lateFraction*float64(lateGapCost)) + time.Duration(tgt.failureRate*float64(failureCost)) +
		avail.fetchCost + tgt.centreCost()
	remaining := req.SoftDeadline.Sub(now)
	candidate.tooSlow = req.finishable && !base.finishes(now, req, candidate.expectedTimeToFirst, tgt.pace) && tgt.pace > slowPace
	candidate.suitable = candidate.expectedTimeToFirst <= time.Duration(softDeadlineShare*float64(remaining)) &&
		!candidate.tooSlow && !exceedsMaxGap(tgt, req, pending+req.Prompt-avail.tokens, base)
	return candidate
}

// exceedsMaxGap reports whether the expected gap between two events on a target is more than half
// of the request's MaxGap, or whether reading the given number of tokens would delay the other answers
// on the target too much. An engine reads a long prompt in chunks between the tokens of its other
// answers; on a slow target each chunk takes several times as long as a gap may last.
func exceedsMaxGap(tgt *targetState, req *Request, unread yuccaid.Tokens, base *baseline) bool {
	if req.MaxGap <= 0 {
		return false
	}
	gap, prefill := seconds(tgt.pace*base.gap), seconds(tgt.pace*base.perToken*float64(unread))
	return gap > req.MaxGap/2 || tgt.pace > slowPace && gap+prefill > req.MaxGap
}

// freeSlots returns the number of free slots on the targets that the limits allow and that are neither backing
// off nor tripped.
func (lead *Leader) freeSlots(now time.Time, lim yuccaallow.Limits) int {
	sum := 0
	for _, tgt := range lead.targets {
		if tgt.within(lim) && !tgt.backingOff(now) && !tgt.tripped() {
			sum += tgt.freeSlots(now)
		}
	}
	return sum
}
