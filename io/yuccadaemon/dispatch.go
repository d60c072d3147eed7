package yuccadaemon

import (
	"context"
	"errors"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccatarget"
	"yuccacleat/io/yuccawire"
)

const (
	// progressEvery spaces the progress messages of one run; the leader only needs to
	// tell a slow target from a stalled one.
	progressEvery = 4 * time.Second
	// cancelTimeout bounds a cancel; a target that doesn't take it ends the run itself
	// at the latest after its longest run.
	cancelTimeout = 2 * time.Second
)

// offerAgain brings a request back into the queue after a grant that can't be used. One
// that was shifted is refused instead: its leader elsewhere is not asked twice.
func (d *Daemon) offerAgain(now time.Time, r *run) {
	if r.away != nil {
		d.onRefusal(now, r.refusal)
		return
	}
	d.offer(now, r)
}

// maxConnects bounds how often one request is placed anew after a target could not be
// reached; each try takes a dial's time from its deadline.
const maxConnects = 3

// onGrant takes a request to its target unless something has overtaken the grant.
func (d *Daemon) onGrant(now time.Time, pool yuccaid.Pool, grant yuccapool.Grant) {
	r, open := d.runs[grant.ID]
	if open && r.running && r.leader == grant.Leader && r.target == grant.Target {
		// The leader repeats a grant to an owner that offered again after its link broke;
		// giving it back would free the room of the run that is under way.
		return
	}
	if !open || r.running {
		d.giveBack(now, pool, grant)
		return
	}
	target, valid := d.usable(now, r, grant)
	if !valid {
		d.giveBack(now, pool, grant)
		d.offerAgain(now, r)
		return
	}
	body, err := r.request.body(r.ask)
	if err != nil {
		d.giveBack(now, pool, grant)
		d.giveUp(now, r, yuccaonce.ReasonBroken, 0)
		return
	}
	r.running = true
	r.target = grant.Target
	r.leader = grant.Leader
	r.connects++
	ctx, stop := context.WithCancel(d.traffic)
	r.stop = stop
	call := d.callOf(r, target.Address, grant, body)
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		defer stop()
		d.dispatch(ctx, r, call)
	}()
}

func (d *Daemon) callOf(r *run, address string, grant yuccapool.Grant, body []byte) yuccatarget.Call {
	pool := d.State().Pools[r.claim.Pool]
	expires := time.Now().Add(grant.ValidFor)
	return yuccatarget.Call{
		ID:         r.id,
		Target:     grant.Target,
		Address:    address,
		Pool:       r.claim.Pool,
		Operation:  r.claim.Operation,
		Plain:      pool.Kind == yuccastate.PoolService,
		Idempotent: r.claim.Idempotent,
		Body:       body,
		Fence:      grant.ConfigNumber,
		Longest:    pool.LongestRun,
		Ready:      func() error { return d.readyToSend(r, grant, expires) },
	}
}

// errOvertaken says that a grant could no longer be used when the connection stood.
var errOvertaken = errors.New("grant was overtaken before the first byte: wait for another")

// readyToSend is the last step before the first byte, on the connection's goroutine.
// Connecting takes up to seconds, and a frozen process wakes up here long after its
// grant; so everything is checked once more, and the dispatch is recorded in the same
// step of control. From here on the request is never sent again.
func (d *Daemon) readyToSend(r *run, grant yuccapool.Grant, expires time.Time) error {
	err := errOvertaken
	d.control.Call(func(now time.Time) {
		_, valid := d.usable(now, r, grant)
		if _, open := d.runs[r.id]; !open || !valid || !now.Before(expires) {
			return
		}
		if err = d.owner.Dispatch(now, r.id, grant.Target); err == nil {
			r.sent = true
			// The leader tells a slow connection from a slow target by this.
			d.tellProgress(now, r, yuccapool.Progress{ID: r.id})
			d.log.request(r, "dispatching")
		}
	})
	return err
}

// usable checks a grant against what this daemon knows, right before it dispatches.
//
// The leader may have decided under an older configuration or before a target began
// to leave; the owner is the last to look before the first byte.
func (d *Daemon) usable(now time.Time, r *run, grant yuccapool.Grant) (yuccastate.Target, bool) {
	if r.leader.IsZero() && r.away == nil {
		// This process was paused and has offered the request to nobody since. The
		// grant waited in its socket, and the life that it names would start anew.
		return yuccastate.Target{}, false
	}
	state := d.State()
	target, known := state.Targets[grant.Target]
	if !known || d.leaving[grant.Target] || !state.Allowed(r.claim.Account, grant.Target) {
		return target, false
	}
	if grant.ConfigNumber > state.Number {
		// The leader knows of notes that this daemon lacks, so catch up first.
		d.pull(now, yuccapeer.PeerConfig{Peer: grant.Leader, Number: grant.ConfigNumber})
		return target, false
	}
	return target, grant.ValidFor > 0 && now.Before(r.deadline)
}

// dispatch runs on a goroutine of its own: it connects, sends the request once and
// relays the answer.
func (d *Daemon) dispatch(ctx context.Context, r *run, call yuccatarget.Call) {
	relay := relay{daemon: d, run: r}
	end, err := d.targets.Run(ctx, call, relay.piece)
	d.control.Post(func(now time.Time) { d.returnedFrom(now, r, end, err, relay.pieces) })
	_, broken := err.(*yuccatarget.BrokenError)
	_, unsent := err.(*yuccatarget.UnsentError)
	if broken || (ctx.Err() != nil && !unsent) {
		d.cancelAt(call)
	}
}

// returnedFrom closes a request that was sent, and places one anew that was not.
func (d *Daemon) returnedFrom(now time.Time, r *run, end yuccatarget.End, err error, pieces int) {
	if r.sent {
		d.finish(now, r, resultOf(r, end, err, pieces), end)
		return
	}
	d.unsent(now, r, err)
}

// unsent gives back a grant that no byte was sent on. The request has not run, so it
// may be placed again without the risk of running twice.
func (d *Daemon) unsent(now time.Time, r *run, err error) {
	d.tellUnsent(now, r, !errors.Is(err, errOvertaken) && r.preempted == "")
	r.running = false
	r.leader = yuccaid.Incarnation{}
	switch {
	case r.preempted != "":
		d.giveUp(now, r, r.preempted, r.back)
	case r.connects >= maxConnects:
		d.giveUp(now, r, yuccaonce.ReasonUnsent, time.Second)
	default:
		d.offerAgain(now, r)
	}
}

func (d *Daemon) tellUnsent(now time.Time, r *run, failed bool) {
	d.tellEnd(now, r, yuccapool.Finished{ID: r.id, Target: r.target, Failed: failed})
}

// cancelAt ends a run at its target, which would otherwise go on for nobody.
func (d *Daemon) cancelAt(call yuccatarget.Call) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = d.targets.Cancel(ctx, call.Address, call.ID)
}

// relay hands pieces of one answer to its readers and reports progress.
type relay struct {
	daemon *Daemon
	run    *run
	pieces int
	tokens yuccaid.Tokens
	told   time.Time
}

func (rel *relay) piece(piece yuccatarget.Piece) error {
	rel.run.answer.add(piece.Data)
	rel.pieces++
	rel.tokens += yuccaid.Tokens(piece.Tokens)
	now := time.Now()
	first := rel.pieces == 1
	if !first && now.Sub(rel.told) < progressEvery {
		return nil
	}
	rel.told = now
	progress := yuccapool.Progress{ID: rel.run.id, FirstToken: first, Answered: rel.tokens}
	rel.daemon.control.Offer(func(now time.Time) { rel.daemon.progress(now, rel.run, progress) })
	return nil
}

// resultOf turns what is known after a call into what may be said of it.
//
// Only the outer error counts: an answer that was lost may have an unsent resume as
// its cause, and calling that "not run" would have its caller run it a second time.
func resultOf(r *run, end yuccatarget.End, err error, pieces int) yuccaonce.Result {
	switch failed := err.(type) {
	case nil:
		return yuccaonce.Result{Run: yuccaonce.Ran, Pieces: end.Pieces, Hash: end.Hash}
	case *yuccatarget.UnsentError:
		return yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonUnsent, RetryAfter: time.Second}
	case *yuccatarget.RefusedError:
		return yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonRefusedByTarget, RetryAfter: failed.Back}
	case *yuccatarget.LeavingError:
		return yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonTargetLeaving, RetryAfter: time.Second}
	}
	if r.preempted != "" && pieces > 0 {
		return yuccaonce.Result{Run: yuccaonce.Ran, Reason: r.preempted, Pieces: pieces, Partial: true, RetryAfter: r.back}
	}
	switch err.(type) {
	case *yuccatarget.CancelledError:
		return yuccaonce.Result{Run: yuccaonce.Ran, Reason: yuccaonce.ReasonCancelled, Pieces: pieces, Partial: true}
	case *yuccatarget.BrokenError:
		return yuccaonce.Result{Run: yuccaonce.Ran, Reason: yuccaonce.ReasonBroken, Pieces: pieces, Partial: true}
	}
	if r.preempted != "" {
		// Cancelled before the first piece: the target may not even have begun.
		return yuccaonce.Result{Run: yuccaonce.Unknown, Reason: r.preempted, RetryAfter: r.back}
	}
	return yuccaonce.Result{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonTargetLost, Pieces: pieces, Partial: pieces > 0}
}

// finish closes a dispatched request and tells its leader.
func (d *Daemon) finish(now time.Time, r *run, result yuccaonce.Result, end yuccatarget.End) {
	outcome, err := d.owner.Finish(now, r.id, result)
	if err != nil {
		d.log.problem("finish", err)
		outcome = yuccaonce.Outcome{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonBroken}
	}
	if outcome.Partial {
		d.metrics.wasted(outcome.Reason, r.ask.Prompt-end.Cached)
	}
	d.tellFinished(now, r, result, end)
	d.close(now, r, outcome)
}

func (d *Daemon) tellFinished(now time.Time, r *run, result yuccaonce.Result, end yuccatarget.End) {
	finished := yuccapool.Finished{
		ID: r.id, Target: r.target, Ran: result.Run == yuccaonce.Ran && !result.Partial,
		Refused: result.Reason == yuccaonce.ReasonRefusedByTarget,
		Leaving: result.Reason == yuccaonce.ReasonTargetLeaving,
		Partial: result.Partial,
		Failed:  result.Reason == yuccaonce.ReasonTargetLost || result.Reason == yuccaonce.ReasonUnsent,
		Prompt:  end.Prompt, Cached: end.Cached, Answer: end.Answer, Prefill: end.Prefill, Decode: end.Decode,
	}
	d.tellEnd(now, r, finished)
}

func (d *Daemon) tellEnd(now time.Time, r *run, finished yuccapool.Finished) {
	if r.leads(d) {
		d.onFinished(now, r.claim.Pool, finished)
		return
	}
	d.tellLeader(r, yuccawire.KindFinished, d.wireFinished(r.claim.Pool, finished))
}

// leads reports whether this daemon itself is the leader that granted the request.
func (r *run) leads(d *Daemon) bool {
	return r.away == nil && r.leader == d.self.Incarnation
}

// tellLeader tells the leader elsewhere that a request waits at or was granted by.
func (d *Daemon) tellLeader(r *run, kind yuccawire.Kind, body any) {
	switch {
	case r.away != nil:
		_ = r.away.send(kind, body)
	case !r.leader.IsZero():
		_ = d.send(r.leader, kind, body)
	}
}
