package yuccapool_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
)

// A letter is answered while a triage note is turned away: the caller with the leak
// waits for nothing, and the crew rolls late. It comes about when a full queue refuses
// whoever comes last, when a run of a lower tier keeps its place to the end, or when
// the order among the waiting isn't strict. The oracle reads the trace of decisions
// and knows the engines' true state; it shares no estimate with the leader.
type oracle struct {
	w *world
	// freed lists the targets on which this decision took back a grant of its own.
	freed []yuccaid.Target
}

func (orc *oracle) check(dec yuccapool.Decisions) (fault string) {
	for _, refusal := range dec.Refusals {
		req := orc.w.byID[refusal.ID]
		switch refusal.Reason {
		case yuccaqueue.ReasonOverload:
			fault = firstOf(fault, orc.waitsBelow(req, dec), orc.runsBelow(req, dec))
		case yuccaqueue.ReasonDisplaced:
			fault = firstOf(fault, orc.waitsBelow(req, dec), orc.displacedFor(req, dec))
		case yuccaqueue.ReasonDeadline:
			fault = firstOf(fault, orc.runsBelow(req, dec))
		}
	}
	for _, grant := range dec.Grants {
		if !evicts(dec, grant.Target) && !slices.Contains(orc.freed, grant.Target) {
			fault = firstOf(fault, orc.overtakes(orc.w.byID[grant.ID], grant.Target, dec))
		}
	}
	for _, cancel := range dec.Cancels {
		if victim := orc.w.byID[cancel.ID]; !victim.Idempotent || orc.w.view.PlainService {
			fault = firstOf(fault, fmt.Sprintf("%s was cancelled though it may not run again", victim.ID))
		}
	}
	orc.freed = nil
	return fault
}

func firstOf(faults ...string) string {
	return faults[max(slices.IndexFunc(faults, func(s string) bool { return s != "" }), 0)]
}

func evicts(dec yuccapool.Decisions, tgt yuccaid.Target) bool {
	return slices.ContainsFunc(dec.Cancels, func(cancel yuccapool.Cancel) bool { return cancel.Target == tgt })
}

func (orc *oracle) stillWaits(req *request, dec yuccapool.Decisions) bool {
	return req.fate == waits &&
		!slices.ContainsFunc(dec.Refusals, func(refusal yuccapool.Refusal) bool { return refusal.ID == req.ID }) &&
		!slices.ContainsFunc(dec.Grants, func(grant yuccapool.Grant) bool { return grant.ID == req.ID })
}

func (orc *oracle) waitsBelow(req *request, dec yuccapool.Decisions) string {
	for _, other := range orc.w.reqs {
		if other.Rank > req.Rank && orc.stillWaits(other, dec) {
			return fmt.Sprintf("%s of rank %d was shed while %s of rank %d waits", req.ID, req.Rank, other.ID, other.Rank)
		}
	}
	return ""
}

// displacedFor wants a reason for a displacement: somebody of a higher tier has just
// arrived or been granted.
func (orc *oracle) displacedFor(req *request, dec yuccapool.Decisions) string {
	newest := orc.w.reqs[len(orc.w.reqs)-1]
	if newest.Rank < req.Rank && newest.arrived.Equal(orc.w.now) {
		return ""
	}
	for _, grant := range dec.Grants {
		if orc.w.byID[grant.ID].Rank < req.Rank {
			return ""
		}
	}
	return fmt.Sprintf("%s of rank %d was displaced by nobody above it", req.ID, req.Rank)
}

// runsBelow looks for a target on which the request would have met its deadline had
// every cancellable run of a lower tier there been cancelled now.
func (orc *oracle) runsBelow(req *request, dec yuccapool.Decisions) string {
	if orc.atLimit(req, dec) {
		return ""
	}
	for _, eng := range orc.w.engines {
		kept, below := orc.split(eng, req, dec)
		if below == 0 || len(kept) >= eng.Slots || !orc.allowed(req, eng.Name) {
			continue
		}
		if orc.fits(eng, kept, req, refusalMargin) {
			return fmt.Sprintf("%s of rank %d was refused while %d of lower tiers run on %s (%+v kept %d wait %v service %v left %v)", req.ID, req.Rank, below, eng.Name, req.Ask, len(kept), orc.wait(eng, kept), orc.service(eng, req), req.deadline.Sub(orc.w.now))
		}
	}
	return ""
}

// split returns what the target would keep and how many runs could be cancelled.
func (orc *oracle) split(eng *engine, req *request, dec yuccapool.Decisions) ([]*request, int) {
	var kept []*request
	below := 0
	for _, run := range slices.Concat(eng.running, eng.queue) {
		gone := slices.ContainsFunc(dec.Cancels, func(cancel yuccapool.Cancel) bool { return cancel.ID == run.ID })
		switch {
		case gone:
		case run.Idempotent && run.Rank > req.Rank:
			below++
		default:
			kept = append(kept, run)
		}
	}
	for _, grant := range dec.Grants {
		if grant.Target == eng.Name {
			kept = append(kept, orc.w.byID[grant.ID])
		}
	}
	return kept, below
}

func (orc *oracle) wait(eng *engine, kept []*request) time.Duration {
	var sum time.Duration
	for _, run := range kept {
		if run.first.IsZero() {
			sum += eng.prefillTime(run.Prompt)
		}
	}
	return sum
}

// Margins by which an answer may outgrow its estimate and still be in time. The leader
// knows no lengths: it grants later to what would end late if its answer were long, but
// it refuses for load only what an ordinary answer beside the kept runs would miss too.
const (
	orderMargin   = 1.3
	refusalMargin = 1.0
)

// fits reports whether a request would meet its deadline on a target beside the kept
// runs with an answer that much longer than expected.
func (orc *oracle) fits(eng *engine, kept []*request, req *request, margin float64) bool {
	long := *req
	long.Answer = yuccaid.Tokens(float64(long.Answer) * margin)
	return !orc.w.now.Add(orc.wait(eng, kept) + orc.service(eng, &long)).After(req.deadline)
}

func (orc *oracle) service(eng *engine, req *request) time.Duration {
	return eng.prefillTime(req.Prompt) + eng.decodeTime(req.Answer)
}

func (orc *oracle) allowed(req *request, tgt yuccaid.Target) bool {
	list := orc.w.view.Accounts[req.Account].Targets
	return len(list) == 0 || slices.Contains(list, tgt)
}

func (orc *oracle) atLimit(req *request, dec yuccapool.Decisions) bool {
	limit := orc.w.view.Accounts[req.Account].Limits.Running
	same := func(other *request) bool { return other.Account == req.Account }
	running := orc.w.count(runs, same)
	for _, grant := range dec.Grants {
		if same(orc.w.byID[grant.ID]) {
			running++
		}
	}
	return limit > 0 && running >= limit
}

// longPrompt is the prompt that takes more than a second on the mean target. It may
// wait while a short one of a lower tier uses room that is kept for short ones, but
// may not be refused for that.
const longPrompt yuccaid.Tokens = 6000

// keptOff reports whether room may be kept from a waiting request that a smaller one of
// a lower tier may use: for short requests, or for tiers above both.
func keptOff(req *request) bool {
	return req.Prompt >= longPrompt || req.Rank > 0
}

// overtakes looks for a request of a higher tier that waits while a lower one gets a
// target on which the higher one would have met its deadline.
func (orc *oracle) overtakes(granted *request, tgt yuccaid.Target, dec yuccapool.Decisions) string {
	eng := orc.w.engines[tgt]
	kept := slices.Concat(eng.running, eng.queue)
	for _, other := range orc.w.reqs {
		if keptOff(other) && granted.Prompt < other.Prompt {
			continue
		}
		if other.Rank >= granted.Rank || !orc.stillWaits(other, dec) || !orc.allowed(other, tgt) || orc.atLimit(other, dec) {
			continue
		}
		if orc.fits(eng, kept, other, orderMargin) {
			return fmt.Sprintf("%s of rank %d got %s while %s of rank %d waits (%d tokens, kept %d, wait %v, service %v, left %v)", granted.ID, granted.Rank, tgt, other.ID, other.Rank, other.Prompt, len(kept), orc.wait(eng, kept), orc.service(eng, other), other.deadline.Sub(orc.w.now))
		}
	}
	return ""
}

// oracleView has three unlike targets, one account with fewer targets and one with a
// limit of running requests.
func oracleView() yuccapool.PoolConfig {
	return yuccapool.PoolConfig{
		ConfigNumber: 1,
		Targets: []yuccapool.Target{
			{Name: "engine-0", Slots: 2, Prefill: 4000, Decode: 40, Cache: 50_000},
			{Name: "engine-1", Slots: 3, Prefill: 2000, Decode: 30, Cache: 50_000},
			{Name: "engine-2", Slots: 2, Prefill: 1000, Decode: 20, Cache: 50_000},
		},
		Accounts: map[yuccaid.Account]yuccapool.AccountConfig{
			"large":  {Weight: 3},
			"small":  {Weight: 1, Targets: []yuccaid.Target{"engine-1", "engine-2"}},
			"capped": {Weight: 1, Limits: yuccapool.Limits{Running: 2}},
		},
		LongestRun: time.Minute,
	}
}

func drawAsk(rt *rapid.T) yuccapool.Ask {
	prompt := rapid.SampledFrom([]yuccaid.Tokens{100, 400, 1200, longPrompt}).Draw(rt, "prompt")
	return yuccapool.Ask{
		Account:    rapid.SampledFrom([]yuccaid.Account{"large", "small", "capped"}).Draw(rt, "account"),
		Rank:       rapid.IntRange(0, 2).Draw(rt, "rank"),
		Idempotent: rapid.IntRange(0, 3).Draw(rt, "idempotent") > 0,
		Prompt:     prompt,
		Answer:     rapid.SampledFrom([]yuccaid.Tokens{10, 200, 1000}).Draw(rt, "answer"),
		Remaining:  rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, 15 * time.Second, time.Minute}).Draw(rt, "remaining"),
	}
}

// drive puts a leader through random arrivals and pauses and returns the first fault.
func drive(rt *rapid.T, queue []yuccaqueue.Option, options []yuccapool.Option) (fault string) {
	bounds := yuccaqueue.BoundsFor(12, 40_000)
	bounds.AccountRequests = 8
	queue = append([]yuccaqueue.Option{yuccaqueue.WithBounds(bounds)}, queue...)
	orc := &oracle{}
	freed := yuccapool.OnRequeue(func(tgt yuccaid.Target) { orc.freed = append(orc.freed, tgt) })
	w := newWorld(oracleView(), append([]yuccapool.Option{yuccapool.WithQueue(queue...), freed}, options...)...)
	orc.w = w
	w.check = func(dec yuccapool.Decisions) { fault = firstOf(fault, orc.check(dec)) }
	steps := rapid.IntRange(20, 200).Draw(rt, "steps")
	for range steps {
		if rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
			w.run(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "millis")) * time.Millisecond)
		} else {
			w.offer(drawAsk(rt))
		}
		if fault != "" {
			return fault
		}
	}
	w.run(2 * time.Minute)
	left := w.count(waits, everybody) + w.count(runs, everybody)
	if left > 0 && fault == "" {
		fault = fmt.Sprintf("%d requests never got an answer", left)
	}
	return fault
}

func TestTierRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if fault := drive(rt, nil, nil); fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Each mechanism that keeps the tier rule is turned off in turn. Over the same fixed
// seeds, on which the whole leader has no fault, the oracle then has to find one.
var _ = DescribeTable("the tier rule",
	func(want string, queue []yuccaqueue.Option, options []yuccapool.Option) {
		found := ""
		runs := rapid.Custom(func(rt *rapid.T) string { return drive(rt, queue, options) })
		for seed := 0; seed < 300 && found == ""; seed++ {
			found = runs.Example(seed)
		}
		Expect(found).To(MatchRegexp(want))
	},
	Entry("holds with all mechanisms", "^$", nil, nil),
	Entry("breaks without displacement", "was shed while", []yuccaqueue.Option{yuccaqueue.WithoutDisplacement()}, nil),
	Entry("breaks without preemption", "was refused while", nil, []yuccapool.Option{yuccapool.WithoutPreemption()}),
	Entry("breaks without the second look", "got engine-. while", []yuccaqueue.Option{yuccaqueue.WithoutRecheck()}, nil),
)
