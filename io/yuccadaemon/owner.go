package yuccadaemon

import (
	"context"
	"errors"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/io/yuccawire"
)

const (
	// heldLimit bounds the prompts of open requests: a quarter of the 256 MB that a
	// daemon may use, as are the kept answers; the rest is for streams and control.
	heldLimit = yuccaid.Bytes(64 << 20)
	// fullBack is about how long a request holds its prompt.
	fullBack = 5 * time.Second
	// abandonAfter is how long an answer without readers goes on: a caller whose
	// connection broke has the time to come back, and a caller who left for good
	// doesn't hold an engine for a whole answer.
	abandonAfter = 5 * time.Second
)

// run is one request that this daemon owns and has not closed.
type run struct {
	id       yuccaid.RequestID
	request  Request
	claim    yuccaonce.Submission
	ask      yuccaqueue.Request
	answer   *Answer
	accepted time.Time
	deadline time.Time

	leader  yuccaid.Incarnation
	away    *away
	tried   []yuccaid.Centre
	refusal yuccapool.Refusal
	target  yuccaid.Target
	// running says that a grant is in use, and sent that the dispatch is recorded.
	running   bool
	sent      bool
	connects  int
	preempted yuccaonce.Reason
	back      time.Duration
	stop      context.CancelFunc
	abandoned time.Time
	answered  yuccaid.Tokens
}

// remaining is the time to the deadline, which is all that other daemons are told.
func (r *run) remaining(now time.Time) time.Duration {
	return r.deadline.Sub(now)
}

// Open draws an id for an account; it has no other effect.
func (d *Daemon) Open(acc yuccaid.Account) (yuccaid.RequestID, error) {
	if prob := d.refuses(); prob != nil {
		return "", prob
	}
	var id yuccaid.RequestID
	var err error
	if !d.control.Call(func(now time.Time) { id, err = d.owner.Open(now, acc) }) {
		return "", notRun(KindLeaving, "")
	}
	if err != nil {
		return "", &Problem{Kind: KindBusy, Detail: err.Error(), Run: yuccaonce.NotRun, Back: time.Second}
	}
	return id, nil
}

// submitOwn takes a request that this daemon opened.
func (d *Daemon) submitOwn(id yuccaid.RequestID, acc yuccaid.Account, req Request) (*Answer, error) {
	state := d.State()
	if prob := req.check(state, acc); prob != nil {
		return nil, d.wrong(id, acc, prob)
	}
	claim := req.claim(state, acc)
	ask := req.ask(state, claim)
	var answer *Answer
	var err error
	called := d.control.Call(func(now time.Time) { answer, err = d.admit(now, id, req, claim, ask) })
	if !called {
		return nil, &Problem{Kind: KindUnknownState, Run: yuccaonce.Unknown}
	}
	return answer, err
}

// wrong says of a refused submit what became of its id, which an earlier submit may
// have run: its caller would otherwise open a new request and run it twice. An id that
// was never submitted is closed with it.
func (d *Daemon) wrong(id yuccaid.RequestID, acc yuccaid.Account, prob *Problem) *Problem {
	prob.Run = yuccaonce.Unknown
	d.control.Call(func(now time.Time) {
		if outcome, err := d.owner.Outcome(now, id, acc); err == nil {
			prob.Run = outcome.Run
		}
	})
	return prob
}

// makeRoom keeps what this daemon holds within its bounds, and refuses a request for
// which there is no room.
//
// Prompts stay here until their answer is whole, so a burst of rulebooks would
// otherwise end the process, and with it every request it owns as unknown. The rule
// of tiers holds for this bound as well: a waiting request of a lower tier, the newest
// of the lowest one, gives way before one of a higher tier is refused.
func (d *Daemon) makeRoom(now time.Time, req Request, rank int) *Problem {
	for d.full(req) {
		victim := d.lowest(rank)
		if victim == nil {
			return &Problem{Kind: KindBusy, Detail: "this daemon holds as many requests as it may", Run: yuccaonce.NotRun, Back: fullBack}
		}
		d.withdraw(now, victim)
		d.giveUp(now, victim, yuccaonce.ReasonDisplaced, fullBack)
	}
	return nil
}

func (d *Daemon) full(req Request) bool {
	return len(d.runs) >= d.settings.Limits.Requests || d.held+req.size() > heldLimit
}

// lowest returns the newest waiting request of the lowest tier below a rank.
func (d *Daemon) lowest(rank int) *run {
	var victim *run
	for _, r := range d.runs {
		if r.running || r.ask.Rank <= rank {
			continue
		}
		if victim == nil || r.ask.Rank > victim.ask.Rank || r.ask.Rank == victim.ask.Rank && r.accepted.After(victim.accepted) {
			victim = r
		}
	}
	return victim
}

// admit joins a second submit to the first, or starts the request.
func (d *Daemon) admit(now time.Time, id yuccaid.RequestID, req Request, claim yuccaonce.Submission, ask yuccaqueue.Request) (*Answer, error) {
	step, err := d.owner.Submit(now, id, claim)
	if err != nil {
		return nil, problemOf(err)
	}
	if step.Action == yuccaonce.SubmitJoin {
		return d.joined(now, id)
	}
	if step.Action == yuccaonce.SubmitClosed {
		return d.closedAnswer(now, id, step.Outcome)
	}
	if prob := d.makeRoom(now, req, ask.Rank); prob != nil {
		d.owner.CloseNotRun(now, id, yuccaonce.ReasonOverload, fullBack)
		return nil, prob
	}
	r := &run{id: id, request: req, claim: claim, ask: ask, accepted: now, deadline: now.Add(req.deadline())}
	r.ask.ID = id
	r.ask.Owner = d.self.Incarnation
	r.ask.Centre = d.self.Centre
	r.answer = newAnswer(id)
	d.runs[id] = r
	d.held += req.size()
	d.metrics.accepted(claim.Tier)
	d.log.request(r, "accepted")
	d.offer(now, r)
	return r.answer, nil
}

func (d *Daemon) joined(now time.Time, id yuccaid.RequestID) (*Answer, error) {
	if r, open := d.runs[id]; open {
		r.abandoned = time.Time{}
		return r.answer, nil
	}
	return d.closedAnswer(now, id, yuccaonce.Outcome{Run: yuccaonce.Unknown})
}

// closedAnswer returns the kept answer, or one that holds only the outcome.
func (d *Daemon) closedAnswer(now time.Time, id yuccaid.RequestID, outcome yuccaonce.Outcome) (*Answer, error) {
	if kept, found := d.kept.Get(now, id); found {
		return kept, nil
	}
	if outcome.Run == yuccaonce.Ran {
		return nil, &Problem{Kind: KindAnswerGone, Run: yuccaonce.Ran}
	}
	answer := newAnswer(id)
	answer.end(outcome)
	return answer, nil
}

// offer brings a waiting request to its pool's leader, or notes that there is none.
func (d *Daemon) offer(now time.Time, r *run) {
	if len(d.targetsOf(d.State(), r.claim.Pool)) == 0 {
		d.onRefusal(now, yuccapool.Refusal{ID: r.id, Reason: yuccaqueue.ReasonNoTarget, RetryAfter: fullBack})
		return
	}
	leader, found := d.peers.Leader(r.claim.Pool)
	if !found {
		r.leader = yuccaid.Incarnation{}
		return
	}
	r.ask.Remaining = r.remaining(now)
	if leader.Incarnation == d.self.Incarnation {
		r.leader = leader.Incarnation
		d.onOffer(now, d.self.Incarnation, r.ask)
		return
	}
	if err := d.send(leader.Incarnation, yuccawire.KindOffer, d.wireOffer(r.ask)); err != nil {
		r.leader = yuccaid.Incarnation{}
		return
	}
	r.leader = leader.Incarnation
}

// close gives the readers the outcome in the step that decided it.
func (d *Daemon) close(now time.Time, r *run, outcome yuccaonce.Outcome) {
	delete(d.runs, r.id)
	d.held -= r.request.size()
	if r.away != nil {
		r.away.finish()
	}
	r.answer.end(outcome)
	d.keep(now, r.answer)
	d.metrics.closed(r, outcome, now)
	d.log.outcome(r, outcome)
}

// giveUp refuses a waiting request; it changes nothing once a byte may have left.
func (d *Daemon) giveUp(now time.Time, r *run, reason yuccaonce.Reason, back time.Duration) {
	outcome, closed := d.owner.CloseNotRun(now, r.id, reason, back)
	if !closed {
		return
	}
	d.metrics.refused(r.claim.Tier, reason)
	d.close(now, r, outcome)
}

// giveBack tells the leader that a grant was not used, so that the target's room is
// free again without waiting for the grant's expiry.
func (d *Daemon) giveBack(now time.Time, pool yuccaid.Pool, grant yuccapool.Grant) {
	unused := yuccapool.Finished{ID: grant.ID, Target: grant.Target}
	if grant.Leader == d.self.Incarnation {
		d.onFinished(now, pool, unused)
		return
	}
	message := d.wireFinished(pool, unused)
	if r, open := d.runs[grant.ID]; open && r.away != nil && !r.running {
		_ = r.away.send(yuccawire.KindFinished, message)
		return
	}
	_ = d.send(grant.Leader, yuccawire.KindFinished, message)
}

// tickOwner looks after every open request: its deadline, leader and readers.
func (d *Daemon) tickOwner(now time.Time) {
	for _, r := range d.runs {
		if r.running {
			d.tickRunning(now, r)
			continue
		}
		d.tickWaiting(now, r)
	}
	d.owner.Tick(now)
	d.kept.Tick(now)
}

func (d *Daemon) tickWaiting(now time.Time, r *run) {
	if !now.Before(r.deadline) {
		d.withdraw(now, r)
		d.giveUp(now, r, yuccaonce.ReasonDeadline, time.Second)
		return
	}
	if d.leftAlone(now, r) {
		d.withdraw(now, r)
		d.giveUp(now, r, yuccaonce.ReasonCancelled, 0)
		return
	}
	if r.away != nil {
		return
	}
	leader, found := d.peers.Leader(r.claim.Pool)
	if !found || leader.Incarnation != r.leader || r.leader.IsZero() {
		d.offer(now, r)
	}
}

func (d *Daemon) tickRunning(now time.Time, r *run) {
	if !d.leftAlone(now, r) || !r.claim.Idempotent {
		return
	}
	r.preempted = yuccaonce.ReasonCancelled
	r.stop()
}

// leftAlone reports whether the caller has been gone for too long.
func (d *Daemon) leftAlone(now time.Time, r *run) bool {
	if !r.answer.abandoned() {
		r.abandoned = time.Time{}
		return false
	}
	if r.abandoned.IsZero() {
		r.abandoned = now
	}
	return now.Sub(r.abandoned) > abandonAfter
}

func (d *Daemon) withdraw(now time.Time, r *run) {
	if r.leads(d) {
		d.onWithdraw(now, r.claim.Pool, r.id)
		return
	}
	d.tellLeader(r, yuccawire.KindWithdraw, yuccawire.Withdrawal{Pool: r.claim.Pool, Ref: d.ref(r.id)})
}

// onRefusal gives a waiting request its final answer at once.
func (d *Daemon) onRefusal(now time.Time, refusal yuccapool.Refusal) {
	r, open := d.runs[refusal.ID]
	if !open || r.running || d.shift(now, r, refusal) {
		return
	}
	d.giveUp(now, r, yuccaonce.Reason(refusal.Reason), refusal.RetryAfter)
}

// onCancel ends a running generation that gives way to more urgent work.
func (d *Daemon) onCancel(_ time.Time, cancel yuccapool.Cancel) {
	r, open := d.runs[cancel.ID]
	if !open || !r.running || !r.claim.Idempotent {
		return
	}
	r.preempted = yuccaonce.Reason(cancel.Reason)
	r.back = cancel.RetryAfter
	r.stop()
}

// abort ends a request because its caller says so.
func (d *Daemon) abort(now time.Time, id yuccaid.RequestID, acc yuccaid.Account) (yuccaonce.Outcome, error) {
	outcome, err := d.owner.Outcome(now, id, acc)
	if err != nil {
		return outcome, problemOf(err)
	}
	r, open := d.runs[id]
	if !open {
		return outcome, nil
	}
	if !r.running {
		d.withdraw(now, r)
		d.giveUp(now, r, yuccaonce.ReasonCancelled, 0)
		return d.owner.Outcome(now, id, acc)
	}
	if r.claim.Idempotent {
		r.preempted = yuccaonce.ReasonCancelled
		r.stop()
	}
	return outcome, nil
}

// problemOf maps the owner's refusals to what callers are told.
func problemOf(err error) *Problem {
	var foreign *yuccaonce.WrongOwnerError
	var conflict *yuccaonce.ConflictError
	var expired *yuccaonce.ExpiredError
	switch {
	case errors.As(err, &conflict):
		return &Problem{Kind: KindConflict, Run: yuccaonce.Unknown}
	case errors.As(err, &expired):
		return &Problem{Kind: KindExpired, Run: yuccaonce.Unknown}
	case errors.As(err, &foreign):
		return &Problem{Kind: KindOwnerLost, Run: yuccaonce.Unknown}
	}
	return &Problem{Kind: KindUnknownID, Run: yuccaonce.Unknown}
}
