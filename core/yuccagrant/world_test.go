package yuccagrant_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// tick is the grain of the virtual time; a real daemon is called as often.
const tick = 5 * time.Millisecond

// engine is a small fake of a target: places, a queue in order of arrival, and a time for
// the first event and for each further one, all multiplied by its pace.
type engine struct {
	name  yuccaid.Target
	slots int
	pace  float64
	// fails says what happens to what arrives, Served by default.
	fails func(now time.Time) yuccagrant.Outcome
	queue []*job
	runs  []*job
	// batch is set for an engine that works in steps.
	batch *batch
}

const (
	firstTime = 90 * time.Millisecond
	eventTime = 8 * time.Millisecond
)

// job is one request of a caller.
type job struct {
	ask     yuccagrant.Request
	arrived time.Time
	events  int
	// prompt is how long the prompt is, whatever is announced.
	prompt yuccaid.Tokens
	went   progress
	kind   string

	sent   time.Time
	began  time.Time
	first  time.Time
	ends   time.Time
	doomed yuccagrant.Outcome
	// outcome for the caller.
	refused bool
	back    time.Duration
	onTime  bool
	done    bool
}

// class is a kind of request with its share of the traffic.
type class struct {
	kind   string
	rank   int
	aim    time.Duration
	events float64
	prompt float64
	share  float64
	// until is how long callers wait for the first event, four times the aim if it is zero.
	until time.Duration
	// lies changes what a request announces.
	lies func(ask *yuccagrant.Request)
}

var classes = []class{
	{kind: "note", rank: 0, aim: 1200 * time.Millisecond, events: 60, prompt: 3700, share: 0.4},
	{kind: "handover", rank: 1, aim: time.Second, events: 26, prompt: 2900, share: 0.2},
	{kind: "letter", rank: 2, aim: 800 * time.Millisecond, events: 86, prompt: 1100, share: 0.4},
}

// world plays callers and engines against a leader, or against a simple policy.
type world struct {
	now     time.Time
	rng     *rand.Rand
	lead    *yuccagrant.Leader
	engines []*engine
	jobs    map[yuccagrant.ID]*job
	all     []*job
	number  uint64
	// simple places by the fewest requests outstanding, without a queue, when there is no
	// leader.
	simple bool
	// classes of the traffic, and the longest pause that its callers bear.
	classes []class
	gap     time.Duration
}

var owner = yuccaid.NewIncarnation("entry-1", [16]byte{1})

func newWorld(seed uint64, engines ...*engine) *world {
	wld := &world{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		engines: engines, jobs: make(map[yuccagrant.ID]*job), classes: classes,
	}
	wld.lead = yuccagrant.New(rand.New(rand.NewPCG(seed, 2)))
	wld.configure()
	return wld
}

func (wld *world) configure() {
	var targets []yuccagrant.Target
	for _, eng := range wld.engines {
		targets = append(targets, yuccagrant.Target{Name: eng.name, Slots: eng.slots})
	}
	wld.apply(wld.lead.Configure(wld.now, targets))
}

// fleet returns engines with a number of places and a pace each.
func fleet(slots int, paces ...float64) []*engine {
	var engines []*engine
	for at, pace := range paces {
		engines = append(engines, &engine{name: yuccaid.Target(fmt.Sprintf("engine-%02d", at)), slots: slots, pace: pace})
	}
	return engines
}

// play lets callers come at a rate that may change with the time since the start.
func (wld *world) play(span time.Duration, rate func(since time.Duration) float64) {
	start := wld.now
	for due := 0.0; wld.now.Sub(start) < span; {
		wld.step()
		due += rate(wld.now.Sub(start)) * tick.Seconds()
		for ; due >= 1; due-- {
			wld.arrive()
		}
	}
	for range int(20 * time.Second / tick) {
		wld.step()
	}
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

func (wld *world) arrive() {
	draw, cls := wld.rng.Float64(), wld.classes[len(wld.classes)-1]
	for _, each := range wld.classes {
		if draw -= each.share; draw < 0 {
			cls = each
			break
		}
	}
	wld.number++
	one := &job{arrived: wld.now, kind: cls.kind, events: 1 + int(cls.events*wld.spread()), prompt: yuccaid.Tokens(cls.prompt * wld.spread())}
	one.ask = yuccagrant.Request{
		ID: yuccagrant.ID{Owner: owner, Number: wld.number}, Rank: cls.rank, Class: classOf(cls.kind),
		Prompt: one.prompt, Answer: yuccaid.Tokens(float64(6*one.events) * wld.error()),
		SoftDeadline: wld.now.Add(cls.aim), Deadline: wld.now.Add(cmp.Or(cls.until, 4*cls.aim)), MaxGap: cmp.Or(wld.gap, 300*time.Millisecond),
	}
	if cls.lies != nil {
		cls.lies(&one.ask)
	}
	wld.jobs[one.ask.ID] = one
	wld.all = append(wld.all, one)
	if wld.simple {
		wld.sendTo(one, slices.MinFunc(wld.engines, func(a, b *engine) int {
			return cmp.Compare(len(a.runs)+len(a.queue), len(b.runs)+len(b.queue))
		}))
		return
	}
	wld.apply(wld.lead.Submit(wld.now, one.ask))
}

// classOf numbers kinds of requests.
func classOf(kind string) yuccagrant.Class {
	return yuccagrant.Class(xxhash.Sum64String(kind))
}

// error draws how far an announced length is off.
func (wld *world) error() float64 {
	const sigma = 0.5
	return math.Exp(sigma * wld.rng.NormFloat64())
}

// spread draws lengths with a mean of one and a long tail.
func (wld *world) spread() float64 {
	const sigma = 0.9
	return min(math.Exp(sigma*wld.rng.NormFloat64()-sigma*sigma/2), 12)
}

func (wld *world) apply(dec yuccagrant.Decisions) {
	for _, grant := range dec.Grants {
		one := wld.jobs[grant.ID]
		for _, eng := range wld.engines {
			if eng.name == grant.Target {
				wld.sendTo(one, eng)
			}
		}
	}
	for _, refusal := range dec.Refusals {
		one := wld.jobs[refusal.ID]
		one.refused, one.back = true, refusal.RetryAfter
	}
}

func (wld *world) sendTo(one *job, eng *engine) {
	one.sent = wld.now
	if eng.fails != nil {
		one.doomed = eng.fails(wld.now)
	}
	if one.doomed == yuccagrant.Unreachable || one.doomed == yuccagrant.Rejected {
		wld.finish(eng, one, one.doomed)
		return
	}
	eng.queue = append(eng.queue, one)
}

func (wld *world) step() {
	wld.now = wld.now.Add(tick)
	for _, eng := range wld.engines {
		wld.advance(eng)
	}
	if !wld.simple {
		wld.apply(wld.lead.Tick(wld.now))
	}
}

func (wld *world) advance(eng *engine) {
	if eng.batch != nil {
		wld.advanceBatch(eng)
		return
	}
	var going []*job
	for _, one := range eng.runs {
		if one.doomed == yuccagrant.Lost && wld.now.Before(one.ask.Deadline) {
			going = append(going, one)
			continue
		}
		if one.doomed == yuccagrant.Lost {
			wld.finish(eng, one, yuccagrant.Lost)
			continue
		}
		if one.first.IsZero() && !wld.now.Before(one.began) {
			one.first = wld.now
			one.onTime = !wld.now.After(one.ask.SoftDeadline)
			if !wld.simple {
				wld.apply(wld.lead.RunStarted(wld.now, one.ask.ID, wld.now.Sub(one.sent), yuccagrant.ReportedLoad{}))
			}
		}
		if wld.now.Before(one.ends) {
			going = append(going, one)
			continue
		}
		one.done = true
		wld.finish(eng, one, yuccagrant.Served)
	}
	eng.runs = going
	for len(eng.queue) > 0 && len(eng.runs) < eng.slots {
		one := eng.queue[0]
		eng.queue = eng.queue[1:]
		prefill := time.Duration(float64(one.ask.Prompt) * 15 * float64(time.Microsecond))
		one.began = wld.now.Add(time.Duration(eng.pace * float64(firstTime+prefill)))
		one.ends = one.began.Add(time.Duration(eng.pace * float64(one.events-1) * float64(eventTime)))
		eng.runs = append(eng.runs, one)
	}
}

func (wld *world) finish(eng *engine, one *job, outcome yuccagrant.Outcome) {
	if wld.simple {
		return
	}
	end := yuccagrant.Finished{ID: one.ask.ID, Outcome: outcome}
	if !one.first.IsZero() {
		end.TimeToFirst, end.Events, end.Span = one.first.Sub(one.sent), one.events, wld.now.Sub(one.first)
		end.LongestGap = time.Duration(eng.pace * float64(eventTime))
	}
	if eng.batch != nil {
		end.LongestGap = one.went.pause
	}
	wld.apply(wld.lead.RunFinished(wld.now, end))
}

// tally is what became of the callers of one kind.
type tally struct {
	asked, onTime, served, refused int
}

// good is the part that was answered on time.
func (tl tally) good() float64 { return float64(tl.onTime) / float64(max(tl.asked, 1)) }

// part is the part that was served at all.
func (tl tally) part() float64 { return float64(tl.served) / float64(max(tl.asked, 1)) }

func (tl *tally) add(other tally) {
	tl.asked += other.asked
	tl.onTime += other.onTime
	tl.served += other.served
	tl.refused += other.refused
}

func (tl *tally) count(one *job) {
	tl.asked++
	if one.done {
		tl.served++
	}
	if one.done && one.onTime {
		tl.onTime++
	}
	if one.refused {
		tl.refused++
	}
}

func (wld *world) tally(kind string) tally {
	var tl tally
	for _, one := range wld.of(kind) {
		tl.count(one)
	}
	return tl
}

// longest tallies the tenth of a kind with most work.
func (wld *world) longest(kind string) tally {
	jobs := wld.of(kind)
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(b.size(), a.size()) })
	var tl tally
	for _, one := range jobs[:len(jobs)/10] {
		tl.count(one)
	}
	return tl
}

// of returns the requests of a kind, or all.
func (wld *world) of(kind string) []*job {
	var jobs []*job
	for _, one := range wld.all {
		if kind == "" || one.kind == kind {
			jobs = append(jobs, one)
		}
	}
	return jobs
}

// size weighs a request's prompt and answer by about what they cost an engine.
func (one *job) size() int { return int(one.prompt) + 60*one.events }
