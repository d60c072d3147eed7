package yuccaplace

import (
	"math"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// TargetSet is a set of targets that some accounts may use, with the best rates in it.
type TargetSet struct {
	nodes   []*TargetState
	prefill float64
	decode  float64
	call    float64
	mean    float64
	slowest rates
	slots   int
	usable  int
	// relaxed says that no target is in ordinary use, so that slow ones have to do.
	relaxed bool
}

type rates struct {
	prefill, decode float64
}

// NewTargetSet returns the set of the named targets, or of all when none is named.
func (fleet *Placer) NewTargetSet(names []yuccaid.Target) *TargetSet {
	reach := &TargetSet{}
	for _, node := range fleet.nodes {
		if len(names) == 0 || slices.Contains(names, node.Target.Name) {
			reach.nodes = append(reach.nodes, node)
		}
	}
	reach.Refresh()
	return reach
}

// Has reports whether the set holds a target.
func (reach *TargetSet) Has(node *TargetState) bool {
	return slices.Contains(reach.nodes, node)
}

// UsableCount returns how many targets of the set take ordinary work.
func (reach *TargetSet) UsableCount() int {
	return reach.usable
}

// AnyAccepting reports whether a target of the set may ever take work.
func (reach *TargetSet) AnyAccepting() bool {
	return slices.ContainsFunc(reach.nodes, func(node *TargetState) bool { return !node.Leaving() })
}

// holds reports whether a target gets no ordinary work now. Probes are for finding out
// whether a slow target is well again while others work. When all of a set are slow,
// keeping requests from them would leave callers waiting before idle engines; only a
// target that shows no progress at all is still left to probes.
func (reach *TargetSet) holds(node *TargetState) bool {
	return node.Leaving() || node.probing && (node.failing || !reach.relaxed)
}

// Refresh takes the learned rates into the set's best and mean ones.
func (reach *TargetSet) Refresh() {
	reach.prefill, reach.decode, reach.call, reach.mean = 0, 0, 0, 0
	reach.slots, reach.usable = 0, 0
	reach.relaxed = !slices.ContainsFunc(reach.nodes, func(node *TargetState) bool { return !node.Leaving() && !node.probing })
	reach.slowest = rates{prefill: math.Inf(1), decode: math.Inf(1)}
	for _, node := range reach.nodes {
		if reach.holds(node) {
			continue
		}
		reach.usable++
		reach.slots += node.Target.Slots
		reach.prefill = max(reach.prefill, node.prefill.best)
		reach.decode = max(reach.decode, node.decode.best)
		reach.call = max(reach.call, node.call.recent)
		reach.mean += node.prefill.recent
		reach.slowest.prefill = min(reach.slowest.prefill, node.prefill.recent)
		reach.slowest.decode = min(reach.slowest.decode, node.decode.recent)
	}
	reach.mean /= float64(max(reach.usable, 1))
}

// Request is what the estimates need of a request.
type Request struct {
	Prompt yuccaid.Tokens
	Answer yuccaid.Tokens
	// AnswerP90 is what the answer may well get to; Expect fills it in.
	AnswerP90  yuccaid.Tokens
	Prefixes   []uint64
	Rank       int
	LongPrompt bool
	// LastAttempt says that this is the last moment: room kept for others doesn't count.
	LastAttempt bool
	Deadline    time.Time
}

// FastestTime returns the shortest time in which an idle set could serve the request,
// with the best rates and the deepest cached prefix, though no single target may
// have all of them: a request is refused as hopeless only when it is.
func (fleet *Placer) FastestTime(reach *TargetSet, shape *Request) time.Duration {
	if reach.usable == 0 || fleet.plain {
		return 0
	}
	cached := min(fleet.prefixes.deepest(shape.Prefixes), shape.Prompt)
	prefill := float64(shape.Prompt-cached) / reach.prefill
	return seconds(prefill + float64(shape.Answer)/reach.decode)
}

// SlowestTime returns how long the slowest target in ordinary use would take, idle and
// without a cached prefix, for a long answer.
func (fleet *Placer) SlowestTime(reach *TargetSet, shape *Request) time.Duration {
	if reach.usable == 0 || fleet.plain {
		return 0
	}
	prefill := float64(shape.Prompt) / reach.slowest.prefill
	return seconds(prefill + float64(max(shape.AnswerP90, shape.Answer))/reach.slowest.decode)
}

// EstimateWork returns the time that a request takes of one target of the set: its prefill,
// and of its decoding the part of one slot, since answers are decoded side by side.
func (fleet *Placer) EstimateWork(reach *TargetSet, shape *Request) (work time.Duration, long bool) {
	if reach.usable == 0 {
		return 0, false
	}
	perTarget := float64(max(reach.slots, 1)) / float64(reach.usable)
	if fleet.plain {
		return seconds(1 / reach.call / perTarget), false
	}
	cached := min(fleet.prefixes.deepest(shape.Prefixes), shape.Prompt)
	prefill := float64(shape.Prompt-cached) / reach.mean
	decode := float64(shape.Answer) / reach.decode / perTarget
	return seconds(prefill + decode), seconds(prefill) >= longPrefill
}
