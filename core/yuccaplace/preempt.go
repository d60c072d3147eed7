package yuccaplace

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Eviction is a set of runs of one target whose cancelling makes room.
//
// Slack is the time left until no eviction in the set of targets would help any more.
type Eviction struct {
	Choice Choice
	Runs   []*Run
	Waste  yuccaid.Tokens
	Slack  time.Duration
}

// Evict returns the runs of lower tiers to cancel so that the request meets its
// deadline, with the least prefill thrown away, or false when no cancelling helps.
//
// It is for a request that would be refused otherwise. On each target the lowest tier
// goes first and within it the run that has the least prefill behind it; no more runs
// are taken than needed.
func (fleet *Fleet) Evict(now time.Time, reach *Reach, shape *Shape) (Eviction, bool) {
	fleet.stamp++
	deepest := min(fleet.prefixes.mark(fleet.stamp, shape.Prefixes), shape.Prompt)
	var best Eviction
	found := false
	slack := time.Duration(0)
	for _, node := range reach.nodes {
		if node.Gone() || node.probing {
			continue
		}
		one, ok := fleet.evictOn(now, node, shape, deepest)
		if !ok {
			continue
		}
		slack = max(slack, one.Slack)
		if !found || one.Waste < best.Waste {
			best, found = one, true
		}
	}
	best.Slack = slack
	return best, found
}

func (fleet *Fleet) evictOn(now time.Time, node *Node, shape *Shape, deepest yuccaid.Tokens) (Eviction, bool) {
	victims := node.below(now, shape.Rank)
	if len(victims) == 0 {
		return Eviction{}, false
	}
	choice := fleet.estimate(now, node, shape, deepest)
	enough := 1
	for enough < len(victims) && !fleet.suffices(now, node, shape, choice, victims[:enough]) {
		enough++
	}
	victims = victims[:enough]
	if !fleet.suffices(now, node, shape, choice, victims) {
		return Eviction{}, false
	}
	victims = fleet.needed(now, node, shape, choice, victims)
	one := Eviction{Choice: choice, Runs: victims}
	one.Choice.Finish = fleet.finishWithout(now, node, choice, victims)
	one.Slack = shape.Deadline.Sub(now.Add(one.Choice.Finish))
	for _, run := range victims {
		one.Waste += node.waste(now, run)
	}
	return one, true
}

// needed drops the runs whose cancelling turned out not to help: one that was taken
// first because it wastes little may free nothing that the request lacks.
func (fleet *Fleet) needed(now time.Time, node *Node, shape *Shape, choice Choice, victims []*Run) []*Run {
	for at := len(victims) - 2; at >= 0; at-- {
		fewer := slices.Concat(victims[:at], victims[at+1:])
		if fleet.suffices(now, node, shape, choice, fewer) {
			victims = fewer
		}
	}
	return victims
}

func (fleet *Fleet) suffices(now time.Time, node *Node, shape *Shape, choice Choice, victims []*Run) bool {
	if node.busy(now)-len(victims) >= node.Target.Slots+fleet.spare {
		return false
	}
	return !now.Add(fleet.finishWithout(now, node, choice, victims)).After(shape.Deadline)
}

func (fleet *Fleet) finishWithout(now time.Time, node *Node, choice Choice, victims []*Run) time.Duration {
	freed := time.Duration(0)
	for _, run := range victims {
		freed += node.left(now, run)
	}
	return choice.Finish - min(freed, choice.Wait)
}

// below returns the runs that a request of the rank may have cancelled.
func (node *Node) below(now time.Time, rank int) []*Run {
	var list []*Run
	for _, run := range node.runs {
		if run.Cancellable && run.Rank > rank {
			list = append(list, run)
		}
	}
	slices.SortStableFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(node.waste(now, a), node.waste(now, b)))
	})
	return list
}

// left is the prefill time that cancelling a run saves.
func (node *Node) left(now time.Time, run *Run) time.Duration {
	if !run.Prefilling() {
		return 0
	}
	return node.prefillTime(run.uncached() - node.waste(now, run))
}
