package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// ticket is a request that waits for a target or runs on one. But for placed, it belongs to
// the control goroutine.
type ticket struct {
	// req is the request; only what never changes of it may be read here.
	req  *request
	pool yuccaid.Pool
	ask  yuccagrant.Request
	// placed gets the one decision on the ask.
	placed chan placed

	// asked is when the pool's leader was asked, and word when it last said that the
	// request waits; alone says that this daemon decides instead.
	asked time.Time
	word  time.Time
	alone bool

	running bool
	begun   bool
	target  yuccaid.Target
	sent    time.Time
}

// placed is a decision on a waiting request: a target, or a refusal.
type placed struct {
	target  yuccaid.Target
	address string
	// alone says that this daemon decided without the pool's leader.
	alone   bool
	refusal *yuccagrant.Refusal
	problem *Problem
	inputs  inputs
}

// inputs is what a decision on a request was made from, for the log.
type inputs struct {
	leader yuccaid.VM
	expect time.Duration
	busy   int
	// revision is how far the platform had been heard, and age how long ago it last spoke.
	revision yuccaroster.Revision
	age      time.Duration
}

// acquire waits for a target. When the caller leaves meanwhile, the request is taken back.
func (gate *Gate) acquire(ctx context.Context, req *request) (*ticket, placed, error) {
	tkt := &ticket{req: req, pool: req.pool, ask: req.ask(), placed: make(chan placed, 1)}
	tkt.ask.ID = yuccagrant.ID{Owner: gate.inc, Number: gate.numbers.Add(1)}
	gate.control.Post(func(now time.Time) { gate.enter(now, req, tkt) })
	select {
	case one := <-tkt.placed:
		return tkt, one, nil
	case <-ctx.Done():
		gate.control.Post(func(now time.Time) { gate.abandon(now, tkt) })
		return tkt, placed{}, context.Cause(ctx)
	}
}

// enter counts a request against its account's quota, once, and asks for a target.
func (gate *Gate) enter(now time.Time, req *request, tkt *ticket) {
	if !req.entered {
		req.entered = true
		if prob := gate.admitted(now, req); prob != nil {
			tkt.placed <- placed{problem: prob}
			return
		}
		req.counted = true
		tkt.ask.OverQuota = req.over
		gate.budget.CountRequest(now, req.pool)
	}
	gate.tickets[tkt.ask.ID.Number] = tkt
	gate.ask(now, gate.desk(now, tkt.pool), tkt)
}

// abandon takes back a request whose caller left before it was sent.
func (gate *Gate) abandon(now time.Time, tkt *ticket) {
	if gate.tickets[tkt.ask.ID.Number] != tkt {
		return
	}
	dsk := gate.desk(now, tkt.pool)
	if !tkt.running {
		gate.withdraw(now, dsk, tkt)
	}
	gate.end(now, tkt, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
}

// begun tells of a run's first event.
func (gate *Gate) begun(tkt *ticket, took time.Duration, load yuccagrant.ReportedLoad) {
	gate.control.Post(func(now time.Time) {
		tkt.begun = true
		dsk := gate.desk(now, tkt.pool)
		gate.apply(now, dsk, dsk.own.RunStarted(now, tkt.ask.ID, took, load))
		gate.tellBegun(dsk, tkt, took, load)
	})
}

// ended gives a target's place back.
func (gate *Gate) ended(tkt *ticket, end yuccagrant.Finished) {
	gate.control.Post(func(now time.Time) { gate.end(now, tkt, end) })
}

func (gate *Gate) end(now time.Time, tkt *ticket, end yuccagrant.Finished) {
	delete(gate.tickets, tkt.ask.ID.Number)
	end.ID = tkt.ask.ID
	gate.giveBack(now, gate.desk(now, tkt.pool), end)
}

// paysResend counts a resend of a request that has reached a target, and reports whether the
// budget allows it.
func (gate *Gate) paysResend(pool yuccaid.Pool) bool {
	allowed := false
	gate.control.Call(func(now time.Time) {
		_, daemons := gate.fleet(now)
		allowed = gate.budget.AllowResend(now, pool, daemons)
	})
	gate.metrics.resend(allowed)
	return allowed
}

// mayResend reports whether the request may be sent to a further target, and counts it. A
// sending that never arrived anywhere is none.
func (gate *Gate) mayResend(req *request) bool {
	return req.arrivals == 0 || gate.paysResend(req.pool)
}
