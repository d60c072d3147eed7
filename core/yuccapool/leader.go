package yuccapool

import (
	"math/rand/v2"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// Option changes a leader at its construction.
type Option func(*Leader)

// WithQueue passes options to the leader's queue.
func WithQueue(options ...yuccaqueue.Option) Option {
	return func(lead *Leader) { lead.queue = yuccaqueue.New(options...) }
}

// WithFleet passes options to the leader's fleet.
func WithFleet(options ...yuccaplace.Option) Option {
	return func(lead *Leader) { lead.fleet = yuccaplace.New(options...) }
}

// run is a grant that hasn't been given back.
type run struct {
	yuccaplace.Run
	ask      Ask
	used     bool
	lost     bool
	deadline time.Time
}

// Leader decides for one pool in one data centre.
//
// It isn't safe for concurrent use: the daemon's control goroutine owns it.
type Leader struct {
	pool     yuccaid.Pool
	self     yuccaid.Incarnation
	rng      *rand.Rand
	view     PoolConfig
	until    time.Time
	preempts bool
	fleet    *yuccaplace.Placer
	queue    *yuccaqueue.Queue
	reaches  []*yuccaplace.TargetSet
	accounts map[yuccaid.Account]*account
	runs     map[yuccaid.RequestID]*run
	swept    time.Time
	// onRequeue hears of grants that were taken back before they were sent.
	onRequeue func(yuccaid.Target)
}

// New returns a leader without targets; Configure gives it some.
func New(pool yuccaid.Pool, leader yuccaid.Incarnation, rng *rand.Rand, options ...Option) *Leader {
	lead := &Leader{
		pool:     pool,
		self:     leader,
		rng:      rng,
		preempts: true,
		fleet:    yuccaplace.New(),
		queue:    yuccaqueue.New(),
		accounts: map[yuccaid.Account]*account{},
		runs:     map[yuccaid.RequestID]*run{},

		onRequeue: func(yuccaid.Target) {},
	}
	for _, option := range options {
		option(lead)
	}
	lead.reaches = []*yuccaplace.TargetSet{lead.fleet.NewTargetSet(nil)}
	return lead
}

// HoldGrantsUntil holds all grants back until the given time, while the daemons tell the
// new leader what they have waiting and running.
//
// A leader that grants before it knows what runs would fill every target a second
// time, and the urgent requests would wait behind the surplus in the engines.
func (lead *Leader) HoldGrantsUntil(_, until time.Time) {
	lead.until = until
}

func (lead *Leader) gathering(now time.Time) bool {
	return now.Before(lead.until)
}

// AddRunning counts a run that an owner reports while the leader gathers.
func (lead *Leader) AddRunning(now time.Time, running Running) {
	node, found := lead.fleet.TargetState(running.Target)
	if _, known := lead.runs[running.Request.ID]; known || !found {
		return
	}
	if item, waits := lead.queue.Get(running.Request.ID); waits {
		lead.queue.Remove(item)
	}
	one := lead.start(now, running.Request, yuccaplace.Choice{TargetState: node}, now.Add(running.Request.Remaining))
	one.used = true
	if running.Answered > 0 {
		lead.fleet.FinishPrefill(now, &one.Run)
		one.Answered = running.Answered
	}
}

// RunProgressed notes how far a run has come.
func (lead *Leader) RunProgressed(now time.Time, progress Progress) Decisions {
	var dec Decisions
	one, found := lead.runs[progress.ID]
	if !found {
		return dec
	}
	one.used = true
	one.Answered = max(one.Answered, progress.Answered)
	if (progress.FirstToken || progress.Answered > 0) && one.Prefilling() {
		lead.fleet.FinishPrefill(now, &one.Run)
		lead.wakeNode(one.Target())
		lead.serve(now, &dec)
	}
	return dec
}

// RunFinished frees what a grant held and learns from how the run went.
func (lead *Leader) RunFinished(now time.Time, done Finished) Decisions {
	var dec Decisions
	if done.Leaving {
		lead.fleet.SetLeaving(now, done.Target, true, 0)
		lead.refresh()
	}
	if done.Failed || done.Refused {
		lead.fleet.RecordFailure(now, done.Target)
	}
	one, found := lead.runs[done.ID]
	if !found {
		return dec
	}
	lead.end(now, one)
	if done.Ran {
		lead.fleet.LearnFromRun(now, &one.Run, yuccaplace.RunMeasurement{
			Prompt: done.Prompt, Cached: done.Cached, Answer: done.Answer,
			Prefill: done.Prefill, Decode: done.Decode, Complete: !done.Partial,
		})
	} else {
		lead.account(one.ask.Account).giveBack(&one.ask)
	}
	lead.serve(now, &dec)
	return dec
}

// DropOwner drops what a lost daemon had waiting. What it had running still occupies
// its target until the target's report or the longest run says otherwise: the engine
// doesn't know that nobody waits for the answer.
func (lead *Leader) DropOwner(now time.Time, inc yuccaid.Incarnation) Decisions {
	var dec Decisions
	var gone []*yuccaqueue.Item
	lead.queue.ForEach(func(item *yuccaqueue.Item) {
		if item.Request.Owner == inc {
			gone = append(gone, item)
		}
	})
	for _, item := range gone {
		lead.queue.Remove(item)
	}
	for _, one := range lead.runs {
		if one.ask.Owner == inc {
			one.lost = true
			one.Cancellable = false
		}
	}
	lead.serve(now, &dec)
	return dec
}

// ApplyReport takes a target's own word on its load.
func (lead *Leader) ApplyReport(now time.Time, report LoadReport) Decisions {
	var dec Decisions
	lead.fleet.SetLeaving(now, report.Target, report.Leaving, report.Age)
	lead.release(now, &report)
	lead.fleet.ApplyLoadReport(now, report.Target, yuccaplace.LoadReport{
		Age: report.Age, Waiting: report.Waiting, Running: report.Running,
	})
	lead.wakeNode(report.Target)
	lead.serve(now, &dec)
	return dec
}

// release ends runs of lost owners that the target's report no longer shows. Only
// runs that began before the report was made are compared with it.
func (lead *Leader) release(now time.Time, report *LoadReport) {
	made := now.Add(-report.Age)
	var lost []*run
	counted := 0
	for _, one := range lead.runs {
		if one.Target() != report.Target || one.StartedAt.After(made) {
			continue
		}
		counted++
		if one.lost {
			lost = append(lost, one)
		}
	}
	surplus := counted - report.Running - report.Waiting
	for _, one := range lost[:max(0, min(surplus, len(lost)))] {
		lead.end(now, one)
	}
}

// ApplyCacheEvent takes a target's word on its prefix cache.
func (lead *Leader) ApplyCacheEvent(_ time.Time, event CacheEvent) {
	lead.fleet.ApplyCacheEvent(event.Target, event.Stored, event.Evicted, event.EventsLost)
}

// Tick decides what the passing of time has changed. Call it at least every 100
// milliseconds, or when Next says so.
func (lead *Leader) Tick(now time.Time) Decisions {
	var dec Decisions
	lead.fleet.Tick(now)
	lead.refresh()
	lead.sweep(now)
	lead.queue.Unpark(func(yuccaqueue.TargetSet) bool { return true })
	lead.serve(now, &dec)
	return dec
}

// NextCheck returns when a waiting request has to be looked at again.
func (lead *Leader) NextCheck(now time.Time) (time.Time, bool) {
	due, found := lead.queue.NextCheck()
	if found && lead.gathering(now) && due.Before(lead.until) {
		return lead.until, true
	}
	return due, found
}

// sweep ends runs that have outlived the longest run, such as those of lost owners on
// targets that report nothing.
func (lead *Leader) sweep(now time.Time) {
	if now.Sub(lead.swept) < sweepPause {
		return
	}
	lead.swept = now
	longest := lead.view.LongestRun
	if longest <= 0 {
		longest = defaultLongest
	}
	for _, one := range lead.runs {
		if now.Sub(one.StartedAt) > longest+grantLife {
			lead.end(now, one)
		}
	}
}

func (lead *Leader) start(now time.Time, ask Ask, choice yuccaplace.Choice, deadline time.Time) *run {
	one := &run{ask: ask, deadline: deadline}
	one.Run = yuccaplace.Run{
		ID:          ask.ID,
		Operation:   ask.Operation,
		Rank:        ask.Rank,
		Cancellable: ask.Idempotent && !lead.view.PlainService,
		Prompt:      ask.Prompt,
		Cached:      choice.Cached,
		Answer:      ask.Answer,
	}
	shape := lead.shape(&ask, deadline)
	one.AnswerP90, one.Deadline = shape.AnswerP90, deadline
	_, one.LongPrompt = lead.fleet.EstimateWork(lead.reach(ask.Account), &shape)
	lead.runs[ask.ID] = one
	lead.fleet.StartRun(now, choice.TargetState, &one.Run, ask.Prefixes)
	acc := lead.account(ask.Account)
	acc.running++
	lead.queue.SetBlocked(ask.Account, acc.full())
	return one
}

func (lead *Leader) end(now time.Time, one *run) {
	delete(lead.runs, one.ask.ID)
	lead.fleet.ReleaseRun(now, &one.Run)
	acc := lead.account(one.ask.Account)
	acc.running--
	lead.queue.SetBlocked(one.ask.Account, acc.full())
	lead.wakeNode(one.Target())
}

func (lead *Leader) wakeNode(name yuccaid.Target) {
	node, found := lead.fleet.TargetState(name)
	if !found {
		return
	}
	lead.queue.Unpark(func(at yuccaqueue.TargetSet) bool { return lead.reaches[at].Has(node) })
}

func (lead *Leader) refresh() {
	for _, reach := range lead.reaches {
		reach.Refresh()
	}
}

func (lead *Leader) reach(name yuccaid.Account) *yuccaplace.TargetSet {
	return lead.reaches[lead.account(name).reach]
}

// account returns a client account, also one that the configuration doesn't know: its
// owner may have a newer configuration, and refuses what isn't allowed by itself.
func (lead *Leader) account(name yuccaid.Account) *account {
	acc, found := lead.accounts[name]
	if !found {
		acc = &account{}
		lead.accounts[name] = acc
	}
	return acc
}
