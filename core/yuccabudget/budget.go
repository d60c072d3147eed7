package yuccabudget

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// slots is into how many parts a window is divided. The oldest part leaves as a whole,
	// so a part more than the window is counted.
	slots = 10
	// caution is the part of the bound that is used. Windows slide and are counted
	// elsewhere, by when requests arrive.
	caution = 0.8
)

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

// window counts the last slots, the newest at last.
type window struct {
	requests [slots + 1]int
	resends  [slots + 1]int
	last     int64
}

// New returns a budget with nothing used.
func New(bounds Bounds) *Budget {
	return &Budget{bounds: bounds, pools: make(map[yuccaid.Pool]*window)}
}

// SetBounds changes the bound; what was counted stays.
func (bud *Budget) SetBounds(bounds Bounds) { bud.bounds = bounds }

// Request counts a request of a caller.
func (bud *Budget) Request(now time.Time, pool yuccaid.Pool) {
	win := bud.window(now, pool)
	win.requests[win.place()]++
}

// Resend counts one more sending of a request and reports whether the bound allows it,
// where so many daemons share the allowance.
func (bud *Budget) Resend(now time.Time, pool yuccaid.Pool, daemons int) bool {
	win := bud.window(now, pool)
	bound := caution * (bud.bounds.Ratio*float64(sum(win.requests)) + bud.bounds.Allowance/float64(max(daemons, 1)))
	if float64(sum(win.resends)+1) > bound {
		return false
	}
	win.resends[win.place()]++
	return true
}

func (bud *Budget) window(now time.Time, pool yuccaid.Pool) *window {
	win := bud.pools[pool]
	slot := now.UnixNano() / int64(max(bud.bounds.Window/slots, time.Millisecond))
	if win == nil {
		win = &window{last: slot}
		bud.pools[pool] = win
	}
	for win.last < slot && slot-win.last <= slots {
		win.last++
		win.clear()
	}
	if win.last < slot {
		*win = window{last: slot}
	}
	return win
}

func (win *window) place() int64 { return win.last % (slots + 1) }

func (win *window) clear() {
	win.requests[win.place()] = 0
	win.resends[win.place()] = 0
}

func sum(counts [slots + 1]int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
