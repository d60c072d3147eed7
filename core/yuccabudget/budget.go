package yuccabudget

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// caution is the part of the bound that is used. Windows slide and are counted elsewhere, by
// when requests arrive.
const caution = 0.8

// Bounds is the bound over all daemons.
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

// window counts what one pool had lately.
type window struct {
	requests yuccawindow.Sum
	resends  yuccawindow.Sum
}

// New returns a budget with nothing used.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, pools: make(map[yuccaid.Pool]*window)}
}

// SetBounds changes the bound; what was counted stays.
func (bud *Budget) SetBounds(bounds Bounds) { bud.bounds = bounds }

// CountRequest counts a request of a caller.
func (bud *Budget) CountRequest(now time.Time, pool yuccaid.Pool) {
	bud.window(now, pool).requests.Add(1)
}

// AllowResend counts one more sending of a request and reports whether the bound allows it,
// where so many daemons share the allowance.
func (bud *Budget) AllowResend(now time.Time, pool yuccaid.Pool, daemons int) bool {
	win := bud.window(now, pool)
	bound := caution * (bud.bounds.Ratio*float64(win.requests.Total()) + bud.bounds.Allowance/float64(max(daemons, 1)))
	if float64(win.resends.Total()+1) > bound {
		return false
	}
	win.resends.Add(1)
	return true
}

func (bud *Budget) window(now time.Time, pool yuccaid.Pool) *window {
	win := bud.pools[pool]
	if win == nil {
		win = &window{}
		bud.pools[pool] = win
	}
	win.requests.Advance(now, bud.bounds.Window)
	// A part of a sum leaves sooner than its window ends, and resends arrive later than they
	// are counted.
	win.resends.Advance(now, bud.bounds.Window+bud.bounds.Window/8)
	return win
}
