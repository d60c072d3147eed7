package yuccagrant_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// tickInterval is the step of the simulated time. A real daemon calls Tick as often.
const tickInterval = 5 * time.Millisecond

// engine simulates a target with slots and a queue in order of arrival. The time to the first
// event and the times between events are multiplied by its pace.
type engine struct {
	name  yuccaid.Target
	slots int
	pace  float64
	// region is the region of the engine's data centre, which has the same name.
	region yuccaid.Region
	// slowness, if set, returns how many times as long as usual work that begins now takes, and states what
	// the engine says of it. If states is nil, the engine says nothing.
	slowness func(now time.Time) float64
	states   func(slowness float64) float64
	// fails returns the outcome of a run that is sent now. If fails is nil, all runs are Served.
	fails func(now time.Time) yuccagrant.Outcome
	// lead is the leader of the engine's data centre, nil if engines belong to none.
	lead *yuccagrant.Leader
	// lostAfter is the time after which it shows that a job is lost, zero if that shows at its deadline.
	lostAfter time.Duration
	queue     []*job
	// queueLimit is the number of requests that may wait in the queue. The engine rejects further
	// requests. Zero means no limit.
	queueLimit int
	runs       []*job
	// batching is set for an engine that simulates each step of its batch. All runs of other
	// engines take fixed times.
	batching *batching
}

// firstTime is the time to the first event of an empty prompt, and eventTime the time between two
// events, on an engine of pace 1 that is not batching.
const (
	firstTime = 90 * time.Millisecond
	eventTime = 8 * time.Millisecond
)

// job is one request of a caller, and what has become of it.
type job struct {
	req     yuccagrant.Request
	arrived time.Time
	events  int
	// prompt is the actual length of the prompt; req holds the announced length.
	prompt yuccaid.Tokens
	parts  []yuccacache.Part
	state  progress
	kind   string

	// sent is when the request was sent to its engine, and first is when its first event came. On a
	// batching engine, starts is when the run got a slot. On other engines, starts is when the
	// first event is due, and ends is when the run will finish.
	sent    time.Time
	starts  time.Time
	first   time.Time
	ends    time.Time
	outcome yuccagrant.Outcome
	// engine is the engine that the request was last sent to.
	engine *engine
	// The fields from refused to done are what the caller saw: retryAfter is set for a refused
	// request, onTime reports that no event so far was late, and done reports that the answer is
	// complete.
	refused    bool
	refusedAt  time.Time
	retryAfter time.Duration
	onTime     bool
	done       bool
	// lead is the leader that decides on the request, and rejections how often an engine rejected it.
	lead       *yuccagrant.Leader
	rejections int
	// fetchFrom is the engine from which the job's engine fetches parts of the prompt, nil if it
	// fetches none.
	fetchFrom *engine
}

// class describes the requests of one kind. events and prompt are the mean length of the answer in
// events and of the prompt in tokens, and share is the fraction of all requests.
type class struct {
	kind         string
	rank         int
	softDeadline time.Duration
	events       float64
	prompt       float64
	share        float64
	// deadline is how long callers wait for the first event. If deadline is zero, callers wait four
	// times softDeadline.
	deadline time.Duration
	// draw, if set, returns the parts of a prompt whose last part, which no other request has, is of
	// the given length.
	draw func(rng *rand.Rand, own yuccaid.Tokens) []yuccacache.Part
	// alterRequest, if set, changes a request before it is submitted, such as the lengths that
	// it announces.
	alterRequest func(req *yuccagrant.Request)
}

// classes is the traffic of simulations that set no other: notes are the most urgent requests, then
// come handovers, then letters.
var classes = []class{
	{kind: "note", rank: 0, softDeadline: 1200 * time.Millisecond, events: 60, prompt: 3700, share: 0.4},
	{kind: "handover", rank: 1, softDeadline: time.Second, events: 26, prompt: 2900, share: 0.2},
	{kind: "letter", rank: 2, softDeadline: 800 * time.Millisecond, events: 86, prompt: 1100, share: 0.4},
}

// simulation simulates callers and engines whose requests are scheduled by a leader, or by a simple
// policy to compare it with.
type simulation struct {
	now time.Time
	rng *rand.Rand
	// leaders are the leaders of the data centres. There is one unless split was called.
	leaders []*yuccagrant.Leader
	// inFlight are the casts that haven't arrived yet, and lastCast is when the leaders last cast
	// their loads.
	inFlight []cast
	lastCast time.Time
	// demand, if set, holds the share of the requests that comes to each data centre.
	demand []float64
	// isolated is set if the leaders don't report failing targets to one another.
	isolated bool
	// centreOf, if set, returns the number of the data centre that an engine is in.
	centreOf func(eng *engine) int
	engines  []*engine
	jobs     map[yuccagrant.ID]*job
	all      []*job
	number   uint64
	// leastOutstanding bypasses the leader: each request is sent at once to the engine with the
	// fewest outstanding requests.
	leastOutstanding bool
	// classes are the kinds of requests, and maxGap the longest gap between events that callers
	// accept.
	classes []class
	maxGap  time.Duration
}

var owner = yuccaid.NewIncarnation("entry-1", [16]byte{1})

func newSimulation(seed uint64, engines ...*engine) *simulation {
	sim := &simulation{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		engines: engines, jobs: make(map[yuccagrant.ID]*job), classes: classes,
	}
	sim.leaders = []*yuccagrant.Leader{yuccagrant.New(rand.New(rand.NewPCG(seed, 2)))}
	sim.configure()
	return sim
}

// configure sets the leaders' targets to the engines.
func (sim *simulation) configure() {
	var targets []yuccagrant.Target
	for _, eng := range sim.engines {
		target := yuccagrant.Target{Name: eng.name, Slots: eng.slots, Region: eng.region, Centre: yuccaid.Centre(eng.region)}
		if eng.batching != nil {
			target.CacheTokens = eng.batching.memory
			target.FetchRate = eng.batching.fetchRate
		}
		targets = append(targets, target)
	}
	for number, lead := range sim.leaders {
		for at, eng := range sim.engines {
			targets[at].OtherCentre = sim.centreOf != nil && sim.centreOf(eng) != number
		}
		sim.apply(lead.SetTargets(sim.now, targets))
	}
}

// newEngines returns one engine for each of the given paces, each with the given number of slots.
func newEngines(slots int, paces ...float64) []*engine {
	var engines []*engine
	for at, pace := range paces {
		engines = append(engines, &engine{name: yuccaid.Target(fmt.Sprintf("engine-%02d", at)), slots: slots, pace: pace})
	}
	return engines
}

// run submits requests for the given time, at a rate in requests a second that depends on the time
// since the start, and then simulates 20 s more so that the last requests finish.
func (sim *simulation) run(span time.Duration, rate func(since time.Duration) float64) {
	start := sim.now
	for due := 0.0; sim.now.Sub(start) < span; {
		sim.step()
		due += rate(sim.now.Sub(start)) * tickInterval.Seconds()
		for ; due >= 1; due-- {
			sim.submitRequest()
		}
	}
	for range int(20 * time.Second / tickInterval) {
		sim.step()
	}
}

// steady returns a constant rate, in requests a second.
func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// submitRequest submits one request of a random class and length.
func (sim *simulation) submitRequest() {
	draw, cls := sim.rng.Float64(), sim.classes[len(sim.classes)-1]
	for _, each := range sim.classes {
		if draw -= each.share; draw < 0 {
			cls = each
			break
		}
	}
	sim.number++
	jb := &job{arrived: sim.now, kind: cls.kind, lead: sim.drawLeader(), events: 1 + int(cls.events*sim.lengthFactor()), prompt: yuccaid.Tokens(cls.prompt * sim.lengthFactor())}
	jb.req = yuccagrant.Request{
		ID: yuccagrant.ID{Owner: owner, Number: sim.number}, Rank: cls.rank, Class: classOf(cls.kind),
		Prompt: jb.prompt, Answer: yuccaid.Tokens(float64(6*jb.events) * sim.announcementError()),
		SoftDeadline: sim.now.Add(cls.softDeadline), Deadline: sim.now.Add(cmp.Or(cls.deadline, 4*cls.softDeadline)), MaxGap: cmp.Or(sim.maxGap, 300*time.Millisecond),
	}
	if cls.draw != nil {
		jb.parts = cls.draw(sim.rng, jb.prompt)
		jb.prompt = partTokens(jb.parts)
		jb.req.Prompt, jb.req.Parts = jb.prompt, jb.parts
	}
	if cls.alterRequest != nil {
		cls.alterRequest(&jb.req)
	}
	sim.jobs[jb.req.ID] = jb
	sim.all = append(sim.all, jb)
	if sim.leastOutstanding {
		sim.sendTo(jb, slices.MinFunc(sim.engines, func(a, b *engine) int {
			return cmp.Compare(len(a.runs)+len(a.queue), len(b.runs)+len(b.queue))
		}))
		return
	}
	sim.apply(jb.lead.Submit(sim.now, jb.req))
}

// classOf returns the scheduler's class of a kind of request.
func classOf(kind string) yuccagrant.Class {
	return yuccagrant.Class(xxhash.Sum64String(kind))
}

// announcementError draws the factor by which an announced answer length is wrong.
func (sim *simulation) announcementError() float64 {
	const sigma = 0.5
	return math.Exp(sigma * sim.rng.NormFloat64())
}

// lengthFactor draws a length relative to the mean, from a distribution with a long tail that is
// cut off at 12.
func (sim *simulation) lengthFactor() float64 {
	const sigma = 0.9
	return min(math.Exp(sigma*sim.rng.NormFloat64()-sigma*sigma/2), 12)
}

// apply carries out the decisions of the leader.
func (sim *simulation) apply(dec yuccagrant.Decisions) {
	for _, grant := range dec.Grants {
		jb := sim.jobs[grant.ID]
		jb.fetchFrom = nil
		for _, eng := range sim.engines {
			if eng.name == grant.FetchFrom {
				jb.fetchFrom = eng
			}
		}
		for _, eng := range sim.engines {
			if eng.name == grant.Target {
				sim.sendTo(jb, eng)
			}
		}
	}
	for _, refusal := range dec.Refusals {
		jb := sim.jobs[refusal.ID]
		jb.refused, jb.refusedAt, jb.retryAfter = true, sim.now, refusal.RetryAfter
	}
}

func (sim *simulation) sendTo(jb *job, eng *engine) {
	jb.sent, jb.engine = sim.now, eng
	if eng.fails != nil {
		jb.outcome = eng.fails(sim.now)
	}
	if jb.outcome == yuccagrant.Unreachable || jb.outcome == yuccagrant.Rejected {
		sim.finish(eng, jb, jb.outcome)
		return
	}
	if eng.queueLimit > 0 && len(eng.queue) >= eng.queueLimit {
		sim.reject(eng, jb)
		return
	}
	eng.queue = append(eng.queue, jb)
}

func (sim *simulation) step() {
	sim.now = sim.now.Add(tickInterval)
	sim.exchangeLoads()
	for _, eng := range sim.engines {
		sim.advance(eng)
	}
	if !sim.leastOutstanding {
		for _, lead := range sim.leaders {
			sim.apply(lead.Tick(sim.now))
		}
	}
}

// advance simulates an engine up to the current time.
func (sim *simulation) advance(eng *engine) {
	if eng.batching != nil {
		sim.advanceBatch(eng)
		return
	}
	var remaining []*job
	for _, jb := range eng.runs {
		if jb.outcome == yuccagrant.Lost && sim.now.Before(eng.lostAt(jb)) {
			remaining = append(remaining, jb)
			continue
		}
		if jb.outcome == yuccagrant.Lost {
			sim.finish(eng, jb, yuccagrant.Lost)
			continue
		}
		if jb.first.IsZero() && !sim.now.Before(jb.starts) {
			jb.first = sim.now
			jb.onTime = !sim.now.After(jb.req.SoftDeadline)
			if !sim.leastOutstanding {
				sim.apply(jb.lead.RunStarted(sim.now, jb.req.ID, sim.now.Sub(jb.sent), eng.reportedLoad(sim.now)))
			}
		}
		if sim.now.Before(jb.ends) {
			remaining = append(remaining, jb)
			continue
		}
		jb.done = true
		sim.finish(eng, jb, yuccagrant.Served)
	}
	eng.runs = remaining
	for len(eng.queue) > 0 && len(eng.runs) < eng.slots {
		jb := eng.queue[0]
		eng.queue = eng.queue[1:]
		prefill := time.Duration(float64(jb.req.Prompt) * 15 * float64(time.Microsecond))
		pace := eng.pace
		if eng.slowness != nil {
			pace *= eng.slowness(sim.now)
		}
		jb.starts = sim.now.Add(time.Duration(pace * float64(firstTime+prefill)))
		jb.ends = jb.starts.Add(time.Duration(eng.pace * float64(jb.events-1) * float64(eventTime)))
		eng.runs = append(eng.runs, jb)
	}
}

// lostAt returns when it shows that a job is lost.
func (eng *engine) lostAt(jb *job) time.Time {
	if eng.lostAfter > 0 {
		return jb.sent.Add(eng.lostAfter)
	}
	return jb.req.Deadline
}

// finish reports the outcome of a run to the leader.
func (sim *simulation) finish(eng *engine, jb *job, outcome yuccagrant.Outcome) {
	if sim.leastOutstanding {
		return
	}
	result := yuccagrant.Finished{ID: jb.req.ID, Outcome: outcome}
	if !jb.first.IsZero() {
		result.TimeToFirst, result.Events, result.Span = jb.first.Sub(jb.sent), jb.events, sim.now.Sub(jb.first)
		result.LongestGap = time.Duration(eng.pace * float64(eventTime))
	}
	if eng.batching != nil {
		result.LongestGap = jb.state.longestGap
	}
	sim.apply(jb.lead.RunFinished(sim.now, result))
}
