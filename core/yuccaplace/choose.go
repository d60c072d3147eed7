package yuccaplace

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// Verdict reports whether Choose found a target and, if not, why.
type Verdict int

// The verdicts of Choose.
const (
	// Found means that the choice holds a target.
	Found Verdict = iota
	// NoFreeSlot means that no target of the set can accept another request now.
	NoFreeSlot
	// Unsuitable means that targets have free slots, but none of them can meet the
	// request's deadline without harm to other requests. Another request may still use
	// those slots.
	Unsuitable
	// WaitForBetter means that a target with a free slot was found, but waiting for
	// another target, which holds more of the prompt, costs less.
	WaitForBetter
)

// Choice is a target for a request, with the estimates for this request on this target:
// the cached part of the prompt, the wait until its prefill starts, and the time from
// now until its answer is complete.
type Choice struct {
	TargetState *TargetState
	Cached      yuccaid.Tokens
	PrefillWait time.Duration
	Finish      time.Duration
	finishP90   time.Duration // Finish for an answer of the 90th percentile's length
	cost        float64       // in weighted seconds; see Choose
}

// Choose returns the cheapest target of the set that has a free slot and meets the
// deadline.
//
// Targets differ in speed and their load reports are old. The cost is therefore the
// estimated time until the answer is complete, by the leader's own count of what runs
// on the target, plus the prefill that another target's cache would have saved, each
// multiplied by its policy weight. A cached prefix thus attracts a request to the
// target that holds the prefix only until waiting there costs more than computing the
// prefix again.
func (placer *Placer) Choose(now time.Time, set *TargetSet, req *Request) (Choice, Verdict) {
	placer.generation++
	longestCached := min(placer.prefixes.markHeld(placer.generation, req.BlockHashes), req.Prompt)
	best := Choice{cost: math.Inf(1)}
	verdict := NoFreeSlot
	confined := placer.longPromptsConfined(req)
	for _, state := range set.states {
		if confined && state.longPrompts == 0 {
			continue
		}
		if !placer.canAccept(now, state, req) {
			continue
		}
		if set.excludes(state) {
			if placer.mayProbe(now, state, req) {
				return Choice{TargetState: state, Finish: placer.usualTime(state, req)}, Found
			}
			continue
		}
		choice := placer.estimate(now, state, req, longestCached, state.targetLoad(now))
		if verdict == NoFreeSlot {
			verdict = Unsuitable
		}
		if choice.missesDeadline(now, req) || choice.cost >= best.cost || placer.harmsOthers(now, state, req, &choice) {
			continue
		}
		verdict = Found
		best = choice
	}
	if verdict == Found && placer.worthWaiting(now, set, req, longestCached, &best) {
		return best, WaitForBetter
	}
	return best, verdict
}

// worthWaiting reports whether some target without a free slot costs less than the best
// target with a free slot, even including the wait, because it holds more of the
// prompt. It compares targets only if the longer cached prefix saves more prefill time
// than maxPrefillWait, so it never makes short requests wait.
func (placer *Placer) worthWaiting(now time.Time, set *TargetSet, req *Request, longestCached yuccaid.Tokens, best *Choice) bool {
	if placer.plainService || req.LastAttempt || best.TargetState.prefillTime(longestCached-best.Cached) <= placer.maxPrefillWait {
		return false
	}
	for _, state := range set.states {
		if state.generation != placer.generation || state.heldPrefix <= best.Cached || placer.canAccept(now, state, req) {
			continue
		}
		if queued, ok := placer.estimateQueued(now, state, req, longestCached); ok && queued.cost < best.cost {
			return true
		}
	}
	return false
}

// harmsOthers reports whether the request would harm requests that take precedence over
// it on the target. On its last attempt a request is kept off the target only if it
// would make a run late.
func (placer *Placer) harmsOthers(now time.Time, state *TargetState, req *Request, choice *Choice) bool {
	if placer.plainService {
		return false
	}
	return state.makesRunsLate(now, req, choice) || !req.LastAttempt && placer.blocksHigherTier(now, state, req, choice)
}

// estimateQueued estimates the request on a target that has no free slot now but holds
// part of the prompt. It reports false if the request's deadline leaves too little
// slack to wait. Waiting is worthwhile while it costs less than computing the prefix
// again on another target, because the computing would also evict blocks cached on the
// other target.
func (placer *Placer) estimateQueued(now time.Time, state *TargetState, req *Request, longestCached yuccaid.Tokens) (Choice, bool) {
	if state.Leaving() || state.probing {
		return Choice{}, false
	}
	load := state.targetLoad(now)
	if state.occupied(now) >= state.Target.Slots+placer.extraSlots {
		load.prefillWait += state.slotWait(now)
	}
	choice := placer.estimate(now, state, req, longestCached, load)
	slack := req.Deadline.Sub(now) - choice.Finish
	return choice, slack > time.Duration(queueSlack*float64(choice.Finish))
}

// slotWait returns the estimated time until the first of the target's decoding runs
// finishes or, if no run is decoding, until the target's queued prompts are processed.
func (state *TargetState) slotWait(now time.Time) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for _, run := range state.runs {
		if !run.Prefilling() {
			shortest = min(shortest, state.decodeTime(run.tokensLeft(now), float64(len(state.runs)-1)))
		}
	}
	if shortest == math.MaxInt64 {
		return state.prefillWait(now)
	}
	return shortest
}

// missesDeadline reports whether the request is likely to miss its deadline. Before its
// last attempt it must have time for a long answer as well, because a run that finishes
// late has cost the target its prefill and its decoding and is of no use to the caller.
func (choice *Choice) missesDeadline(now time.Time, req *Request) bool {
	return now.Add(choice.requiredTime(req)).After(req.Deadline)
}

func (choice *Choice) requiredTime(req *Request) time.Duration {
	if req.LastAttempt {
		return choice.Finish
	}
	return max(choice.Finish, choice.finishP90)
}

// longPromptsConfined reports whether a long prompt may only join targets that already
// work on one, because the remaining targets are kept free for short requests. The
// targets are counted over the whole placer. If they were counted in each target set, a
// long prompt of a lower tier could be placed in one set while a long prompt of a
// higher tier is rejected in another set.
func (placer *Placer) longPromptsConfined(req *Request) bool {
	if !req.LongPrompt || req.LastAttempt {
		return false
	}
	withLongPrompt, usable := 0, 0
	for _, state := range placer.states {
		if state.Leaving() || state.probing {
			continue
		}
		usable++
		if state.longPrompts > 0 {
			withLongPrompt++
		}
	}
	return withLongPrompt >= usable-placer.reserve(usable)
}

// canAccept reports whether a target may get another request now.
//
// Engines know no tiers and serve requests in order of arrival, so an urgent request
// can't overtake what waits inside an engine. A target therefore gets no more requests
// than its slots and extraSlots. It also gets no request while its queued prompts take
// longer than maxPrefillWait plus the request's cachedPrefillTime. This second bound
// doesn't apply to a request's last attempt, nor to plain services, which have no
// prompts.
func (placer *Placer) canAccept(now time.Time, state *TargetState, req *Request) bool {
	if state.Leaving() || state.occupied(now) >= state.Target.Slots+placer.extraSlots {
		return false
	}
	return placer.plainService || req.LastAttempt || state.prefillWait(now) <= placer.maxPrefillWait+placer.cachedPrefillTime(state, req)
}

// cachedPrefillTime returns how long computing the part of the prompt that the target
// holds would take. The request may wait inside the target for that much longer. On
// this target the request delays others only by the part that isn't cached. On another
// target the prefix would be computed again, and blocks of another prompt would be
// evicted for it.
func (placer *Placer) cachedPrefillTime(state *TargetState, req *Request) time.Duration {
	if state.generation != placer.generation {
		return 0
	}
	return state.prefillTime(min(state.heldPrefix, req.Prompt))
}

// mayProbe reports whether the request may go to a target under probing, to find out
// whether the target has recovered. The target must hold no run, and the request must
// not be on its last attempt. At the target's usual rates the request must need less
// than half of the time until its deadline. A probe may miss its deadline. A request of
// the top tier therefore becomes a probe only if no request of a lower tier has become
// one for topTierProbeDelay further probe intervals.
func (placer *Placer) mayProbe(now time.Time, state *TargetState, req *Request) bool {
	notBefore := state.probeAt
	if req.Rank == 0 {
		notBefore = notBefore.Add(topTierProbeDelay * state.probeInterval)
	}
	if req.LastAttempt || len(state.runs) > 0 || now.Before(notBefore) {
		return false
	}
	return req.Deadline.Sub(now) > 2*placer.usualTime(state, req)
}

// usualTime returns how long the request would take at the target's usual rates, idle
// and without a cached prefix.
func (placer *Placer) usualTime(state *TargetState, req *Request) time.Duration {
	if placer.plainService {
		return seconds(1 / state.call.usual)
	}
	return seconds(float64(req.Prompt)/state.prefill.usual + float64(req.Answer)/state.decode.usual)
}

// targetLoad is the load that a request would find on a target, either now or after an
// assumed change of its runs: the prefill time of the queued prompts, the numbers of
// running and of decoding requests, and the share of the time that prompts take.
type targetLoad struct {
	prefillWait time.Duration
	running     float64
	decoding    float64
	promptShare float64
}

func (state *TargetState) targetLoad(now time.Time) targetLoad {
	return targetLoad{
		prefillWait: state.prefillWait(now),
		running:     float64(len(state.runs)),
		decoding:    float64(state.decoding()),
		promptShare: state.meter.promptShareUpTo(trackedRanks),
	}
}

// estimate returns the estimates and the cost of the request on the target under the
// given load. longestCached is the longest prefix of the prompt that any target holds;
// the current generation of marks tells how much of the prompt this target holds.
func (placer *Placer) estimate(now time.Time, state *TargetState, req *Request, longestCached yuccaid.Tokens, load targetLoad) Choice {
	if placer.plainService {
		finish := seconds(1 / state.call.recent)
		return Choice{TargetState: state, Finish: finish, cost: finish.Seconds()}
	}
	var cached yuccaid.Tokens
	if state.generation == placer.generation {
		cached = yuccaid.Tokens(float64(min(state.heldPrefix, req.Prompt)) * state.cacheTrust)
	}
	firstToken := load.prefillWait + state.prefillTimeBeside(req.Prompt-cached, load.decoding)
	choice := Choice{TargetState: state, Cached: cached, PrefillWait: load.prefillWait}
	choice.Finish = firstToken + state.decodeTimeBeside(float64(req.Answer)*answerMargin, load.running, load.promptShare)
	finishP90 := firstToken + state.decodeTimeBeside(float64(max(req.AnswerP90, req.Answer)), load.running, load.promptShare)
	// recomputed is in seconds of prefill: what another target's cache would have saved
	// now, and what the blocks that are evicted for the prompt will cost later.
	recomputed := state.prefillTime(longestCached - cached).Seconds()
	recomputed += state.prefillTime(req.Prompt-cached).Seconds() * state.cache.evictionCost()
	choice.finishP90 = finishP90
	choice.cost = placer.policy.GoodputWeight*finishCost(choice.Finish, finishP90, req.Deadline.Sub(now)) +
		placer.policy.WasteWeight*recomputeWeight*recomputed
	return choice
}

// finishCost returns the cost, in seconds, of finishing a request after the time
// finish, or finishP90 for a long answer; slack is the time until its deadline. The
// time finish is weighted by the share of the slack that a long answer would take, up
// to 1. A request with minutes left therefore doesn't compete for the fastest target
// with a request that has only seconds left. The time by which a long answer would
// exceed the deadline is added, multiplied by overrunWeight.
func finishCost(finish, finishP90, slack time.Duration) float64 {
	used := float64(finishP90) / float64(max(slack, time.Millisecond))
	return finish.Seconds()*min(used, 1) + overrunWeight*max(finishP90-slack, 0).Seconds()
}

// makesRunsLate reports whether the request would make a run late that would meet its
// deadline without the request. It considers the decoding runs of the request's own
// tier and of higher tiers. The request's prompt takes time from the answers that the
// target decodes, and one more answer slows all of them.
func (state *TargetState) makesRunsLate(now time.Time, req *Request, choice *Choice) bool {
	promptDelay := seconds(state.interference.promptFactor * float64(req.Prompt-choice.Cached) / state.prefill.recent)
	others := float64(len(state.runs) - 1)
	for _, run := range state.runs {
		if run.Rank > req.Rank || run.Prefilling() {
			continue
		}
		slack := run.Deadline.Sub(now)
		tokensLeft := run.tokensLeft(now)
		if state.decodeTime(tokensLeft, others) <= slack && state.decodeTime(tokensLeft, others+1)+promptDelay > slack {
			return true
		}
	}
	return false
}
