package yuccabudget

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// safetyShare is the share of the limit that is used. The limit is checked elsewhere over
// windows that slide differently and count requests by when they arrive.
const safetyShare = 0.8

// Bounds is the limit on resends over all daemons: within any Window, at most Ratio times the
// requests plus Allowance.
type Bounds struct {
	Window    time.Duration
	Ratio     float64
	Allowance float64
}

// Budget counts requests and resends by pool. It isn't safe for concurrent use.
type Budget struct {
	bounds Bounds
	pools  map[yuccaid.Pool]*window
}

// window counts one pool's requests and resends within the sliding window.
type window struct {
	requests yuccawindow.Sum
	resends  yuccawindow.Sum
}

// New returns a budget without any requests or resends.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, pools: make(map[yuccaid.Pool]*window)}
}

// SetBounds changes the limit and keeps the counts.
func (bud *Budget) SetBounds(bounds Bounds) { bud.bounds = bounds }

// CountRequest counts a request that arrived from a caller.
func (bud *Budget) CountRequest(now time.Time, pool yuccaid.Pool) {
	bud.window(now, pool).requests.Add(1)
}

// AllowResend reports whether the limit allows one more resend, and counts it if so. The
// allowance is divided evenly among the given number of daemons.
func (bud *Budget) AllowResend(now time.Time, pool yuccaid.Pool, daemons int) bool {
	win := bud.window(now, pool)
	bound := safetyShare * (bud.bounds.Ratio*float64(win.requests.Total()) + bud.bounds.Allowance/float64(max(daemons, 1)))
	if float64(win.resends.Total()+1) > bound {
		return false
	}
	win.resends.Add(1)
	return true
}

// window returns the counts of a pool, moved to now.
func (bud *Budget) window(now time.Time, pool yuccaid.Pool) *window {
	win := bud.pools[pool]
	if win == nil {
		win = &window{}
		bud.pools[pool] = win
	}
	win.requests.Advance(now, bud.bounds.Window)
	// Resends are counted over a longer window, because the oldest bucket of a Sum expires before
	// its window ends, and because resends reach the targets later than they are counted here.
	win.resends.Advance(now, bud.bounds.Window+bud.bounds.Window/8)
	return win
}
