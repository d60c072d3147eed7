package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// placement is one request's wait for a target and its run there. Apart from the channel
// decided, it belongs to the control goroutine.
type placement struct {
	// req is the request. Of its fields, the control goroutine may read only those that no
	// longer change.
	req          *request
	pool         yuccaid.Pool
	grantRequest yuccagrant.Request
	// decided receives the one decision on the placement.
	decided chan decision

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
	// withoutLeader reports whether this daemon decided although another one leads the pool.
	withoutLeader bool
	refusal       *yuccagrant.Refusal
	problem       *Problem
	inputs        decisionInputs
}

// decisionInputs is what a decision on a request was made from, for the log.
type decisionInputs struct {
	leader yuccaid.VM
	expect time.Duration
	busy   int
	// platformRevision is the revision up to which the platform had been read, and platformAge
	// how long ago the platform had last responded.
	platformRevision yuccaroster.Revision
	platformAge      time.Duration
}

// acquire waits for a target. If the context ends meanwhile, the request is withdrawn.
func (gate *Gate) acquire(ctx context.Context, req *request) (*placement, decision, error) {
	plc := &placement{req: req, pool: req.pool, grantRequest: req.grantRequest(), decided: make(chan decision, 1)}
	plc.grantRequest.ID = yuccagrant.ID{Owner: gate.incarnation, Number: gate.lastPlacement.Add(1)}
	gate.control.Post(func(now time.Time) { gate.enter(now, req, plc) })
	select {
	case dec := <-plc.decided:
		return plc, dec, nil
	case <-ctx.Done():
		gate.control.Post(func(now time.Time) { gate.abandon(now, plc) })
		return plc, decision{}, context.Cause(ctx)
	}
}

// enter charges a request to its account's quota the first time, and requests a target.
func (gate *Gate) enter(now time.Time, req *request, plc *placement) {
	if !req.quotaChecked {
		req.quotaChecked = true
		if prob := gate.chargeQuota(now, req); prob != nil {
			plc.decided <- decision{problem: prob}
			return
		}
		req.charged = true
		plc.grantRequest.OverQuota = req.overQuota
		gate.resendBudget.CountRequest(now, req.pool)
	}
	gate.placements[plc.grantRequest.ID.Number] = plc
	gate.submit(now, gate.scheduler(now, plc.pool), plc)
}

// abandon withdraws a placement whose request's context ended before it was sent.
func (gate *Gate) abandon(now time.Time, plc *placement) {
	if gate.placements[plc.grantRequest.ID.Number] != plc {
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
		gate.apply(now, sched, sched.local.RunStarted(now, plc.grantRequest.ID, took, load))
		gate.sendStarted(sched, plc, took, load)
	})
}

// finished frees the target's slot and reports how the run went.
func (gate *Gate) finished(plc *placement, result yuccagrant.Finished) {
	gate.control.Post(func(now time.Time) { gate.finish(now, plc, result) })
}

func (gate *Gate) finish(now time.Time, plc *placement, result yuccagrant.Finished) {
	delete(gate.placements, plc.grantRequest.ID.Number)
	result.ID = plc.grantRequest.ID
	gate.reportFinished(now, gate.scheduler(now, plc.pool), result)
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
func (gate *Gate) allowResend(req *request) bool {
	return req.arrivals == 0 || gate.chargeResend(req.pool)
}
