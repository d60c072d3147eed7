package yuccaplace

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

// Option changes a fleet at its construction.
type Option func(*Placer)

// WithMaxPrefillWait sets how much prefill may wait in a target before it gets another request.
func WithMaxPrefillWait(depth time.Duration) Option {
	return func(fleet *Placer) { fleet.depth = depth }
}

// WithExtraSlots sets how many requests beyond its slots a target may hold.
func WithExtraSlots(spare int) Option {
	return func(fleet *Placer) { fleet.spare = spare }
}

// Placer is the set of targets of one pool in one data centre.
type Placer struct {
	policy    Policy
	plain     bool
	depth     time.Duration
	spare     int
	nodes     []*TargetState
	byName    map[yuccaid.Target]*TargetState
	prefixes  prefixes
	stamp     uint64
	sharing   *sharing
	lengths   map[yuccaid.Operation]*length
	typical   [meterRanks]typical
	shortWork float64
	allWork   float64
}

// New returns a fleet without targets.
func New(options ...Option) *Placer {
	fleet := &Placer{
		policy:   Policy{GoodputWeight: 1, WasteWeight: 1},
		depth:    defaultDepth,
		spare:    defaultSpare,
		byName:   map[yuccaid.Target]*TargetState{},
		sharing:  &sharing{crowding: crowdingGuess, prompts: promptsGuess},
		lengths:  map[yuccaid.Operation]*length{},
		prefixes: prefixes{holders: map[uint64][]*TargetState{}},
	}
	for _, option := range options {
		option(fleet)
	}
	return fleet
}

// Configure takes over the targets; what was learned of those that stay is kept.
func (fleet *Placer) Configure(policy Policy, plain bool, targets []Target) {
	fleet.plain = plain
	fleet.policy = Policy{
		GoodputWeight: orElse(policy.GoodputWeight, 1),
		WasteWeight:   orElse(policy.WasteWeight, 1),
	}
	before := fleet.byName
	fleet.byName = make(map[yuccaid.Target]*TargetState, len(targets))
	fleet.nodes = fleet.nodes[:0]
	for _, tgt := range targets {
		node, found := before[tgt.Name]
		if !found {
			node = newNode(tgt, fleet.sharing)
		}
		fleet.update(node, tgt)
		fleet.nodes = append(fleet.nodes, node)
		fleet.byName[tgt.Name] = node
		delete(before, tgt.Name)
	}
	for _, node := range before {
		node.leaving = true
		fleet.prefixes.clear(node)
	}
}

func (fleet *Placer) update(node *TargetState, tgt Target) {
	if tgt.Prefill != node.Target.Prefill || tgt.Decode != node.Target.Decode {
		node.guess(tgt)
	}
	resized := tgt.Cache != node.Target.Cache
	node.Target = tgt
	if resized {
		fleet.prefixes.clear(node)
	}
}

// TargetStates returns the targets in the order of the configuration.
func (fleet *Placer) TargetStates() []*TargetState {
	return fleet.nodes
}

// TargetState returns a target by its name.
func (fleet *Placer) TargetState(name yuccaid.Target) (*TargetState, bool) {
	node, found := fleet.byName[name]
	return node, found
}

// SetLeaving notes a target's word, age ago, on whether it takes new work. An old report
// that says it does can't undo a younger word that it leaves.
func (fleet *Placer) SetLeaving(now time.Time, name yuccaid.Target, leaving bool, age time.Duration) {
	node, found := fleet.byName[name]
	at := now.Add(-age)
	if !found || at.Before(node.leftAt) {
		return
	}
	node.leaving = leaving
	node.leftAt = at
}

// StartRun counts a run on a target and records its prompt as cached there.
func (fleet *Placer) StartRun(now time.Time, node *TargetState, run *Run, hashes []uint64) {
	node.begin(now, run)
	fleet.prefixes.sent(node, hashes)
}

// FinishPrefill notes the end of a run's prefill.
func (fleet *Placer) FinishPrefill(now time.Time, run *Run) {
	if !run.Prefilling() {
		return
	}
	run.node.prefilled(now, run)
	run.FirstTokenAt = now
}

// ReleaseRun gives back what a run held.
func (fleet *Placer) ReleaseRun(now time.Time, run *Run) {
	run.node.end(now, run)
}

// RunMeasurement is what an owner measured of a finished run.
type RunMeasurement struct {
	Prompt, Cached, Answer yuccaid.Tokens
	Prefill, Decode        time.Duration
	// Complete says that the answer came to its end.
	Complete bool
}

// LearnFromRun takes a finished run's speeds into the target's rates.
func (fleet *Placer) LearnFromRun(now time.Time, run *Run, seen RunMeasurement) {
	node := run.node
	node.newsAt = now
	node.failing = false
	weight := recentWeight
	if node.probing {
		weight = probeWeight
	}
	if fleet.plain {
		node.call.observe(1/max(now.Sub(run.StartedAt).Seconds(), 0.001), weight)
		node.judge(now)
		return
	}
	node.meter.advance(now, node)
	if work := seen.Prompt - seen.Cached; work >= minimalSample && seen.Prefill > 0 {
		company, _ := run.atFirst.since(run.atBegin)
		rate := float64(work) / seen.Prefill.Seconds()
		node.prefill.observe(rate/node.promptPart(company), weight)
	}
	if run.Answer > 0 && seen.Complete {
		fleet.length(run.Operation).observe(float64(seen.Answer) / float64(run.Answer))
	}
	if seen.Answer > 1 && seen.Decode > 0 {
		company, prompts := node.meter.since(run.atFirst)
		company = max(company-1, 0)
		rate := float64(seen.Answer) / seen.Decode.Seconds()
		if !node.probing {
			fleet.sharing.learn(node.decode.usual/rate, company/node.slots(), node.lost(company, prompts))
		}
		node.decode.observe(rate*node.crowding(company)/node.answerPart(company, prompts), weight)
	}
	if run.Cached > 0 {
		hit := min(float64(seen.Cached)/float64(run.Cached), 1)
		node.trust += trustWeight * (hit - node.trust)
	}
	node.judge(now)
}

// judge decides from the rates whether the target goes on, is left to probes, or is
// taken back.
func (node *TargetState) judge(now time.Time) {
	slow := node.prefill.slow() || node.decode.slow() || node.call.slow()
	switch {
	case slow:
		node.startProbing(now)
	case node.probing:
		node.probing = false
	}
}

// Tick looks for targets that show no progress, and lets old news fade.
func (fleet *Placer) Tick(now time.Time) {
	for _, node := range fleet.nodes {
		ratio := node.overdue(now, fleet.plain)
		if ratio == 0 {
			node.fade(now)
			continue
		}
		node.newsAt = now
		node.failing = true
		node.startProbing(now)
		if fleet.plain {
			node.call.atMost(node.call.usual / ratio)
		} else {
			node.prefill.atMost(node.prefill.usual / ratio)
		}
	}
}

// fade forgets old news of a target in ordinary use; one left to probes stays there
// until a probe shows that it is well.
func (node *TargetState) fade(now time.Time) {
	idle := now.Sub(node.newsAt)
	if node.probing || idle < fadePause {
		return
	}
	part := 1 - math.Exp2(-float64(fadePause)/float64(forgetHalf))
	node.newsAt = now
	node.prefill.forget(part)
	node.decode.forget(part)
	node.call.forget(part)
}

// LoadReport is a target's own report.
type LoadReport struct {
	Age     time.Duration
	Waiting int
	Running int
}

// ApplyLoadReport takes a load report. What it shows beyond the most that was granted around
// its time is the work of others and occupies slots until the report is too old.
func (fleet *Placer) ApplyLoadReport(now time.Time, name yuccaid.Target, load LoadReport) {
	node, found := fleet.byName[name]
	if !found || load.Age >= foreignLife {
		return
	}
	node.peak.note(now, len(node.runs))
	node.foreign = max(load.Running+load.Waiting-node.peak.value(), 0)
	node.foreignTil = now.Add(foreignLife - load.Age)
}

// ApplyCacheEvent corrects the record of a target's prefix cache.
//
// After a gap nobody knows what was evicted. Dropping the record would send every
// prompt through a full prefill again; keeping it whole would hold prompts back for a
// cache that is gone. So the record stays and counts for less until hits confirm it.
func (fleet *Placer) ApplyCacheEvent(name yuccaid.Target, stored, evicted []uint64, gap bool) {
	node, found := fleet.byName[name]
	if !found {
		return
	}
	if gap {
		node.trust *= gapTrust
	}
	fleet.prefixes.evicted(node, evicted)
	fleet.prefixes.stored(node, stored)
}

// RecordArrival notes an arrival, from which the room kept for short requests and for higher
// tiers follows.
func (fleet *Placer) RecordArrival(now time.Time, shape *Request, long bool, work time.Duration) {
	cached := min(fleet.prefixes.deepest(shape.Prefixes), shape.Prompt)
	fleet.arrived(now, shape, float64(shape.Prompt-cached))
	fleet.allWork += demandWeight * (work.Seconds() - fleet.allWork)
	short := work.Seconds()
	if long {
		short = 0
	}
	fleet.shortWork += demandWeight * (short - fleet.shortWork)
}

// reserve is how many of n targets are kept free of long prompts.
//
// A short lookup that arrives while every target works on a rulebook waits for
// seconds, longer than its deadline. The room follows the share of short work in the
// demand, so that it doesn't idle when there is little of it, and is never more than
// half, so that long prompts aren't starved by it.
func (fleet *Placer) reserve(n int) int {
	if n < 2 || fleet.shortWork <= 0 {
		return 0
	}
	part := int(math.Ceil(fleet.shortWork / fleet.allWork * float64(n)))
	return min(part, int(longestReserve*float64(n)))
}
