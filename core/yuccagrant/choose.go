package yuccagrant

import (
	"math"
	"time"
)

// choice is a target for a request and when its first event is expected.
type choice struct {
	node  *node
	first time.Duration
	cost  time.Duration
	suits bool
}

// choose returns the best target with a free place, one that suits before one that
// doesn't, or a choice without a target.
//
// Made for targets of unlike pace in several data centres. The cost is the time to the
// first event, and what it adds that the target is crowded, that its answers pause or
// fail, and that the way there is paid for.
func (lead *Leader) choose(now time.Time, ask *Ask) choice {
	best := choice{cost: math.MaxInt64}
	for _, nd := range lead.nodes {
		if nd.room(now) == 0 || nd.resting(now) || nd.tried(ask) {
			continue
		}
		one := lead.estimate(now, nd, ask)
		if one.suits && !best.suits || one.suits == best.suits && one.cost < best.cost {
			best = one
		}
	}
	return best
}

func (lead *Leader) estimate(now time.Time, nd *node, ask *Ask) choice {
	work := time.Duration(nd.pace * float64(lead.model.first(ask.Prompt)))
	crowd := crowdCost * float64(nd.busy(now)) / float64(max(nd.Slots, 1))
	wait := seconds(float64(nd.queued(now)) * lead.model.held() * nd.pace / float64(max(nd.Slots, 1)))
	one := choice{node: nd, first: wait + work + nd.Way}
	one.cost = one.first + time.Duration((crowd+nd.bias)*float64(work)) +
		time.Duration(nd.late*float64(lateCost)) + time.Duration(nd.failed*float64(failCost))
	if nd.Away {
		one.cost += awayCost
	}
	left := ask.Aim.Sub(now)
	one.suits = one.first <= time.Duration(margin*float64(left)) && !lead.pauses(nd, ask)
	return one
}

// pauses reports whether the events of a target follow one another too slowly even when
// nothing disturbs it, or whether reading the prompt would make the answers beside it pause.
// An engine reads a long prompt in parts between the tokens of its other answers; on a slow
// target each part takes as long as several pauses may last.
func (lead *Leader) pauses(nd *node, ask *Ask) bool {
	if ask.Gap <= 0 {
		return false
	}
	_, slope := lead.model.line()
	read := seconds(nd.pace * slope * float64(ask.Prompt))
	return seconds(nd.pace*lead.model.gap()) > ask.Gap/2 || nd.pace > slowPace && read > ask.Gap
}

// free returns how many places are free on targets that get work.
func (lead *Leader) free(now time.Time) int {
	sum := 0
	for _, nd := range lead.nodes {
		if !nd.resting(now) {
			sum += nd.free(now)
		}
	}
	return sum
}

// places returns how many places the targets that get work have, a slower target's
// counting for less. Of those that come free this leader gets the part that it uses; the
// leaders of other data centres get theirs.
func (lead *Leader) places(now time.Time) float64 {
	sum, own, all := 0.0, 1, 1
	for _, nd := range lead.nodes {
		if nd.resting(now) {
			continue
		}
		sum += float64(nd.Slots) / nd.pace
		own += len(nd.runs)
		all += len(nd.runs) + nd.others
	}
	return sum * float64(own) / float64(all)
}
