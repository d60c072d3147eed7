package yuccapool_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
)

// tick is the interval at which the simulation calls Leader.Tick.
const tick = 50 * time.Millisecond

var (
	self  = yuccaid.NewIncarnation("vm-1", [16]byte{1})
	epoch = time.Unix(1_000_000, 0)
)

type outcome string

const (
	outcomeWaiting   outcome = "waits"
	outcomeRunning   outcome = "runs"
	outcomeMet       outcome = "met"
	outcomeMissed    outcome = "missed"
	outcomeRefused   outcome = "refused"
	outcomeCancelled outcome = "cancelled"
)

// request is a request with the outcome that its caller sees. The request starts on an
// engine at startedAt; cached is the part of its prompt that the engine's cache held.
type request struct {
	yuccapool.Request
	arrived      time.Time
	deadline     time.Time
	endedAt      time.Time
	outcome      outcome
	reason       yuccaqueue.Reason
	retryAfter   time.Duration
	engine       *engine
	cached       yuccaid.Tokens
	startedAt    time.Time
	firstTokenAt time.Time
}

func (req *request) uncached() yuccaid.Tokens { return req.Prompt - req.cached }

// engine simulates a target with continuous batching: it prefills in the order of
// arrival, decodes all running requests side by side and caches every prefix that it
// has prefilled. It takes slowdown times as long as the configuration states; a stalled
// engine makes no progress.
type engine struct {
	yuccapool.Target
	slowdown       float64
	stalled        bool
	queue          []*request
	running        []*request
	prefilling     []*request
	prefillStart   time.Time
	cachedPrefixes map[uint64]bool
}

func (eng *engine) prefillTime(tokens yuccaid.Tokens) time.Duration {
	return time.Duration(float64(eng.Prefill.Duration(tokens)) * eng.slowdown)
}

func (eng *engine) decodeTime(tokens yuccaid.Tokens) time.Duration {
	return time.Duration(float64(eng.Decode.Duration(tokens)) * eng.slowdown)
}

type event struct {
	at       time.Time
	sequence int
	do       func()
}

type events []event

func (evs events) Len() int { return len(evs) }

func (evs events) Less(a, b int) bool {
	return evs[a].at.Before(evs[b].at) || evs[a].at.Equal(evs[b].at) && evs[a].sequence < evs[b].sequence
}
func (evs events) Swap(a, b int) { evs[a], evs[b] = evs[b], evs[a] }
func (evs *events) Push(x any)   { *evs = append(*evs, x.(event)) }
func (evs *events) Pop() any {
	last := len(*evs) - 1
	ev := (*evs)[last]
	*evs = (*evs)[:last]
	return ev
}

// simulation runs a leader with simulated engines in virtual time. wasted counts the
// prompt tokens that were prefilled for runs cancelled after their first token. check is
// called with the leader's decisions before they are applied.
type simulation struct {
	now      time.Time
	lead     *yuccapool.Leader
	config   yuccapool.PoolConfig
	engines  map[yuccaid.Target]*engine
	reqs     []*request
	byID     map[yuccaid.RequestID]*request
	pending  events
	sequence int
	wasted   yuccaid.Tokens
	check    func(yuccapool.Decisions)
}

// noSharing tells the leader that requests on one simulated engine do not slow each other
// down.
var noSharing = yuccapool.WithFleet(yuccaplace.WithInterference(0, 0))

func newSimulation(config yuccapool.PoolConfig, options ...yuccapool.Option) *simulation {
	sim := &simulation{
		now: epoch, config: config,
		lead:    yuccapool.New("drafts", self, rand.New(rand.NewPCG(1, 2)), append(options, noSharing)...),
		engines: map[yuccaid.Target]*engine{},
		byID:    map[yuccaid.RequestID]*request{},
		check:   func(yuccapool.Decisions) {},
	}
	for _, tgt := range config.Targets {
		sim.engines[tgt.Name] = &engine{Target: tgt, slowdown: 1, cachedPrefixes: map[uint64]bool{}}
	}
	sim.lead.Configure(sim.now, config)
	sim.scheduleTick()
	return sim
}

// fleet returns n equal targets with eight slots each.
func fleet(n int) []yuccapool.Target {
	var list []yuccapool.Target
	for i := range n {
		name := yuccaid.Target(fmt.Sprintf("engine-%d", i))
		list = append(list, yuccapool.Target{Name: name, Slots: 8, Prefill: 5000, Decode: 50, Cache: 200_000})
	}
	return list
}

func (sim *simulation) at(at time.Time, do func()) {
	sim.sequence++
	heap.Push(&sim.pending, event{at: at, sequence: sim.sequence, do: do})
}

func (sim *simulation) after(delay time.Duration, do func()) { sim.at(sim.now.Add(delay), do) }

func (sim *simulation) scheduleTick() {
	sim.after(tick, func() {
		sim.apply(sim.lead.Tick(sim.now))
		sim.scheduleTick()
	})
}

// run advances the virtual time by span.
func (sim *simulation) run(span time.Duration) {
	end := sim.now.Add(span)
	for sim.pending.Len() > 0 && !sim.pending[0].at.After(end) {
		ev := heap.Pop(&sim.pending).(event)
		sim.now = ev.at
		ev.do()
	}
	sim.now = end
}

func (sim *simulation) submit(msg yuccapool.Request) *request {
	msg.ID = yuccaid.RequestID(fmt.Sprintf("r%d", len(sim.reqs)))
	msg.Owner = self
	msg.Tier = yuccaid.Tier(fmt.Sprintf("tier-%d", msg.Rank))
	req := &request{Request: msg, arrived: sim.now, deadline: sim.now.Add(msg.Remaining), outcome: outcomeWaiting}
	sim.reqs = append(sim.reqs, req)
	sim.byID[msg.ID] = req
	sim.apply(sim.lead.Submit(sim.now, msg))
	return req
}

// stream submits a request at each interval for a span.
func (sim *simulation) stream(interval, span time.Duration, msg func() yuccapool.Request) {
	for at := time.Duration(0); at < span; at += interval {
		sim.after(at, func() { sim.submit(msg()) })
	}
}

// apply does what the leader decided, as owners and engines would.
func (sim *simulation) apply(dec yuccapool.Decisions) {
	sim.check(dec)
	for _, cancel := range dec.Cancels {
		req := sim.byID[cancel.ID]
		sim.end(req, outcomeCancelled)
		req.reason, req.retryAfter = cancel.Reason, cancel.RetryAfter
		sim.removeFromEngine(req)
	}
	for _, refusal := range dec.Refusals {
		req := sim.byID[refusal.ID]
		sim.end(req, outcomeRefused)
		req.reason, req.retryAfter = refusal.Reason, refusal.RetryAfter
	}
	for _, grant := range dec.Grants {
		req := sim.byID[grant.ID]
		req.outcome, req.engine, req.startedAt = outcomeRunning, sim.engines[grant.Target], sim.now
		req.engine.queue = append(req.engine.queue, req)
		sim.admit(req.engine)
	}
}

func (sim *simulation) end(req *request, result outcome) {
	req.outcome, req.endedAt = result, sim.now
}

// admit starts queued requests on the free slots of an engine.
func (sim *simulation) admit(eng *engine) {
	for len(eng.queue) > 0 && len(eng.running) < eng.Slots && !eng.stalled {
		req := eng.queue[0]
		eng.queue = eng.queue[1:]
		eng.running = append(eng.running, req)
		eng.prefilling = append(eng.prefilling, req)
		if len(eng.prefilling) == 1 {
			sim.prefill(eng)
		}
	}
}

// prefill starts the prefill of an engine's next prompt; the decode follows it.
func (sim *simulation) prefill(eng *engine) {
	if len(eng.prefilling) == 0 || eng.stalled {
		return
	}
	req := eng.prefilling[0]
	eng.prefillStart = sim.now
	for i, hash := range req.Prefixes {
		if eng.cachedPrefixes[hash] {
			req.cached = min(yuccaid.Tokens(i+1)*yuccaqueue.BlockTokens, req.Prompt)
		}
	}
	sim.after(eng.prefillTime(req.uncached()), func() {
		if req.outcome != outcomeRunning || eng.stalled || eng.prefilling[0] != req {
			return
		}
		eng.prefilling = eng.prefilling[1:]
		req.firstTokenAt = sim.now
		for _, hash := range req.Prefixes {
			eng.cachedPrefixes[hash] = true
		}
		sim.prefill(eng)
		sim.after(eng.decodeTime(req.Answer), func() { sim.finish(req) })
		sim.apply(sim.lead.RunProgressed(sim.now, yuccapool.Progress{ID: req.ID, FirstToken: true}))
	})
}

func (sim *simulation) finish(req *request) {
	if req.outcome != outcomeRunning {
		return
	}
	sim.end(req, outcomeMet)
	if sim.now.After(req.deadline) {
		req.outcome = outcomeMissed
	}
	sim.removeFromEngine(req)
	sim.apply(sim.lead.RunFinished(sim.now, yuccapool.Finished{
		ID: req.ID, Target: req.engine.Name, Ran: true, Prompt: req.Prompt, Cached: req.cached, Answer: req.Answer,
		Prefill: req.engine.prefillTime(req.uncached()), Decode: sim.now.Sub(req.firstTokenAt),
	}))
}

// removeFromEngine removes a request from its engine.
func (sim *simulation) removeFromEngine(req *request) {
	eng := req.engine
	isReq := func(other *request) bool { return other == req }
	eng.queue = slices.DeleteFunc(eng.queue, isReq)
	eng.running = slices.DeleteFunc(eng.running, isReq)
	wasPrefilling := len(eng.prefilling) > 0 && eng.prefilling[0] == req
	eng.prefilling = slices.DeleteFunc(eng.prefilling, isReq)
	if req.outcome == outcomeCancelled && !req.firstTokenAt.IsZero() {
		sim.wasted += req.uncached()
	}
	if wasPrefilling {
		sim.prefill(eng)
	}
	sim.admit(eng)
}

// count returns how many of the matching requests have the outcome.
func (sim *simulation) count(result outcome, match func(*request) bool) int {
	sum := 0
	for _, req := range sim.reqs {
		if req.outcome == result && match(req) {
			sum++
		}
	}
	return sum
}

// goodput returns the fraction of the matching requests that met their deadline.
func (sim *simulation) goodput(match func(*request) bool) float64 {
	all := 0
	for _, req := range sim.reqs {
		if match(req) {
			all++
		}
	}
	return float64(sim.count(outcomeMet, match)) / float64(max(all, 1))
}

func ofRank(rank int) func(*request) bool {
	return func(req *request) bool { return req.Rank == rank }
}

func anyRequest(*request) bool { return true }
