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

// tick is how often the world calls Leader.Tick.
const tick = 50 * time.Millisecond

var (
	self  = yuccaid.NewIncarnation("vm-1", [16]byte{1})
	epoch = time.Unix(1_000_000, 0)
)

type fate string

const (
	waits     fate = "waits"
	runs      fate = "runs"
	met       fate = "met"
	missed    fate = "missed"
	refused   fate = "refused"
	cancelled fate = "cancelled"
)

// request is one request as its caller sees it.
type request struct {
	yuccapool.Ask
	arrived  time.Time
	deadline time.Time
	ended    time.Time
	fate     fate
	reason   yuccaqueue.Reason
	back     time.Duration
	engine   *engine
	cached   yuccaid.Tokens
	began    time.Time
	first    time.Time
}

func (req *request) uncached() yuccaid.Tokens { return req.Prompt - req.cached }

// engine batches continuously, prefills in the order of arrival, decodes side by side
// and caches every prefix it has seen.
type engine struct {
	yuccapool.Target
	slow    float64
	stalled bool
	queue   []*request
	running []*request
	pre     []*request
	preAt   time.Time
	caches  map[uint64]bool
}

func (eng *engine) prefillTime(tokens yuccaid.Tokens) time.Duration {
	return time.Duration(float64(eng.Prefill.Duration(tokens)) * eng.slow)
}

func (eng *engine) decodeTime(tokens yuccaid.Tokens) time.Duration {
	return time.Duration(float64(eng.Decode.Duration(tokens)) * eng.slow)
}

type event struct {
	at   time.Time
	turn int
	do   func()
}

type events []event

func (evs events) Len() int { return len(evs) }

func (evs events) Less(a, b int) bool {
	return evs[a].at.Before(evs[b].at) || evs[a].at.Equal(evs[b].at) && evs[a].turn < evs[b].turn
}
func (evs events) Swap(a, b int) { evs[a], evs[b] = evs[b], evs[a] }
func (evs *events) Push(x any)   { *evs = append(*evs, x.(event)) }
func (evs *events) Pop() any {
	last := len(*evs) - 1
	one := (*evs)[last]
	*evs = (*evs)[:last]
	return one
}

// world runs a leader against engines in virtual time.
type world struct {
	now     time.Time
	lead    *yuccapool.Leader
	view    yuccapool.PoolConfig
	engines map[yuccaid.Target]*engine
	reqs    []*request
	byID    map[yuccaid.RequestID]*request
	pending events
	turn    int
	wasted  yuccaid.Tokens
	check   func(yuccapool.Decisions)
}

// ownShares tells the leader that the engines here give each slot its own share.
var ownShares = yuccapool.WithFleet(yuccaplace.WithInterference(0, 0))

func newWorld(view yuccapool.PoolConfig, options ...yuccapool.Option) *world {
	w := &world{
		now: epoch, view: view,
		lead:    yuccapool.New("drafts", self, rand.New(rand.NewPCG(1, 2)), append(options, ownShares)...),
		engines: map[yuccaid.Target]*engine{},
		byID:    map[yuccaid.RequestID]*request{},
		check:   func(yuccapool.Decisions) {},
	}
	for _, tgt := range view.Targets {
		w.engines[tgt.Name] = &engine{Target: tgt, slow: 1, caches: map[uint64]bool{}}
	}
	w.lead.Configure(w.now, view)
	w.ticking()
	return w
}

// fleet returns n equal targets with eight slots each.
func fleet(n int) []yuccapool.Target {
	var list []yuccapool.Target
	for at := range n {
		name := yuccaid.Target(fmt.Sprintf("engine-%d", at))
		list = append(list, yuccapool.Target{Name: name, Slots: 8, Prefill: 5000, Decode: 50, Cache: 200_000})
	}
	return list
}

func (w *world) at(at time.Time, do func()) {
	w.turn++
	heap.Push(&w.pending, event{at: at, turn: w.turn, do: do})
}

func (w *world) after(delay time.Duration, do func()) { w.at(w.now.Add(delay), do) }

func (w *world) ticking() {
	w.after(tick, func() {
		w.apply(w.lead.Tick(w.now))
		w.ticking()
	})
}

// run lets the given time pass.
func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for w.pending.Len() > 0 && !w.pending[0].at.After(end) {
		one := heap.Pop(&w.pending).(event)
		w.now = one.at
		one.do()
	}
	w.now = end
}

func (w *world) offer(ask yuccapool.Ask) *request {
	ask.ID = yuccaid.RequestID(fmt.Sprintf("r%d", len(w.reqs)))
	ask.Owner = self
	ask.Tier = yuccaid.Tier(fmt.Sprintf("tier-%d", ask.Rank))
	req := &request{Ask: ask, arrived: w.now, deadline: w.now.Add(ask.Remaining), fate: waits}
	w.reqs = append(w.reqs, req)
	w.byID[ask.ID] = req
	w.apply(w.lead.Submit(w.now, ask))
	return req
}

// stream offers an ask at even intervals for a span.
func (w *world) stream(every, span time.Duration, ask func() yuccapool.Ask) {
	for at := time.Duration(0); at < span; at += every {
		w.after(at, func() { w.offer(ask()) })
	}
}

func (w *world) apply(dec yuccapool.Decisions) {
	w.check(dec)
	for _, cancel := range dec.Cancels {
		req := w.byID[cancel.ID]
		w.end(req, cancelled)
		req.reason, req.back = cancel.Reason, cancel.RetryAfter
		w.leave(req)
	}
	for _, refusal := range dec.Refusals {
		req := w.byID[refusal.ID]
		w.end(req, refused)
		req.reason, req.back = refusal.Reason, refusal.RetryAfter
	}
	for _, grant := range dec.Grants {
		req := w.byID[grant.ID]
		req.fate, req.engine, req.began = runs, w.engines[grant.Target], w.now
		req.engine.queue = append(req.engine.queue, req)
		w.admit(req.engine)
	}
}

func (w *world) end(req *request, how fate) {
	req.fate, req.ended = how, w.now
}

func (w *world) admit(eng *engine) {
	for len(eng.queue) > 0 && len(eng.running) < eng.Slots && !eng.stalled {
		req := eng.queue[0]
		eng.queue = eng.queue[1:]
		eng.running = append(eng.running, req)
		eng.pre = append(eng.pre, req)
		if len(eng.pre) == 1 {
			w.prefill(eng)
		}
	}
}

func (w *world) prefill(eng *engine) {
	if len(eng.pre) == 0 || eng.stalled {
		return
	}
	req := eng.pre[0]
	eng.preAt = w.now
	for at, hash := range req.Prefixes {
		if eng.caches[hash] {
			req.cached = min(yuccaid.Tokens(at+1)*yuccaqueue.BlockTokens, req.Prompt)
		}
	}
	w.after(eng.prefillTime(req.uncached()), func() {
		if req.fate != runs || eng.stalled || eng.pre[0] != req {
			return
		}
		eng.pre = eng.pre[1:]
		req.first = w.now
		for _, hash := range req.Prefixes {
			eng.caches[hash] = true
		}
		w.prefill(eng)
		w.after(eng.decodeTime(req.Answer), func() { w.finish(req) })
		w.apply(w.lead.RunProgressed(w.now, yuccapool.Progress{ID: req.ID, FirstToken: true}))
	})
}

func (w *world) finish(req *request) {
	if req.fate != runs {
		return
	}
	w.end(req, met)
	if w.now.After(req.deadline) {
		req.fate = missed
	}
	w.leave(req)
	w.apply(w.lead.RunFinished(w.now, yuccapool.Finished{
		ID: req.ID, Target: req.engine.Name, Ran: true, Prompt: req.Prompt, Cached: req.cached, Answer: req.Answer,
		Prefill: req.engine.prefillTime(req.uncached()), Decode: w.now.Sub(req.first),
	}))
}

// leave takes a request off its engine.
func (w *world) leave(req *request) {
	eng := req.engine
	is := func(other *request) bool { return other == req }
	eng.queue = slices.DeleteFunc(eng.queue, is)
	eng.running = slices.DeleteFunc(eng.running, is)
	head := len(eng.pre) > 0 && eng.pre[0] == req
	eng.pre = slices.DeleteFunc(eng.pre, is)
	if req.fate == cancelled && !req.first.IsZero() {
		w.wasted += req.uncached()
	}
	if head {
		w.prefill(eng)
	}
	w.admit(eng)
}

// count returns how many of the requests that fit had a fate.
func (w *world) count(how fate, fits func(*request) bool) int {
	sum := 0
	for _, req := range w.reqs {
		if req.fate == how && fits(req) {
			sum++
		}
	}
	return sum
}

// goodput is the part of the requests that fit which met their deadline.
func (w *world) goodput(fits func(*request) bool) float64 {
	all := 0
	for _, req := range w.reqs {
		if fits(req) {
			all++
		}
	}
	return float64(w.count(met, fits)) / float64(max(all, 1))
}

func ofRank(rank int) func(*request) bool {
	return func(req *request) bool { return req.Rank == rank }
}

func everybody(*request) bool { return true }
