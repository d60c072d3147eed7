package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// placement is one request's wait for a target and its run there. Apart from the channel
// decision, it belongs to the control goroutine.
type placement struct {
	// req is the caller's request. Of its fields, the control goroutine may read only those
	// that no longer change.
	req  *callerRequest
	pool yuccaid.Pool
	// request is the description of req that schedulers decide on.
	request yuccagrant.Request
	// decision receives the one decision on the placement.
	decision chan decision

	// submittedAt is when the request was last sent to the pool's leader, and waitingAt when
	// the leader last responded that it waits, zero if it hasn't. If decidedHere is set, this
	// daemon decides instead.
	submittedAt time.Time
	waitingAt   time.Time
	decidedHere bool

	running bool
	started bool
	target  yuccaid.Target
	sentAt  time.Time
}

// decision is the decision on a waiting request: a target, a refusal or a problem.
type decision struct {
	target  yuccaid.Target
	address string
	// decidedHere reports whether this daemon decided although another one leads the pool.
	decidedHere    bool
	refusal        *yuccagrant.Refusal
	problem        *Problem
	decisionInputs decisionInputs
}

// decisionInputs is what a decision on a request was made from, for the log.
type decisionInputs struct {
	leader yuccaid.VM
	// expect is the predicted time from sending to the first event, and busy the number of runs
	// that the target had before.
	expect time.Duration
	busy   int
	// revision is the revision up to which the platform had been read, and age how long ago the
	// platform had last responded.
	revision yuccaroster.Revision
	age      time.Duration
}

// acquire waits for a target. If the context ends meanwhile, the request is withdrawn.
func (gate *Gate) acquire(ctx context.Context, req *callerRequest) (*placement, decision, error) {
	plc := &placement{req: req, pool: req.pool, request: req.request(), decision: make(chan decision, 1)}
	plc.request.ID = yuccagrant.ID{Owner: gate.incarnation, Number: gate.lastPlacement.Add(1)}
	gate.control.Post(func(now time.Time) { gate.enter(now, req, plc) })
	select {
	case dec := <-plc.decision:
		return plc, dec, nil
	case <-ctx.Done():
		gate.control.Post(func(now time.Time) { gate.abandon(now, plc) })
		return plc, decision{}, context.Cause(ctx)
	}
}

// enter charges a request to its account's quota the first time, and requests a target.
func (gate *Gate) enter(now time.Time, req *callerRequest, plc *placement) {
	if !req.quotaChecked {
		req.quotaChecked = true
		if prob := gate.chargeQuota(now, req); prob != nil {
			plc.decision <- decision{problem: prob}
			return
		}
		req.charged = true
		plc.request.OverQuota = req.overQuota
		gate.resendBudget.CountRequest(now, req.pool)
	}
	gate.placements[plc.request.ID.Number] = plc
	gate.request(now, gate.scheduler(now, plc.pool), plc)
}

// abandon withdraws a placement whose request's context ended before it was sent.
func (gate *Gate) abandon(now time.Time, plc *placement) {
	if gate.placements[plc.request.ID.Number] != plc {
		return
	}
	sched := gate.scheduler(now, plc.pool)
	if !plc.running {
		gate.withdraw(now, sched, plc)
	}
	gate.finish(now, plc, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
}

// started reports a run's first event to the scheduler and the leader. The duration took is the
// time from sending to that event.
func (gate *Gate) started(plc *placement, took time.Duration, load yuccagrant.ReportedLoad) {
	gate.control.Post(func(now time.Time) {
		plc.started = true
		sched := gate.scheduler(now, plc.pool)
		gate.apply(now, sched, sched.local.RunStarted(now, plc.request.ID, took, load))
		gate.sendStarted(sched, plc, took, load)
	})
}

// finished frees the target's slot and reports how the run went.
func (gate *Gate) finished(plc *placement, finish yuccagrant.Finished) {
	gate.control.Post(func(now time.Time) { gate.finish(now, plc, finish) })
}

func (gate *Gate) finish(now time.Time, plc *placement, finish yuccagrant.Finished) {
	delete(gate.placements, plc.request.ID.Number)
	finish.ID = plc.request.ID
	gate.reportFinished(now, gate.scheduler(now, plc.pool), finish)
}

// chargeResend counts a resend of a request that has reached a target, and reports whether the
// budget allows it.
func (gate *Gate) chargeResend(pool yuccaid.Pool) bool {
	allowed := false
	gate.control.Call(func(now time.Time) {
		_, daemons := gate.countDaemons(now)
		allowed = gate.resendBudget.AllowResend(now, pool, daemons)
	})
	gate.metrics.resendDecided(allowed)
	return allowed
}

// allowResend reports whether the budget allows to send the request to another target, and
// counts the resend. A request that has reached no target yet is not counted.
func (gate *Gate) allowResend(req *callerRequest) bool {
	return req.arrivals == 0 || gate.chargeResend(req.pool)
}
