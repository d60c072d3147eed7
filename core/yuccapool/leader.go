package yuccapool

import (
	"math/rand/v2"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
	"yuccacleat/core/yuccaqueue"
)

// Option configures a leader at its construction.
type Option func(*Leader)

// WithQueue passes options to the leader's queue.
func WithQueue(options ...yuccaqueue.Option) Option {
	return func(lead *Leader) { lead.queue = yuccaqueue.New(options...) }
}

// WithFleet passes options to the leader's fleet.
func WithFleet(options ...yuccaplace.Option) Option {
	return func(lead *Leader) { lead.fleet = yuccaplace.New(options...) }
}

// grantedRun is a grant together with the run that the grant allows. The run holds its slot
// from startRun until endRun. dispatched says that the owner has used the grant; orphaned
// says that the owner is lost.
type grantedRun struct {
	yuccaplace.Run
	req        Request
	dispatched bool
	orphaned   bool
	deadline   time.Time
}

// Leader makes the decisions for one pool in one data centre.
//
// It is not safe for concurrent use: only the daemon's control goroutine calls it.
//
// The leader gathers until holdGrantsUntil: it withholds all grants. preempts is false
// only in tests. overdueCheckedAt is the time of the last search for overdue runs.
type Leader struct {
	pool             yuccaid.Pool
	self             yuccaid.Incarnation
	rng              *rand.Rand
	config           PoolConfig
	holdGrantsUntil  time.Time
	preempts         bool
	fleet            *yuccaplace.Placer
	queue            *yuccaqueue.Queue
	targetSets       []*yuccaplace.TargetSet
	accounts         map[yuccaid.Account]*account
	runs             map[yuccaid.RequestID]*grantedRun
	overdueCheckedAt time.Time
	// onRequeue is called with the target of each grant that is removed before it was
	// sent; tests set it.
	onRequeue func(yuccaid.Target)
}

// New returns a leader without targets; Configure sets them.
func New(pool yuccaid.Pool, leader yuccaid.Incarnation, rng *rand.Rand, options ...Option) *Leader {
	lead := &Leader{
		pool:     pool,
		self:     leader,
		rng:      rng,
		preempts: true,
		fleet:    yuccaplace.New(),
		queue:    yuccaqueue.New(),
		accounts: map[yuccaid.Account]*account{},
		runs:     map[yuccaid.RequestID]*grantedRun{},

		onRequeue: func(yuccaid.Target) {},
	}
	for _, option := range options {
		option(lead)
	}
	lead.targetSets = []*yuccaplace.TargetSet{lead.fleet.NewTargetSet(nil)}
	return lead
}

// HoldGrantsUntil makes a new leader withhold all grants until the given time, while
// the daemons report their waiting and running requests to it.
//
// A leader that grants before it knows what runs would fill every target a second time,
// and urgent requests would wait behind the surplus inside the targets.
func (lead *Leader) HoldGrantsUntil(_, holdGrantsUntil time.Time) {
	lead.holdGrantsUntil = holdGrantsUntil
}

// gathering reports whether the leader withholds all grants, as set by HoldGrantsUntil,
// because owners are still reporting what runs.
func (lead *Leader) gathering(now time.Time) bool {
	return now.Before(lead.holdGrantsUntil)
}

// AddRunning adds a run that its owner reports to a new leader. If the run's request is
// waiting in the queue, AddRunning removes it from there. It ignores a run that the leader
// already has, and a run on a target that is not in the configuration.
func (lead *Leader) AddRunning(now time.Time, running Running) {
	node, found := lead.fleet.TargetState(running.Target)
	if _, known := lead.runs[running.Request.ID]; known || !found {
		return
	}
	if item, waiting := lead.queue.Get(running.Request.ID); waiting {
		lead.queue.Remove(item)
	}
	run := lead.startRun(now, running.Request, yuccaplace.Choice{TargetState: node}, now.Add(running.Request.Remaining))
	run.dispatched = true
	if running.Answered > 0 {
		lead.fleet.FinishPrefill(now, &run.Run)
		run.Answered = running.Answered
	}
}

// RunProgressed records how far a run has come. The end of a prefill can make the target
// suitable for waiting requests, so they are tried again then.
func (lead *Leader) RunProgressed(now time.Time, progress Progress) Decisions {
	var dec Decisions
	run, found := lead.runs[progress.ID]
	if !found {
		return dec
	}
	run.dispatched = true
	run.Answered = max(run.Answered, progress.Answered)
	if (progress.FirstToken || progress.Answered > 0) && run.Prefilling() {
		lead.fleet.FinishPrefill(now, &run.Run)
		lead.unparkTarget(run.Target())
		lead.serve(now, &dec)
	}
	return dec
}

// RunFinished frees the slot of a grant. If the request ran, RunFinished updates the
// estimates of speeds and answer lengths with the measurements of the run. Otherwise it
// gives the request's cost back to the account's rate limits.
func (lead *Leader) RunFinished(now time.Time, done Finished) Decisions {
	var dec Decisions
	if done.Leaving {
		lead.fleet.SetLeaving(now, done.Target, true, 0)
		lead.refreshTargetSets()
	}
	if done.Failed || done.Refused {
		lead.fleet.RecordFailure(now, done.Target)
	}
	run, found := lead.runs[done.ID]
	if !found {
		return dec
	}
	lead.endRun(now, run)
	if done.Ran {
		lead.fleet.LearnFromRun(now, &run.Run, yuccaplace.RunMeasurement{
			Prompt: done.Prompt, Cached: done.Cached, Answer: done.Answer,
			Prefill: done.Prefill, Decode: done.Decode, Complete: !done.Partial,
		})
	} else {
		lead.account(run.req.Account).refund(&run.req)
	}
	lead.serve(now, &dec)
	return dec
}

// DropOwner removes the waiting requests of a lost daemon. Its runs keep their slots
// until a report of the target shows that they have finished or LongestRun has passed,
// because a target does not know that the owner no longer waits for the answer. These
// runs can no longer be cancelled, because it is the owner that cancels a run.
func (lead *Leader) DropOwner(now time.Time, owner yuccaid.Incarnation) Decisions {
	var dec Decisions
	var owned []*yuccaqueue.Item
	lead.queue.ForEach(func(item *yuccaqueue.Item) {
		if item.Request.Owner == owner {
			owned = append(owned, item)
		}
	})
	for _, item := range owned {
		lead.queue.Remove(item)
	}
	for _, run := range lead.runs {
		if run.req.Owner == owner {
			run.orphaned = true
			run.Cancellable = false
		}
	}
	lead.serve(now, &dec)
	return dec
}

// ApplyReport applies a target's load report.
func (lead *Leader) ApplyReport(now time.Time, report LoadReport) Decisions {
	var dec Decisions
	lead.fleet.SetLeaving(now, report.Target, report.Leaving, report.Age)
	lead.endOrphanedRuns(now, &report)
	lead.fleet.ApplyLoadReport(now, report.Target, yuccaplace.LoadReport{
		Age: report.Age, Waiting: report.Waiting, Running: report.Running,
	})
	lead.unparkTarget(report.Target)
	lead.serve(now, &dec)
	return dec
}

// endOrphanedRuns ends runs of lost owners when a target's report shows fewer requests
// than the leader counts runs on that target. It ends as many as the report lacks. It counts
// only runs that started before the report was made.
func (lead *Leader) endOrphanedRuns(now time.Time, report *LoadReport) {
	reportedAt := now.Add(-report.Age)
	var orphaned []*grantedRun
	counted := 0
	for _, run := range lead.runs {
		if run.Target() != report.Target || run.StartedAt.After(reportedAt) {
			continue
		}
		counted++
		if run.orphaned {
			orphaned = append(orphaned, run)
		}
	}
	surplus := counted - report.Running - report.Waiting
	for _, run := range orphaned[:max(0, min(surplus, len(orphaned)))] {
		lead.endRun(now, run)
	}
}

// ApplyCacheEvent applies changes of a target's prefix cache.
func (lead *Leader) ApplyCacheEvent(_ time.Time, event CacheEvent) {
	lead.fleet.ApplyCacheEvent(event.Target, event.Stored, event.Evicted, event.EventsLost)
}

// Tick makes the decisions that follow from the passing of time. Call it at least every
// 100 milliseconds, and at the time that NextCheck returns.
func (lead *Leader) Tick(now time.Time) Decisions {
	var dec Decisions
	lead.fleet.Tick(now)
	lead.refreshTargetSets()
	lead.endOverdueRuns(now)
	lead.queue.Unpark(func(yuccaqueue.TargetSet) bool { return true })
	lead.serve(now, &dec)
	return dec
}

// NextCheck returns when a waiting request has to be checked, or false if none waits.
// While the leader gathers, no request is checked before holdGrantsUntil.
func (lead *Leader) NextCheck(now time.Time) (time.Time, bool) {
	check, found := lead.queue.NextCheck()
	if found && lead.gathering(now) && check.Before(lead.holdGrantsUntil) {
		return lead.holdGrantsUntil, true
	}
	return check, found
}

// endOverdueRuns ends runs that have lasted longer than LongestRun allows, such as runs
// of lost owners on targets that report nothing. A run is timed from its grant. Its owner
// may use the grant up to grantTTL later, so grantTTL is added to LongestRun.
func (lead *Leader) endOverdueRuns(now time.Time) {
	if now.Sub(lead.overdueCheckedAt) < overdueInterval {
		return
	}
	lead.overdueCheckedAt = now
	longest := lead.config.LongestRun
	if longest <= 0 {
		longest = defaultLongestRun
	}
	for _, run := range lead.runs {
		if now.Sub(run.StartedAt) > longest+grantTTL {
			lead.endRun(now, run)
		}
	}
}

// startRun records a run on the chosen target and counts it as running for its account.
func (lead *Leader) startRun(now time.Time, req Request, choice yuccaplace.Choice, deadline time.Time) *grantedRun {
	run := &grantedRun{req: req, deadline: deadline}
	run.Run = yuccaplace.Run{
		ID:          req.ID,
		Operation:   req.Operation,
		Rank:        req.Rank,
		Cancellable: req.Idempotent && !lead.config.PlainService,
		Prompt:      req.Prompt,
		Cached:      choice.Cached,
		Answer:      req.Answer,
	}
	shape := lead.shape(&req, deadline)
	run.AnswerP90, run.Deadline = shape.AnswerP90, deadline
	_, run.LongPrompt = lead.fleet.EstimateWork(lead.targetSet(req.Account), &shape)
	lead.runs[req.ID] = run
	lead.fleet.StartRun(now, choice.TargetState, &run.Run, req.Prefixes)
	acc := lead.account(req.Account)
	acc.running++
	lead.queue.SetBlocked(req.Account, acc.atRunningLimit())
	return run
}

// endRun removes a run and frees its slot.
func (lead *Leader) endRun(now time.Time, run *grantedRun) {
	delete(lead.runs, run.req.ID)
	lead.fleet.ReleaseRun(now, &run.Run)
	acc := lead.account(run.req.Account)
	acc.running--
	lead.queue.SetBlocked(run.req.Account, acc.atRunningLimit())
	lead.unparkTarget(run.Target())
}

// unparkTarget lets the queue try all requests again that may use the target.
func (lead *Leader) unparkTarget(name yuccaid.Target) {
	node, found := lead.fleet.TargetState(name)
	if !found {
		return
	}
	lead.queue.Unpark(func(set yuccaqueue.TargetSet) bool { return lead.targetSets[set].Contains(node) })
}

// refreshTargetSets updates the combined rates of all target sets.
func (lead *Leader) refreshTargetSets() {
	for _, targetSet := range lead.targetSets {
		targetSet.Refresh()
	}
}

func (lead *Leader) targetSet(name yuccaid.Account) *yuccaplace.TargetSet {
	return lead.targetSets[lead.account(name).targetSet]
}

// account returns the state of a client account and creates it if needed. It also
// accepts accounts that the configuration does not list: the owner may have a newer
// configuration, and the owner itself refuses accounts that are not allowed.
func (lead *Leader) account(name yuccaid.Account) *account {
	acc, found := lead.accounts[name]
	if !found {
		acc = &account{}
		lead.accounts[name] = acc
	}
	return acc
}
