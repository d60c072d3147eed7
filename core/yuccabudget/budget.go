package yuccabudget

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

const (
	// ratioShare is the share of the ratio that a daemon uses. The daemons' windows end at different times,
	// and requests move from one daemon to another. So a window that is checked from outside may hold what
	// some daemons have resent for the requests of the window before it, and others for its own requests, of
	// which the limit allows for one alone.
	ratioShare = 0.5
	// allowanceShare is the share of the allowance that the daemons divide. The rest is for daemons that
	// learn late that there are more of them, or that they reach fewer.
	allowanceShare = 0.85
	// changeShare is the share of the window in which all daemons learn of a change of the fleet.
	changeShare = 0.2
	// backlogTime is the time in which a process that resumes after a pause reads what callers sent meanwhile.
	backlogTime = time.Second
)

// Bounds is the limit on the resends of one pool over all daemons: within any Window, at most Ratio
// times the requests plus Allowance.
type Bounds struct {
	Window time.Duration
	// Ratio is in resends per request, and Allowance in resends.
	Ratio     float64
	Allowance float64
}

// Budget counts this daemon's requests and resends by pool. It isn't safe for concurrent use.
type Budget struct {
	bounds Bounds
	pools  map[yuccaid.Pool]*poolCounts
	// fleet is what SetFleet was last told, with the largest number of daemons that it was told within
	// fleetMemory. fleetKnownAt is when this daemon last reached others or there were none.
	fleet        Fleet
	knownDaemons largest
	fleetKnownAt time.Time
	shares       smallest
	// countsFrom is when requests begin to count.
	countsFrom time.Time
}

// poolCounts counts one pool's requests, and its resends that have arrived, within the sliding window.
//
// The time of each resend is kept, because a Sum would count some of them for longer than a window. In a pool whose
// targets all fail, resends come together at the start of each window, and a window between two such times would
// have hardly any.
type poolCounts struct {
	requests yuccawindow.Sum
	arrived  []time.Time
	// pending is the number of resends that are allowed and haven't arrived yet.
	pending int64
}

// New returns a budget without any requests or resends.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, pools: make(map[yuccaid.Pool]*poolCounts)}
}

// SetBounds changes the limit and keeps the counts, unless the window changes.
func (bud *Budget) SetBounds(now time.Time, bounds Bounds) {
	if bounds.Window != bud.bounds.Window {
		bud.MarkCountsLost(now)
	}
	bud.bounds = bounds
}

// MarkCountsLost records that this daemon doesn't know the resends before now. It is called when the process
// has started, because one that has ended may have used this daemon's part of the allowance within the
// present window, or the others divide all of it, since they don't know this one yet.
func (bud *Budget) MarkCountsLost(now time.Time) {
	bud.shares.add(now, 0)
}

// MarkResumed records that this process resumes after a pause. What it reads next may have been sent long
// before, and its clock may not have counted the pause. So neither the requests before now nor those of the next
// moment count, which would allow resends in a window in which they were not sent.
//
// Daemons that have started while this one was paused for longer than a window may have its part of the allowance.
func (bud *Budget) MarkResumed(now time.Time, pausedFor time.Duration) {
	if pausedFor >= bud.bounds.Window {
		bud.MarkCountsLost(now)
	}
	bud.countsFrom = now.Add(backlogTime)
	for _, counts := range bud.pools {
		counts.requests = yuccawindow.Sum{}
	}
}

// SetFleet sets the daemons that share the allowance. It is called often, also while nothing is resent,
// because daemons that are no longer known still count for fleetMemory.
func (bud *Budget) SetFleet(now time.Time, flt Fleet) {
	flt.Daemons = bud.knownDaemons.add(now, flt.Daemons)
	bud.fleet = flt
	if !flt.Isolated {
		bud.fleetKnownAt = now
	}
	share := flt.share()
	if bud.fleetKnownAt.IsZero() || now.Sub(bud.fleetKnownAt) >= fleetMemory {
		share = 0
	}
	bud.shares.add(now, share)
}

// changeTime is the time in which all daemons learn of a change of the fleet.
func (bud *Budget) changeTime() time.Duration {
	return time.Duration(changeShare * float64(bud.bounds.Window))
}

// CountRequest counts a request that arrived from a caller.
func (bud *Budget) CountRequest(now time.Time, pool yuccaid.Pool) {
	counts := bud.countsOf(now, pool)
	if !now.Before(bud.countsFrom) {
		counts.requests.Add(1)
	}
}

// Decision is the decision on one resend, with what it was made from.
type Decision struct {
	Allowed bool
	// Used is the number of resends that counted against the limit before this one, pending ones included,
	// Limit this daemon's part of the limit, and Share its share of the allowance. Daemons is the number of
	// daemons that it knows of.
	Used    int64
	Limit   float64
	Share   float64
	Daemons int
}

// DecideResend decides whether the limit allows one more resend for the pool. If so, the resend is pending
// until Arrived or Drop is called. It counts all the while, because it may wait for a target or be held up on its
// way, and what is checked from outside is when it arrives.
func (bud *Budget) DecideResend(now time.Time, pool yuccaid.Pool) Decision {
	counts := bud.countsOf(now, pool)
	dec := Decision{Used: counts.used(), Limit: bud.limit(now, counts), Share: bud.share(now), Daemons: bud.fleet.Daemons}
	dec.Allowed = float64(dec.Used+1) <= dec.Limit
	if dec.Allowed {
		counts.pending++
	}
	return dec
}

// MaySend reports whether a pending resend may still be sent, now that it has a target. While it waited, the
// requests that allowed it may have left the window. If it may not be sent, it is no longer pending.
func (bud *Budget) MaySend(now time.Time, pool yuccaid.Pool) bool {
	counts := bud.countsOf(now, pool)
	if float64(counts.used()) <= bud.limit(now, counts) {
		return true
	}
	counts.pending--
	return false
}

// Arrived records that a pending resend has reached a target by now, as far as it ever will.
func (bud *Budget) Arrived(now time.Time, pool yuccaid.Pool) {
	counts := bud.countsOf(now, pool)
	counts.pending--
	counts.arrived = append(counts.arrived, now)
}

// Drop records that a pending resend hasn't been sent and won't be.
func (bud *Budget) Drop(now time.Time, pool yuccaid.Pool) { bud.countsOf(now, pool).pending-- }

// used returns the number of resends that count against the limit.
func (counts *poolCounts) used() int64 { return counts.pending + int64(len(counts.arrived)) }

// limit returns this daemon's part of the limit.
func (bud *Budget) limit(now time.Time, counts *poolCounts) float64 {
	return ratioShare*bud.bounds.Ratio*float64(counts.requests.Total()) + allowanceShare*bud.bounds.Allowance*bud.share(now)
}

// share returns this daemon's share of the allowance. It is the smallest that this daemon had in the last window
// and the time in which all daemons learn of a change. So what daemons have resent whose shares have become smaller, or
// that have ended, has left the window before others have larger shares.
//
// The ratio has no such condition. It applies to the requests that this daemon has counted itself, which no
// other daemon counts.
func (bud *Budget) share(now time.Time) float64 {
	return bud.shares.within(now, bud.bounds.Window+bud.changeTime())
}

// countsOf returns the counts of a pool, after advancing its windows to now.
func (bud *Budget) countsOf(now time.Time, pool yuccaid.Pool) *poolCounts {
	counts := bud.pools[pool]
	if counts == nil {
		counts = &poolCounts{}
		bud.pools[pool] = counts
	}
	counts.requests.Advance(now, bud.bounds.Window)
	counts.arrived = dropBefore(counts.arrived, now.Add(-bud.bounds.Window))
	return counts
}
