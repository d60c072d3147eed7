package yuccagrant

import (
	"math"
	"time"
)

// choice is a target for a request. suitable reports that the target is expected to serve the
// request on time.
type choice struct {
	targetState   *targetState
	expectedFirst time.Duration
	cost          time.Duration
	suitable      bool
}

// baseline is the part of the estimates of a request that is the same for all targets, as times
// on the fastest target.
type baseline struct {
	// expectedFirst is the time to the first event. In seconds, expectedHold is how long a run
	// occupies its slot, gap the time between two events, and prefill the time to read the
	// prompt.
	expectedFirst              time.Duration
	expectedHold, gap, prefill float64
}

func (lead *Leader) baseline(req *Request) baseline {
	_, slope := lead.latencyModel.fitLine()
	return baseline{
		expectedFirst: seconds(lead.expectedFirst(req)), expectedHold: lead.latencyModel.expectedHold(), gap: lead.latencyModel.gap(),
		prefill: slope * float64(req.Prompt),
	}
}

// remoteBound is a lower bound on the cost of targets in other regions.
//
// Without it the leader of a large pool would evaluate the targets of all regions for each
// request, and almost always choose one of its own region. The bound is derived from the cost
// function, so the choice is the same with and without it.
type remoteBound struct {
	// localCount is the number of targets in this region; they come first.
	localCount int
	// minRoundTrip is the shortest round trip to another region, and pace the pace of the
	// fastest target.
	minRoundTrip time.Duration
	pace         float64
}

func (bound *remoteBound) configure(targets []*targetState) {
	*bound = remoteBound{localCount: len(targets), pace: math.Inf(1)}
	for at, tgt := range targets {
		bound.pace = min(bound.pace, tgt.pace)
		if !tgt.Remote {
			continue
		}
		if at < bound.localCount {
			bound.localCount, bound.minRoundTrip = at, tgt.RoundTrip
		}
		bound.minRoundTrip = min(bound.minRoundTrip, tgt.RoundTrip)
	}
}

// chooseTarget returns the target with the lowest cost among those that may be sent a request.
// Suitable targets come before others. The choice has no target if none may be sent a request.
//
// The cost allows for targets of different pace in several data centres. It is the time to the
// first event plus penalties for a busy target, for long gaps and failures in its answers, and
// for billed traffic to another region.
func (lead *Leader) chooseTarget(now time.Time, req *Request) choice {
	best := choice{cost: math.MaxInt64}
	base := lead.baseline(req)
	minRemote := time.Duration(lead.remoteBound.pace*float64(base.expectedFirst)) + lead.remoteBound.minRoundTrip + remoteCost
	for at, tgt := range lead.targets {
		if at >= lead.remoteBound.localCount && best.suitable && best.cost <= minRemote {
			return best
		}
		if tgt.grantableSlots(now) == 0 || tgt.backingOff(now) || tgt.failedBefore(req) {
			continue
		}
		candidate := lead.estimate(now, tgt, req, &base)
		if candidate.suitable && !best.suitable || candidate.suitable == best.suitable && candidate.cost < best.cost {
			best = candidate
		}
	}
	return best
}

func (lead *Leader) estimate(now time.Time, tgt *targetState, req *Request, base *baseline) choice {
	work := time.Duration(tgt.pace * float64(base.expectedFirst))
	busySlots := tgt.busySlots(now)
	slots := float64(max(tgt.Slots, 1))
	crowding := crowdingShare * float64(busySlots) / slots
	wait := seconds(float64(max(busySlots-tgt.Slots+1, 0)) * base.expectedHold * tgt.pace / slots)
	candidate := choice{targetState: tgt, expectedFirst: wait + work + tgt.RoundTrip}
	candidate.cost = candidate.expectedFirst + time.Duration((crowding+tgt.bias)*float64(work)) +
		time.Duration(tgt.lateFraction*float64(lateGapCost)) + time.Duration(tgt.failureRate*float64(failureCost))
	if tgt.Remote {
		candidate.cost += remoteCost
	}
	left := req.SoftDeadline.Sub(now)
	candidate.suitable = candidate.expectedFirst <= time.Duration(softDeadlineShare*float64(left)) && !exceedsMaxGap(tgt, req, base)
	return candidate
}

// exceedsMaxGap reports whether the events of a target follow one another too slowly even
// without other load, or whether reading the prompt would delay the other answers on the target
// too much. An engine reads a long prompt in chunks between the tokens of its other answers; on
// a slow target each chunk takes several times as long as a gap may last.
func exceedsMaxGap(tgt *targetState, req *Request, base *baseline) bool {
	if req.MaxGap <= 0 {
		return false
	}
	prefill := seconds(tgt.pace * base.prefill)
	return seconds(tgt.pace*base.gap) > req.MaxGap/2 || tgt.pace > slowPace && prefill > req.MaxGap
}

// freeSlots returns the number of free slots on targets that are not backing off.
func (lead *Leader) freeSlots(now time.Time) int {
	sum := 0
	for _, tgt := range lead.targets {
		if !tgt.backingOff(now) {
			sum += tgt.freeSlots(now)
		}
	}
	return sum
}

// slotCapacity returns how many slots of the fastest target the targets that are not backing
// off are worth: a slot counts for 1/pace. This leader gets the share of them that matches its
// share of the runs; the rest is for the leaders of other data centres.
func (lead *Leader) slotCapacity(now time.Time) float64 {
	sum, own, all := 0.0, 1, 1
	for _, tgt := range lead.targets {
		if tgt.backingOff(now) {
			continue
		}
		sum += float64(tgt.Slots) / tgt.pace
		own += len(tgt.runs)
		all += len(tgt.runs) + tgt.remoteRuns
	}
	return sum * float64(own) / float64(all)
}
