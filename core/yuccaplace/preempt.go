package yuccaplace

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Preemption is a set of runs of one target whose cancelling makes room.
//
// Slack is the time left until no eviction in the set of targets would help any more.
type Preemption struct {
	Choice        Choice
	Runs          []*Run
	WastedPrefill yuccaid.Tokens
	Slack         time.Duration
}

// PlanPreemption returns the runs of lower tiers to cancel so that the request meets its
// deadline, with the least prefill thrown away, or false when no cancelling helps.
//
// It is for a request that would be refused otherwise. The deadline has to hold for a
// long answer too: cancelling for a request that then ends late loses both, and under
// overload it takes the whole fleet's time. On each target the lowest tier
// goes first and within it the run that has the least prefill behind it; no more runs
// are taken than needed.
func (fleet *Placer) PlanPreemption(now time.Time, reach *TargetSet, shape *Request) (Preemption, bool) {
	fleet.stamp++
	deepest := min(fleet.prefixes.mark(fleet.stamp, shape.Prefixes), shape.Prompt)
	var best Preemption
	found := false
	slack := time.Duration(0)
	for _, node := range reach.nodes {
		if reach.holds(node) {
			continue
		}
		one, ok := fleet.evictOn(now, node, shape, deepest)
		if !ok {
			continue
		}
		slack = max(slack, one.Slack)
		if !found || one.WastedPrefill < best.WastedPrefill {
			best, found = one, true
		}
	}
	best.Slack = slack
	return best, found
}

func (fleet *Placer) evictOn(now time.Time, node *TargetState, shape *Request, deepest yuccaid.Tokens) (Preemption, bool) {
	victims := node.below(now, shape.Rank)
	if len(victims) == 0 {
		return Preemption{}, false
	}
	without := func(runs []*Run) (Choice, bool) {
		choice := fleet.estimate(now, node, shape, deepest, node.without(now, runs))
		slots := node.busy(now)-len(runs) < node.Target.Slots+fleet.spare
		return choice, slots && !choice.late(now, shape)
	}
	enough := 1
	choice, ok := without(victims[:enough])
	for !ok && enough < len(victims) {
		enough++
		choice, ok = without(victims[:enough])
	}
	if !ok {
		return Preemption{}, false
	}
	victims = victims[:enough]
	// One that was taken first because it wastes little may free nothing that the
	// request lacks.
	for at := len(victims) - 2; at >= 0; at-- {
		fewer := slices.Concat(victims[:at], victims[at+1:])
		if other, enough := without(fewer); enough {
			victims, choice = fewer, other
		}
	}
	one := Preemption{Choice: choice, Runs: victims, Slack: shape.Deadline.Sub(now.Add(choice.needs(shape)))}
	for _, run := range victims {
		one.WastedPrefill += node.waste(now, run)
	}
	return one, true
}

// without is the company on the target once the runs are cancelled.
func (node *TargetState) without(now time.Time, runs []*Run) company {
	with := node.company(now)
	for _, run := range runs {
		with.running--
		if !run.Prefilling() {
			with.decoding--
		}
		with.wait -= node.left(now, run)
	}
	with.wait = max(with.wait, 0)
	return with
}

// below returns the runs that a request of the rank may have cancelled.
func (node *TargetState) below(now time.Time, rank int) []*Run {
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
func (node *TargetState) left(now time.Time, run *Run) time.Duration {
	if !run.Prefilling() {
		return 0
	}
	return node.prefillTime(run.uncached() - node.waste(now, run))
}
