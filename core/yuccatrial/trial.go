package yuccatrial

import (
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
)

const (
	// reportEvery is how often a target tells its load.
	reportEvery = time.Second
	// tickEvery is how often a policy looks at the time.
	tickEvery = 100 * time.Millisecond
	// cacheLag is how late cache events come.
	cacheLag = 500 * time.Millisecond
	// comebackShare of the refused come back when they were told to. More would make
	// the load differ between policies too much to compare them.
	comebackShare = 0.1
	// settle is how long a run goes on at most after the last arrival.
	settle = 3 * time.Minute
)

// trial is one run of a scenario under a policy.
type trial struct {
	agenda   *agenda
	scenario *Scenario
	pools    []*Pool
	requests []*Request
	byID     map[yuccaid.RequestID]*Request
	rng      *rand.Rand
	result   Result
	open     int // requests that have not ended
	gaps     map[yuccaid.Target]bool
}

// Run plays a scenario under a policy; equal seeds give equal results.
func Run(seed uint64, scenario Scenario, policy Policy) Result {
	tri := newTrial(seed, scenario)
	tri.result = Result{Scenario: scenario.Name, Policy: policy.Name, Seed: seed}
	for i, hooks := range policy.Start(tri.pools) {
		tri.pools[i].hooks = hooks
	}
	tri.start()
	tri.play()
	tri.result.measure(tri)
	return tri.result
}

// play runs the agenda until every request has ended, since reports and ticks go on
// for ever.
func (tri *trial) play() {
	end := epoch.Add(tri.scenario.Duration + settle)
	for tri.open > 0 && tri.agenda.now.Before(end) {
		tri.agenda.run(tri.agenda.now.Add(time.Second))
	}
}

func newTrial(seed uint64, scenario Scenario) *trial {
	tri := &trial{
		agenda:   &agenda{now: epoch},
		scenario: &scenario,
		byID:     map[yuccaid.RequestID]*Request{},
		rng:      rand.New(rand.NewPCG(seed, 1)),
		gaps:     map[yuccaid.Target]bool{},
	}
	tri.requests = scenario.build(seed, tri)
	return tri
}

// epoch is where virtual time starts.
var epoch = time.Unix(0, 0).UTC()

func (tri *trial) start() {
	for _, req := range tri.requests {
		tri.arrive(req)
	}
	for _, pool := range tri.pools {
		tri.repeat(tickEvery, func() { call(pool.hooks.Tick) })
		for _, eng := range pool.Engines {
			tri.repeat(reportEvery, func() { tri.report(eng) })
			for _, flt := range eng.faults {
				tri.agenda.at(flt.at, func() { eng.setSpeed(flt.speed) })
			}
		}
	}
	for _, what := range tri.scenario.events {
		tri.agenda.after(what.after, func() { what.do(tri) })
	}
}

func call(hook func()) {
	if hook != nil {
		hook()
	}
}

func (tri *trial) repeat(every time.Duration, do func()) {
	tri.agenda.after(every, func() {
		do()
		tri.repeat(every, do)
	})
}

func (tri *trial) arrive(req *Request) {
	tri.byID[req.ID] = req
	tri.open++
	tri.agenda.at(req.Arrived, func() { req.home.hooks.Arrive(req) })
	tri.agenda.at(req.Deadline, func() { tri.expire(req) })
}

// expire ends a request whose deadline has passed. A run that may be stopped is; one
// of a plain service goes on and is late.
func (tri *trial) expire(req *Request) {
	switch {
	case req.waiting():
		tri.noteShed(req)
		tri.end(req, expired)
		if req.home.hooks.Gone != nil {
			req.home.hooks.Gone(req)
		}
	case req.fate == pending && req.Idempotent:
		tri.stop(req, expired)
	}
}

func (tri *trial) stop(req *Request, why fate) {
	tri.end(req, why)
	tri.agenda.after(nearDelay, func() {
		if req.job != nil && !req.home.severed(req.engine.pool) {
			req.engine.cancel(req)
		}
		req.home.ended(req)
	})
}

func (tri *trial) end(req *Request, how fate) {
	req.fate = how
	tri.open--
	req.ended = tri.agenda.now
}

// comeBack sends a share of the refused again after the time they were told.
func (tri *trial) comeBack(req *Request, back time.Duration) {
	if req.comeback || back <= 0 || tri.rng.Float64() >= comebackShare {
		return
	}
	again := *req
	again.ID += "-again"
	again.comeback = true
	again.fate = pending
	again.Arrived = tri.agenda.now.Add(back)
	again.Deadline = again.Arrived.Add(req.Deadline.Sub(req.Arrived))
	again.asked, again.tried, again.back = nil, 0, 0
	tri.requests = append(tri.requests, &again)
	tri.arrive(&again)
}

// noteShed counts a request that is given up while a lower tier is served in its pool.
// One that an idle pool could not have served in time is not counted.
func (tri *trial) noteShed(req *Request) {
	if req.comeback || req.home.leastTime(req) > req.Deadline.Sub(tri.agenda.now) {
		return
	}
	for _, eng := range req.home.Engines {
		for _, one := range eng.running {
			if one.req.Rank > req.Rank && one.req.Idempotent && one.req.fate == pending {
				tri.result.Shed++
				return
			}
		}
	}
}

// leastTime is how long the fastest target takes for the request when it is idle.
func (pool *Pool) leastTime(req *Request) time.Duration {
	least := time.Duration(1<<63 - 1)
	for _, eng := range pool.Engines {
		if eng.speed > 0 {
			took := eng.Prefill.Duration(req.Prompt) + eng.Decode.Duration(req.Answer)
			least = min(least, time.Duration(float64(took)/eng.speed))
		}
	}
	return least
}

// report sends a target's load to the daemons that read it, late.
func (tri *trial) report(eng *Engine) {
	pool := eng.pool
	if pool.hooks.Report == nil || tri.scenario.reportsMissing(tri.agenda.now) {
		return
	}
	lag := tri.scenario.ReportLag
	report := yuccapool.LoadReport{Target: eng.Name, Age: lag, Waiting: len(eng.queue), Running: len(eng.running)}
	for _, one := range eng.queue {
		report.Queued += one.req.Prompt
	}
	tri.count(&report, pool.hooks.Readers)
	tri.agenda.after(lag, func() { pool.hooks.Report(report) })
}

// cacheEvent sends an event late, or loses it, which the next one tells.
func (tri *trial) cacheEvent(pool *Pool, event yuccapool.CacheEvent) {
	if tri.rng.Float64() < tri.scenario.CacheLoss {
		tri.gaps[event.Target] = true
		return
	}
	event.EventsLost = tri.gaps[event.Target]
	delete(tri.gaps, event.Target)
	tri.count(&event, pool.hooks.Readers)
	tri.agenda.after(cacheLag, func() { pool.hooks.Cache(event) })
}

// count adds a control message as it would go over the wire.
func (tri *trial) count(message any, copies int) {
	raw, err := msgpack.Marshal(message)
	if err != nil {
		panic(err) // a message type that can't be encoded is a fault of this package
	}
	tri.result.Messages += copies
	tri.result.Bytes += yuccaid.Bytes(copies * len(raw))
}
