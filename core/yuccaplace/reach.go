package yuccaplace

import (
	"math"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// TargetSet is the set of the targets that certain accounts may use, with the best,
// mean and slowest rates of these targets.
type TargetSet struct {
	states      []*TargetState
	bestPrefill float64 // tokens per second
	bestDecode  float64 // tokens per second
	bestCall    float64 // calls per second, of plain services
	meanPrefill float64 // tokens per second
	slowest     rates
	slots       int // of the usable targets
	usableCount int // targets that take ordinary requests
	// allSlow means that every target of the set is leaving or under probing, so the
	// slow targets get ordinary requests too.
	allSlow bool
}

type rates struct {
	prefill, decode float64
}

// NewTargetSet returns the set of the named targets, or of all targets if no name is
// given.
func (placer *Placer) NewTargetSet(names []yuccaid.Target) *TargetSet {
	set := &TargetSet{}
	for _, state := range placer.states {
		if len(names) == 0 || slices.Contains(names, state.Target.Name) {
			set.states = append(set.states, state)
		}
	}
	set.Refresh()
	return set
}

// Contains reports whether the set contains the target.
func (set *TargetSet) Contains(state *TargetState) bool {
	return slices.Contains(set.states, state)
}

// UsableCount returns how many targets of the set take ordinary requests.
func (set *TargetSet) UsableCount() int {
	return set.usableCount
}

// AnyAccepting reports whether at least one target of the set isn't leaving.
func (set *TargetSet) AnyAccepting() bool {
	return slices.ContainsFunc(set.states, func(state *TargetState) bool { return !state.Leaving() })
}

// excludes reports whether a target gets no ordinary requests now. A target under
// probing is excluded because other targets can do the work while probes find out
// whether it has recovered. If all targets of a set are leaving or under probing,
// excluding all of them would leave callers waiting while engines are idle. In this
// case only targets that are leaving or failing are excluded.
func (set *TargetSet) excludes(state *TargetState) bool {
	return state.Leaving() || state.probing && (state.failing || !set.allSlow)
}

// Refresh recomputes the rates and counts of the set from its targets.
func (set *TargetSet) Refresh() {
	set.bestPrefill, set.bestDecode, set.bestCall, set.meanPrefill = 0, 0, 0, 0
	set.slots, set.usableCount = 0, 0
	set.allSlow = !slices.ContainsFunc(set.states, func(state *TargetState) bool { return !state.Leaving() && !state.probing })
	set.slowest = rates{prefill: math.Inf(1), decode: math.Inf(1)}
	for _, state := range set.states {
		if set.excludes(state) {
			continue
		}
		set.usableCount++
		set.slots += state.Target.Slots
		set.bestPrefill = max(set.bestPrefill, state.prefill.best)
		set.bestDecode = max(set.bestDecode, state.decode.best)
		set.bestCall = max(set.bestCall, state.call.recent)
		set.meanPrefill += state.prefill.recent
		set.slowest.prefill = min(set.slowest.prefill, state.prefill.recent)
		set.slowest.decode = min(set.slowest.decode, state.decode.recent)
	}
	set.meanPrefill /= float64(max(set.usableCount, 1))
}

// Request holds what the estimates need to know of a request: expected lengths in
// tokens, tier and deadline.
type Request struct {
	Prompt yuccaid.Tokens
	Answer yuccaid.Tokens
	// AnswerP90 is the 90th percentile of the answer's length; FillAnswerP90 sets it.
	AnswerP90   yuccaid.Tokens
	BlockHashes []uint64 // hashes of the prompt's blocks, first block first
	Rank        int      // of the tier; 0 is the top tier
	LongPrompt  bool     // as returned by EstimateWork
	// LastAttempt means that the request is rejected if it isn't placed now; capacity
	// reserved for other requests is then ignored.
	LastAttempt bool
	Deadline    time.Time
}

// FastestTime returns a lower bound on the time in which the set could serve the
// request. It combines the best rates with the longest cached prefix, even if no single
// target has all of them. The bound must be low so that a request is rejected only if
// it cannot meet its deadline on any target.
func (placer *Placer) FastestTime(set *TargetSet, req *Request) time.Duration {
	if set.usableCount == 0 || placer.plainService {
		return 0
	}
	cached := min(placer.prefixes.longestHeld(req.BlockHashes), req.Prompt)
	prefill := float64(req.Prompt-cached) / set.bestPrefill
	return seconds(prefill + float64(req.Answer)/set.bestDecode)
}

// SlowestTime returns how long the slowest target in ordinary use would take for a long
// answer, idle and without a cached prefix.
func (placer *Placer) SlowestTime(set *TargetSet, req *Request) time.Duration {
	if set.usableCount == 0 || placer.plainService {
		return 0
	}
	prefill := float64(req.Prompt) / set.slowest.prefill
	return seconds(prefill + float64(max(req.AnswerP90, req.Answer))/set.slowest.decode)
}

// EstimateWork returns how much time of one target of the set the request takes up, and
// whether its prompt counts as long. The time is the request's prefill time plus its
// decoding time divided by the mean number of slots per target, because a target
// decodes as many answers side by side as it has slots. For a plain service it is the
// time of one call divided by the slots per target.
func (placer *Placer) EstimateWork(set *TargetSet, req *Request) (work time.Duration, longPrompt bool) {
	if set.usableCount == 0 {
		return 0, false
	}
	slotsPerTarget := float64(max(set.slots, 1)) / float64(set.usableCount)
	if placer.plainService {
		return seconds(1 / set.bestCall / slotsPerTarget), false
	}
	cached := min(placer.prefixes.longestHeld(req.BlockHashes), req.Prompt)
	prefill := float64(req.Prompt-cached) / set.meanPrefill
	decode := float64(req.Answer) / set.bestDecode / slotsPerTarget
	return seconds(prefill + decode), seconds(prefill) >= longPrefillTime
}
