package yuccagate

import (
	"math"
	"sync"
	"time"

	"yuccacleat/core/yuccabudget"
	"yuccacleat/core/yuccaid"
)

// resendCharge is what one request has charged to the budget of resends. It is safe for concurrent use, since
// a request's silence watch charges resends too.
type resendCharge struct {
	gate *Gate

	mu   sync.Mutex
	pool yuccaid.Pool
	// waiting reports whether a resend is charged that hasn't been sent. The next resend may be charged while
	// earlier ones are on their way.
	waiting bool
	// ended reports whether the request has ended, so that nothing is sent any more.
	ended bool
}

// charge decides whether a request that has reached a target of the pool may be sent to another. Found reports
// that a resend had been charged before, and this one is it.
func (chg *resendCharge) charge(pool yuccaid.Pool) (dec yuccabudget.Decision, found bool) {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	if chg.waiting || chg.ended {
		return yuccabudget.Decision{Allowed: chg.waiting}, true
	}
	chg.pool = pool
	chg.gate.control.Call(func(now time.Time) { dec = chg.gate.resendBudget.DecideResend(now, pool) })
	chg.waiting = dec.Allowed
	chg.gate.metrics.resendDecided(dec.Allowed)
	return dec, false
}

// begin reports whether the request may be sent to the target that it has been granted: if a resend is charged,
// whether the budget still allows it. Charged reports whether this send is a charged resend.
func (chg *resendCharge) begin() (allowed, charged bool) {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	if !chg.waiting {
		return true, false
	}
	chg.waiting = false
	chg.gate.control.Call(func(now time.Time) { allowed = chg.gate.resendBudget.MaySend(now, chg.pool) })
	return allowed, allowed
}

// arrived records that a charged resend has reached a target, or that its connection was closed before.
func (chg *resendCharge) arrived() {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	pool := chg.pool
	chg.gate.control.Post(func(now time.Time) { chg.gate.resendBudget.Arrived(now, pool) })
}

// unsent records that nothing of a charged resend has been sent, so that it is still to come.
func (chg *resendCharge) unsent() {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	if chg.waiting || chg.ended {
		chg.drop()
	}
	chg.waiting = !chg.ended
}

// release returns a charged resend that isn't sent, because the request is served without it.
func (chg *resendCharge) release() {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	if chg.waiting {
		chg.drop()
	}
	chg.waiting = false
}

// end records that the request has ended.
func (chg *resendCharge) end() {
	chg.mu.Lock()
	defer chg.mu.Unlock()
	if chg.waiting {
		chg.drop()
	}
	chg.waiting, chg.ended = false, true
}

func (chg *resendCharge) drop() {
	pool := chg.pool
	chg.gate.control.Post(func(now time.Time) { chg.gate.resendBudget.Drop(now, pool) })
}

// mayResend reports whether the budget allows the request, which has reached one target, to be sent to
// another, and what is logged on that.
func (req *callerRequest) mayResend() (allowed bool, fields []any) {
	dec, found := req.resend.charge(req.pool)
	if !found {
		fields = []any{"resent", dec.Used, "limit", math.Round(10*dec.Limit) / 10, "among", dec.Daemons, "share", math.Round(1000*dec.Share) / 1000}
	}
	return dec.Allowed, fields
}

// resendFleet returns the daemons that share the allowance of resends. Unlike countDaemons, it counts daemons
// that have stopped: what they have resent is still in the window.
func (gate *Gate) resendFleet(now time.Time) yuccabudget.Fleet {
	visible, _ := gate.countDaemons(now)
	flt := yuccabudget.Fleet{Seeds: len(gate.settings.Seeds), ReachedSeeds: gate.countReachedSeeds(now)}
	flt.Daemons = max(len(gate.peers.Candidates(gate.settings.Centre)), len(gate.peers.Live(gate.settings.Centre)))
	for _, centre := range gate.remoteCentres {
		flt.Daemons += centre.expected(now)
	}
	flt.Isolated = visible <= 1 && max(flt.Daemons, flt.Seeds) > 1
	return flt
}
