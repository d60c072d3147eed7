package yuccaplace

import (
	"math"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
)

// Option changes a setting of a Placer.
type Option func(*Placer)

// WithMaxPrefillWait sets the longest prefill time that may be queued in a target
// before it gets no further requests.
func WithMaxPrefillWait(maxPrefillWait time.Duration) Option {
	return func(placer *Placer) { placer.maxPrefillWait = maxPrefillWait }
}

// WithExtraSlots sets how many requests beyond its slots a target may hold.
func WithExtraSlots(extraSlots int) Option {
	return func(placer *Placer) { placer.extraSlots = extraSlots }
}

// Placer chooses among the targets of one pool in one data centre.
type Placer struct {
	policy         Policy
	plainService   bool
	maxPrefillWait time.Duration
	extraSlots     int
	states         []*TargetState
	byName         map[yuccaid.Target]*TargetState
	prefixes       prefixIndex
	generation     uint64 // increased before each markHeld; heldPrefix values of earlier generations are void
	interference   *interference
	answerRatios   map[yuccaid.Operation]*answerRatio
	typicalRequest [trackedRanks]typicalRequest // by rank
	shortWork      float64                      // average work of an arrival in seconds, long prompts counted as 0
	allWork        float64                      // average work of an arrival in seconds
}

// New returns a placer without targets.
func New(options ...Option) *Placer {
	placer := &Placer{
		policy:         Policy{GoodputWeight: 1, WasteWeight: 1},
		maxPrefillWait: defaultMaxPrefillWait,
		extraSlots:     defaultExtraSlots,
		byName:         map[yuccaid.Target]*TargetState{},
		interference:   &interference{crowding: initialCrowding, promptFactor: initialPromptFactor},
		answerRatios:   map[yuccaid.Operation]*answerRatio{},
		prefixes:       prefixIndex{yuccacache.NewIndex[*TargetState]()},
	}
	for _, option := range options {
		option(placer)
	}
	return placer
}

// Configure replaces the policy and the targets. What was learned about targets that
// stay is kept.
func (placer *Placer) Configure(policy Policy, plainService bool, targets []Target) {
	placer.plainService = plainService
	placer.policy = Policy{
		GoodputWeight: positiveOr(policy.GoodputWeight, 1),
		WasteWeight:   positiveOr(policy.WasteWeight, 1),
	}
	before := placer.byName
	placer.byName = make(map[yuccaid.Target]*TargetState, len(targets))
	placer.states = placer.states[:0]
	for _, target := range targets {
		state, found := before[target.Name]
		if !found {
			state = newTargetState(target, placer.interference)
		}
		placer.update(state, target)
		placer.states = append(placer.states, state)
		placer.byName[target.Name] = state
		delete(before, target.Name)
	}
	for _, state := range before {
		state.leaving = true
		placer.prefixes.clear(state)
	}
}

func (placer *Placer) update(state *TargetState, target Target) {
	if target.Prefill != state.Target.Prefill || target.Decode != state.Target.Decode {
		state.resetRates(target)
	}
	resized := target.Cache != state.Target.Cache
	state.Target = target
	if resized {
		placer.prefixes.clear(state)
	}
}

// TargetStates returns the states of all targets in the order of the configuration.
func (placer *Placer) TargetStates() []*TargetState {
	return placer.states
}

// TargetState returns the state of the named target.
func (placer *Placer) TargetState(name yuccaid.Target) (*TargetState, bool) {
	state, found := placer.byName[name]
	return state, found
}

// SetLeaving applies a target's report, made the given age ago, on whether the target
// is leaving, that is, takes no new work. A report that was made before the last
// applied report is ignored, so an old report can't make a leaving target accept work
// again.
func (placer *Placer) SetLeaving(now time.Time, name yuccaid.Target, leaving bool, age time.Duration) {
	state, found := placer.byName[name]
	reportedAt := now.Add(-age)
	if !found || reportedAt.Before(state.leavingReportedAt) {
		return
	}
	state.leaving = leaving
	state.leavingReportedAt = reportedAt
}

// StartRun adds a run to a target and records the run's prompt blocks as cached on the
// target.
func (placer *Placer) StartRun(now time.Time, state *TargetState, run *Run, hashes []uint64) {
	state.startRun(now, run)
	placer.prefixes.recordPrompt(state, hashes)
}

// FinishPrefill records the end of a run's prefill.
func (placer *Placer) FinishPrefill(now time.Time, run *Run) {
	if !run.Prefilling() {
		return
	}
	run.state.endPrefill(now, run)
	run.FirstTokenAt = now
}

// ReleaseRun removes a run from its target and so frees its slot.
func (placer *Placer) ReleaseRun(now time.Time, run *Run) {
	run.state.releaseRun(now, run)
}

// RunMeasurement is what the daemon that owns a request measured on its finished run:
// numbers of tokens, and the durations of prefill and decoding.
type RunMeasurement struct {
	Prompt, Cached, Answer yuccaid.Tokens
	Prefill, Decode        time.Duration
	// Complete means that the whole answer was received.
	Complete bool
}

// LearnFromRun updates the target's learned rates from a finished run.
func (placer *Placer) LearnFromRun(now time.Time, run *Run, measured RunMeasurement) {
	state := run.state
	state.observedAt = now
	state.failing = false
	weight := recentWeight
	if state.probing {
		weight = probeWeight
	}
	if placer.plainService {
		// A call counts as at least 1 ms long, which bounds the rate.
		state.call.observe(1/max(now.Sub(run.StartedAt).Seconds(), 0.001), weight)
		state.updateHealth(now)
		return
	}
	state.meter.advance(now, state)
	if uncached := measured.Prompt - measured.Cached; uncached >= minPrefillSample && measured.Prefill > 0 {
		others, _ := run.meterAtFirstToken.since(run.meterAtStart)
		rate := float64(uncached) / measured.Prefill.Seconds()
		state.prefill.observe(rate/state.prefillShare(others), weight)
	}
	if run.Answer > 0 && measured.Complete {
		placer.answerRatio(run.Operation).observe(float64(measured.Answer) / float64(run.Answer))
	}
	if measured.Answer > 1 && measured.Decode > 0 {
		others, promptShare := state.meter.since(run.meterAtFirstToken)
		// The meter counted this run's own answer too.
		others = max(others-1, 0)
		rate := float64(measured.Answer) / measured.Decode.Seconds()
		if !state.probing {
			placer.interference.learn(state.decode.usual/rate, others/state.slots(), state.promptLoss(others, promptShare))
		}
		state.decode.observe(rate*state.crowdingFactor(others)/state.decodeShare(others, promptShare), weight)
	}
	if run.Cached > 0 {
		hitRatio := min(float64(measured.Cached)/float64(run.Cached), 1)
		state.cacheTrust += hitTrustWeight * (hitRatio - state.cacheTrust)
	}
	state.updateHealth(now)
}

// updateHealth starts probing a target if any of its rates is slow, and returns a
// target under probing to ordinary use once none of its rates is slow.
func (state *TargetState) updateHealth(now time.Time) {
	slow := state.prefill.slow() || state.decode.slow() || state.call.slow()
	switch {
	case slow:
		state.startProbing(now)
	case state.probing:
		state.probing = false
	}
}

// Tick starts probing targets that show no progress, and moves the recent rates of all
// other targets back towards their usual ones.
func (placer *Placer) Tick(now time.Time) {
	for _, state := range placer.states {
		ratio := state.stallRatio(now, placer.plainService)
		if ratio == 0 {
			state.fadeRates(now)
			continue
		}
		state.observedAt = now
		state.failing = true
		state.startProbing(now)
		if placer.plainService {
			state.call.capRecent(state.call.usual / ratio)
		} else {
			state.prefill.capRecent(state.prefill.usual / ratio)
		}
	}
}

// fadeRates moves the recent rates of a target in ordinary use back towards the usual
// ones while nothing is observed. A target under probing keeps its recent rates until a
// probe shows that the target has recovered.
func (state *TargetState) fadeRates(now time.Time) {
	idle := now.Sub(state.observedAt)
	if state.probing || idle < fadeInterval {
		return
	}
	fraction := 1 - math.Exp2(-float64(fadeInterval)/float64(rateHalfLife))
	state.observedAt = now
	state.prefill.returnToUsual(fraction)
	state.decode.returnToUsual(fraction)
	state.call.returnToUsual(fraction)
}

// LoadReport is a target's own report of its load: how long ago it was made, and how
// many requests waited in the target's queue and were running then.
type LoadReport struct {
	Age     time.Duration
	Waiting int
	Running int
}

// ApplyLoadReport applies a load report. Reported requests in excess of runPeak, the
// largest number of this leader's runs around the report's time, belong to other
// leaders and occupy slots until the report expires.
func (placer *Placer) ApplyLoadReport(now time.Time, name yuccaid.Target, report LoadReport) {
	state, found := placer.byName[name]
	if !found || report.Age >= loadReportLifetime {
		return
	}
	state.runPeak.add(now, len(state.runs))
	state.foreignRuns = max(report.Running+report.Waiting-state.runPeak.value(), 0)
	state.foreignUntil = now.Add(loadReportLifetime - report.Age)
}

// ApplyCacheEvent corrects the model of a target's prefix cache.
//
// After lost events it is unknown which blocks were evicted. If the model were dropped,
// every prompt would go through a full prefill again. If it were trusted fully, prompts
// would wait for blocks that no longer exist. The model therefore stays, and cacheTrust
// is reduced; observed hits raise cacheTrust again.
func (placer *Placer) ApplyCacheEvent(name yuccaid.Target, stored, evicted []uint64, eventsLost bool) {
	state, found := placer.byName[name]
	if !found {
		return
	}
	if eventsLost {
		state.cacheTrust *= lostEventsTrust
	}
	placer.prefixes.removeEvicted(state, evicted)
	placer.prefixes.addStored(state, stored)
}

// RecordArrival updates the averages from which the capacity reserved for short
// requests and for higher tiers is computed. longPrompt and work are the results of
// EstimateWork.
func (placer *Placer) RecordArrival(now time.Time, req *Request, longPrompt bool, work time.Duration) {
	cached := min(placer.prefixes.longestHeld(req.BlockHashes), req.Prompt)
	placer.updateTypical(now, req, float64(req.Prompt-cached))
	placer.allWork += arrivalWeight * (work.Seconds() - placer.allWork)
	short := work.Seconds()
	if longPrompt {
		short = 0
	}
	placer.shortWork += arrivalWeight * (short - placer.shortWork)
}

// reserve returns how many of n targets are kept free of long prompts.
//
// A short request that arrives while every target works on a long prompt waits for
// seconds, longer than its deadline allows. The reserve follows the share of short work
// in the demand, so that targets don't idle when there is little short work. The
// reserve is at most maxReservedShare of the targets, that is, half of them, so that
// long prompts aren't starved.
func (placer *Placer) reserve(n int) int {
	if n < 2 || placer.shortWork <= 0 {
		return 0
	}
	proportional := int(math.Ceil(placer.shortWork / placer.allWork * float64(n)))
	return min(proportional, int(maxReservedShare*float64(n)))
}
