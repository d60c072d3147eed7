package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
)

// placement is one request's wait for a target and its run there. Apart from the channel
// decision, it belongs to the control goroutine.
type placement struct {
	// req is the caller's request. Of its fields, the control goroutine may read only those that no
	// longer change and those that belong to the control goroutine.
	req  *callerRequest
	pool yuccaid.Pool
	// request holds what schedulers need to know of req to decide on it.
	request yuccagrant.Request
	// replaces reports whether the placement is for a target that is to replace one which still has the
	// request. It isn't granted a target that already has the request.
	replaces bool
	// decision receives the one decision on the placement.
	decision chan decision

	// submittedAt is when the request was last submitted. waitConfirmedAt is when the pool's leader
	// last responded that the request waits, zero if the leader hasn't since the request was
	// submitted. If decidedLocally is set, this daemon decides on the request, not the leader.
	submittedAt     time.Time
	waitConfirmedAt time.Time
	decidedLocally  bool

	// unknownTargets are targets that were granted and that this daemon didn't know. They count as failed
	// until it does.
	unknownTargets []yuccaid.Target

	// running reports whether the request has been granted the target, and started whether the
	// run's first event has arrived. sentAt is when the grant was accepted.
	running bool
	started bool
	target  yuccaid.Target
	sentAt  time.Time
}

// decision is the decision on a waiting request: a target, a refusal or a problem.
type decision struct {
	target  yuccaid.Target
	address string
	// version is what decides whether another target can continue a stream of this one (see
	// yuccaroster.Entry.StreamVersion).
	version yuccaid.Version
	// startMillis is when the target's process started, as it has registered, zero if it hasn't said so.
	startMillis int64
	// fetchAddress is the address of the target from which the target fetches parts of the prompt,
	// empty if it fetches none.
	fetchAddress string
	// withoutLeader reports whether this daemon decided although it doesn't lead the pool, because
	// the leader was suspected or none was known.
	withoutLeader  bool
	refusal        *yuccagrant.Refusal
	problem        *Problem
	decisionInputs decisionInputs
}

// decisionInputs is what a decision on a request was made from, for the log.
type decisionInputs struct {
	leader yuccaid.VM
	// expectedFirst is the predicted time from sending to the first event, busy the number of runs that
	// the target had before this request, held how many tokens of the prompt the target is assumed to
	// hold, and fetchFrom the target from which it fetches more.
	expectedFirst time.Duration
	busy          int
	held          yuccaid.Tokens
	fetchFrom     yuccaid.Target
	// platformRevision is the revision up to which the platform had been read, and platformAge
	// how long ago the platform had last responded, or -1 if it never had.
	platformRevision yuccaroster.Revision
	platformAge      time.Duration
	// regions are the regions in which the request may be served, and excluded counts the targets that it may
	// not use, by reason; both are set for refusals for want of targets only.
	regions  yuccaregion.Set
	excluded string
}

// newPlacement returns a placement of a request. LastEventAt is when the caller got the last event, zero if it got none.
// If replaces is set, the placement is for a target that is to replace one which still has the request.
func (gate *Gate) newPlacement(req *callerRequest, lastEventAt time.Time, replaces bool) *placement {
	plc := &placement{
		req:      req,
		pool:     req.pool,
		request:  req.schedulerRequest(time.Now(), lastEventAt),
		replaces: replaces,
		decision: make(chan decision, 1),
	}
	plc.request.ID = yuccagrant.ID{Owner: gate.incarnation, Number: gate.lastPlacement.Add(1)}
	return plc
}

// postPlacement has the control goroutine submit a placement, whose decision arrives in its channel.
func (gate *Gate) postPlacement(plc *placement) {
	gate.control.Post(func(now time.Time) { gate.place(now, plc.req, plc) })
}

// postAbandon has the control goroutine withdraw a placement whose decision is no longer awaited.
func (gate *Gate) postAbandon(plc *placement) {
	gate.control.Post(func(now time.Time) { gate.abandon(now, plc) })
}

// place submits a request to the scheduler of its pool. Before the first submission, the request
// is charged to its account's quota. If the quota refuses the request, the decision is the problem.
func (gate *Gate) place(now time.Time, req *callerRequest, plc *placement) {
	if !req.quotaChecked {
		req.quotaChecked = true
		gate.admit(now, plc)
		return
	}
	gate.submitPlacement(now, plc)
}

// submitPlacement submits a request to the scheduler of its pool.
func (gate *Gate) submitPlacement(now time.Time, plc *placement) {
	// The configuration may have changed since the placement was made.
	plc.request.Regions = plc.req.allowedRegions()
	if plc.request.Version != "" && !plc.replaces && gate.triedAll(plc) {
		plc.request.FailedTargets = gate.lastTried(plc)
	}
	gate.placements[plc.request.ID.Number] = plc
	gate.submit(now, gate.scheduler(now, plc.pool), plc)
}

// triedAll reports whether a request has been sent to all targets of its version that it may use. The stream of the only
// one may go on there, since it still serves.
func (gate *Gate) triedAll(plc *placement) bool {
	for _, entry := range gate.roster.Usable(plc.pool) {
		if gate.exclusion(&plc.request, entry) == yuccaallow.Allowed {
			return false
		}
	}
	return true
}

// lastTried returns the target to which a request was sent last, if there is another one that it may use.
func (gate *Gate) lastTried(plc *placement) []yuccaid.Target {
	tried := plc.request.FailedTargets
	if len(tried) == 0 {
		return nil
	}
	last := tried[len(tried)-1:]
	for _, entry := range gate.roster.Usable(plc.pool) {
		why := limitsOf(&plc.request).Exclusion(gate.region(entry.Centre), entry.StreamVersion())
		if why == yuccaallow.Allowed && entry.Target != last[0] {
			return last
		}
	}
	return nil
}

// abandon withdraws a placement whose request's context ended before the decision on it was
// received.
func (gate *Gate) abandon(now time.Time, plc *placement) {
	gate.abandonAdmission(plc)
	if gate.placements[plc.request.ID.Number] != plc {
		return
	}
	sched := gate.scheduler(now, plc.pool)
	if !plc.running {
		gate.withdraw(now, sched, plc)
	}
	gate.finishPlacement(now, plc, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
}

// postStarted has the control goroutine report a run's first event to this daemon's scheduler and
// to the pool's leader.
func (gate *Gate) postStarted(plc *placement, timeToFirst time.Duration, load yuccagrant.ReportedLoad) {
	gate.control.Post(func(now time.Time) {
		plc.started = true
		sched := gate.scheduler(now, plc.pool)
		gate.apply(now, sched, sched.local.RunStarted(now, plc.request.ID, timeToFirst, load))
		gate.sendStarted(sched, plc, timeToFirst, load)
	})
}

// postFinished has the control goroutine end a placement.
func (gate *Gate) postFinished(plc *placement, result yuccagrant.Finished) {
	gate.control.Post(func(now time.Time) { gate.finishPlacement(now, plc, result) })
}

// finishPlacement ends a placement: it frees the target's slot and reports how the run went.
func (gate *Gate) finishPlacement(now time.Time, plc *placement, result yuccagrant.Finished) {
	delete(gate.placements, plc.request.ID.Number)
	result.ID = plc.request.ID
	gate.reportFinished(now, gate.scheduler(now, plc.pool), result)
}
