package yuccabudget

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// safetyShare is the share of the limit that a Budget uses. The rest is a margin, because the limit
// is also checked outside this package. That check uses windows that begin at other times than the
// windows of a Budget, and counts requests by when they arrive.
const safetyShare = 0.8

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
}

// poolCounts counts one pool's requests and resends within the sliding window.
type poolCounts struct {
	requests yuccawindow.Sum
	resends  yuccawindow.Sum
}

// New returns a budget without any requests or resends.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, pools: make(map[yuccaid.Pool]*poolCounts)}
}

// SetBounds changes the limit and keeps the counts.
func (bud *Budget) SetBounds(bounds Bounds) { bud.bounds = bounds }

// CountRequest counts a request that arrived from a caller.
func (bud *Budget) CountRequest(now time.Time, pool yuccaid.Pool) {
	bud.countsOf(now, pool).requests.Add(1)
}

// Decision is the decision on one resend, with what it was made from.
type Decision struct {
	Allowed bool
	// Used is the number of resends that counted against the limit before this one, Limit this daemon's part of
	// the limit, and Daemons the number of daemons among which the allowance is divided.
	Used    int64
	Limit   float64
	Daemons int
}

// DecideResend decides whether the limit allows one more resend for the pool, and counts the resend
// if so. The allowance is divided evenly among the given number of daemons.
func (bud *Budget) DecideResend(now time.Time, pool yuccaid.Pool, daemons int) Decision {
	counts := bud.countsOf(now, pool)
	dec := Decision{Used: counts.resends.Total(), Daemons: max(daemons, 1)}
	dec.Limit = safetyShare * (bud.bounds.Ratio*float64(counts.requests.Total()) + bud.bounds.Allowance/float64(dec.Daemons))
	dec.Allowed = float64(dec.Used+1) <= dec.Limit
	if dec.Allowed {
		counts.resends.Add(1)
	}
	return dec
}

// countsOf returns the counts of a pool, after advancing its windows to now.
func (bud *Budget) countsOf(now time.Time, pool yuccaid.Pool) *poolCounts {
	counts := bud.pools[pool]
	if counts == nil {
		counts = &poolCounts{}
		bud.pools[pool] = counts
	}
	counts.requests.Advance(now, bud.bounds.Window)
	// Resends are counted over a window that is longer by an eighth, because a Sum drops its oldest
	// bucket before all amounts in that bucket are as old as the window, and because resends reach
	// the targets later than they are counted here.
	counts.resends.Advance(now, bud.bounds.Window+bud.bounds.Window/8)
	return counts
}
