package yuccaplace

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// Verdict says why a request got no target.
type Verdict int

// The verdicts of Choose.
const (
	// Found says that there is a target.
	Found Verdict = iota
	// NoRoom says that no target of the set has room.
	NoRoom
	// TooLate says that those with room can't meet the deadline.
	TooLate
)

// Choice is a target for a request and what is expected there.
type Choice struct {
	Node   *Node
	Cached yuccaid.Tokens
	Wait   time.Duration
	Finish time.Duration
	cost   float64
}

// Choose returns the cheapest target of the set that has room and meets the deadline.
//
// Made for a fleet of unlike speeds whose load reports are old: the cost is the time
// until the answer is whole, by the leader's own count of what is there, plus the
// prefill that another target's cache would have saved, each by its policy weight. So
// a cached prefix draws a request to its target, and gives way as soon as waiting
// there costs more than computing the prefix again.
func (fleet *Fleet) Choose(now time.Time, reach *Reach, shape *Shape) (Choice, Verdict) {
	fleet.stamp++
	deepest := min(fleet.prefixes.mark(fleet.stamp, shape.Prefixes), shape.Prompt)
	best := Choice{cost: math.Inf(1)}
	verdict := NoRoom
	keep := fleet.longRoom(shape)
	for _, node := range reach.nodes {
		if keep && node.longs == 0 {
			continue
		}
		if !fleet.room(now, node, shape) {
			continue
		}
		if node.probing {
			if fleet.mayProbe(now, node, shape) {
				return Choice{Node: node, Finish: fleet.usual(node, shape)}, Found
			}
			continue
		}
		choice := fleet.estimate(now, node, shape, deepest)
		if now.Add(choice.Finish).After(shape.Deadline) {
			if verdict == NoRoom {
				verdict = TooLate
			}
			continue
		}
		verdict = Found
		if choice.cost < best.cost {
			best = choice
		}
	}
	return best, verdict
}

// longRoom reports whether a long prompt may only join targets that already work on
// one, because the others are kept for short requests. It counts over the whole fleet:
// counted over each set of targets, a long prompt of a lower tier could find room in
// its set which one of a higher tier is refused in another.
func (fleet *Fleet) longRoom(shape *Shape) bool {
	if !shape.Long || shape.Urgent {
		return false
	}
	occupied, usable := 0, 0
	for _, node := range fleet.nodes {
		if node.Gone() || node.probing {
			continue
		}
		usable++
		if node.longs > 0 {
			occupied++
		}
	}
	return occupied >= usable-fleet.reserve(usable)
}

// room reports whether a target may get another request now.
//
// Engines know no tiers and serve in order of arrival. What waits inside one can't be
// overtaken by an urgent request, so little may wait there: nothing beyond its slots,
// and prompts for no longer than the depth.
func (fleet *Fleet) room(now time.Time, node *Node, shape *Shape) bool {
	if node.Gone() || node.busy(now) >= node.Target.Slots+fleet.spare {
		return false
	}
	return fleet.plain || shape.Urgent || node.prefillWait(now) <= fleet.depth
}

// mayProbe lets a single request find out whether a target is well again. It goes if
// the target's usual speed would leave it half its time. The top tier goes only when
// no lower one has gone for a while more: what a probe risks is its deadline.
func (fleet *Fleet) mayProbe(now time.Time, node *Node, shape *Shape) bool {
	at := node.probeAt
	if shape.Rank == 0 {
		at = at.Add(patience * node.probePause)
	}
	if shape.Urgent || len(node.runs) > 0 || now.Before(at) {
		return false
	}
	return shape.Deadline.Sub(now) > 2*fleet.usual(node, shape)
}

func (fleet *Fleet) usual(node *Node, shape *Shape) time.Duration {
	if fleet.plain {
		return seconds(1 / node.call.usual)
	}
	return seconds(float64(shape.Prompt)/node.prefill.usual + float64(shape.Answer)/node.decode.usual)
}

func (fleet *Fleet) service(node *Node, shape *Shape, cached yuccaid.Tokens) time.Duration {
	if fleet.plain {
		return seconds(1 / node.call.recent)
	}
	return node.prefillTime(shape.Prompt-cached) + node.decodeTime(shape.Answer)
}

func (fleet *Fleet) estimate(now time.Time, node *Node, shape *Shape, deepest yuccaid.Tokens) Choice {
	var cached yuccaid.Tokens
	if node.stamp == fleet.stamp {
		cached = yuccaid.Tokens(float64(min(node.hit, shape.Prompt)) * node.trust)
	}
	choice := Choice{Node: node, Cached: cached}
	if !fleet.plain {
		choice.Wait = node.prefillWait(now)
	}
	choice.Finish = choice.Wait + fleet.service(node, shape, cached)
	again := node.prefillTime(deepest - cached).Seconds()
	choice.cost = fleet.policy.GoodputWeight*choice.Finish.Seconds() + fleet.policy.WasteWeight*again
	return choice
}
