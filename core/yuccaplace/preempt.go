package yuccaplace

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Preemption is a set of runs on one target that would be cancelled for a request.
//
// Slack is the time left until cancelling runs can't help the request any more, on any
// target of the set.
type Preemption struct {
	Choice        Choice
	Runs          []*Run
	WastedPrefill yuccaid.Tokens
	Slack         time.Duration
}

// PlanPreemption returns the runs of lower tiers to cancel so that the request meets
// its deadline, choosing the target where the least prefill is wasted. It reports false
// if no cancelling helps.
//
// It is for a request that would be rejected otherwise. The deadline has to hold for a
// long answer too. If the request finished late despite the cancelling, its own work
// and the work of the cancelled runs would be lost. Under overload such losses take the
// time of the whole pool. On each target runs of the lowest tier are cancelled first,
// and within a tier the runs with the least prefill done; no more runs are cancelled
// than needed.
func (placer *Placer) PlanPreemption(now time.Time, set *TargetSet, req *Request) (Preemption, bool) {
	placer.generation++
	longestCached := min(placer.prefixes.markHeld(placer.generation, req.BlockHashes), req.Prompt)
	var best Preemption
	found := false
	slack := time.Duration(0)
	for _, state := range set.states {
		if set.excludes(state) {
			continue
		}
		plan, ok := placer.preemptOn(now, state, req, longestCached)
		if !ok {
			continue
		}
		slack = max(slack, plan.Slack)
		if !found || plan.WastedPrefill < best.WastedPrefill {
			best, found = plan, true
		}
	}
	best.Slack = slack
	return best, found
}

func (placer *Placer) preemptOn(now time.Time, state *TargetState, req *Request, longestCached yuccaid.Tokens) (Preemption, bool) {
	victims := state.preemptible(now, req.Rank)
	if len(victims) == 0 {
		return Preemption{}, false
	}
	estimateWithout := func(runs []*Run) (Choice, bool) {
		choice := placer.estimate(now, state, req, longestCached, state.loadWithout(now, runs))
		hasSlot := state.occupied(now)-len(runs) < state.Target.Slots+placer.extraSlots
		return choice, hasSlot && !choice.missesDeadline(now, req)
	}
	count := 1
	choice, ok := estimateWithout(victims[:count])
	for !ok && count < len(victims) {
		count++
		choice, ok = estimateWithout(victims[:count])
	}
	if !ok {
		return Preemption{}, false
	}
	victims = victims[:count]
	// A run that was selected early because it wastes little prefill may free nothing
	// that the request needs. Runs whose cancelling turns out to be unnecessary are
	// therefore spared.
	for at := len(victims) - 2; at >= 0; at-- {
		fewer := slices.Concat(victims[:at], victims[at+1:])
		if fewerChoice, suffices := estimateWithout(fewer); suffices {
			victims, choice = fewer, fewerChoice
		}
	}
	plan := Preemption{Choice: choice, Runs: victims, Slack: req.Deadline.Sub(now.Add(choice.requiredTime(req)))}
	for _, run := range victims {
		plan.WastedPrefill += state.wastedPrefill(now, run)
	}
	return plan, true
}

// loadWithout returns the load of the target once the runs are cancelled.
func (state *TargetState) loadWithout(now time.Time, runs []*Run) targetLoad {
	load := state.targetLoad(now)
	for _, run := range runs {
		load.running--
		if !run.Prefilling() {
			load.decoding--
		}
		load.prefillWait -= state.prefillLeft(now, run)
	}
	load.prefillWait = max(load.prefillWait, 0)
	return load
}

// preemptible returns the runs that a request of the given rank is allowed to cancel, in the
// order of cancelling. These are the cancellable runs of lower tiers.
func (state *TargetState) preemptible(now time.Time, rank int) []*Run {
	var list []*Run
	for _, run := range state.runs {
		if run.Cancellable && run.Rank > rank {
			list = append(list, run)
		}
	}
	slices.SortStableFunc(list, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(state.wastedPrefill(now, a), state.wastedPrefill(now, b)))
	})
	return list
}

// prefillLeft returns the prefill time that cancelling a run saves.
func (state *TargetState) prefillLeft(now time.Time, run *Run) time.Duration {
	if !run.Prefilling() {
		return 0
	}
	return state.prefillTime(run.uncached() - state.wastedPrefill(now, run))
}
