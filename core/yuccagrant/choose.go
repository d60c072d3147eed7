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

// basis is what the estimates of one request at all targets have in common.
type basis struct {
	// first is the time to the first event on the quickest target, held how long a run holds
	// its place, gap the time between events, and read what reading the prompt takes, the
	// last three in seconds.
	first           time.Duration
	held, gap, read float64
}

func (lead *Leader) basis(ask *Request) basis {
	_, slope := lead.model.line()
	return basis{
		first: seconds(lead.first(ask)), held: lead.model.held(), gap: lead.model.gap(),
		read: slope * float64(ask.Prompt),
	}
}

// bound is what no target of another region can cost less than.
//
// A leader of a large pool would else look at the targets of all regions for each request,
// and almost always take one of its own. The limit follows from the cost itself, so what is
// chosen is the same.
type bound struct {
	// near is how many of the nodes are of this region; they come first.
	near int
	// way is the shortest way to another region, and pace the pace of the quickest target.
	way  time.Duration
	pace float64
}

func (bnd *bound) configure(nodes []*node) {
	*bnd = bound{near: len(nodes), pace: math.Inf(1)}
	for at, nd := range nodes {
		bnd.pace = min(bnd.pace, nd.pace)
		if !nd.Remote {
			continue
		}
		if at < bnd.near {
			bnd.near, bnd.way = at, nd.RoundTrip
		}
		bnd.way = min(bnd.way, nd.RoundTrip)
	}
}

// choose returns the best target with a free place, one that suits before one that
// doesn't, or a choice without a target.
//
// Made for targets of unlike pace in several data centres. The cost is the time to the
// first event, and what it adds that the target is crowded, that its answers pause or
// fail, and that the way there is paid for.
func (lead *Leader) choose(now time.Time, ask *Request) choice {
	best := choice{cost: math.MaxInt64}
	view := lead.basis(ask)
	least := time.Duration(lead.bound.pace*float64(view.first)) + lead.bound.way + awayCost
	for at, nd := range lead.nodes {
		if at >= lead.bound.near && best.suits && best.cost <= least {
			return best
		}
		if nd.room(now) == 0 || nd.resting(now) || nd.tried(ask) {
			continue
		}
		one := lead.estimate(now, nd, ask, &view)
		if one.suits && !best.suits || one.suits == best.suits && one.cost < best.cost {
			best = one
		}
	}
	return best
}

func (lead *Leader) estimate(now time.Time, nd *node, ask *Request, view *basis) choice {
	work := time.Duration(nd.pace * float64(view.first))
	busy := nd.busy(now)
	slots := float64(max(nd.Slots, 1))
	crowd := crowdCost * float64(busy) / slots
	wait := seconds(float64(max(busy-nd.Slots+1, 0)) * view.held * nd.pace / slots)
	one := choice{node: nd, first: wait + work + nd.RoundTrip}
	one.cost = one.first + time.Duration((crowd+nd.bias)*float64(work)) +
		time.Duration(nd.late*float64(lateCost)) + time.Duration(nd.failed*float64(failCost))
	if nd.Remote {
		one.cost += awayCost
	}
	left := ask.SoftDeadline.Sub(now)
	one.suits = one.first <= time.Duration(margin*float64(left)) && !pauses(nd, ask, view)
	return one
}

// pauses reports whether the events of a target follow one another too slowly even when
// nothing disturbs it, or whether reading the prompt would make the answers beside it pause.
// An engine reads a long prompt in parts between the tokens of its other answers; on a slow
// target each part takes as long as several pauses may last.
func pauses(nd *node, ask *Request, view *basis) bool {
	if ask.MaxGap <= 0 {
		return false
	}
	read := seconds(nd.pace * view.read)
	return seconds(nd.pace*view.gap) > ask.MaxGap/2 || nd.pace > slowPace && read > ask.MaxGap
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
