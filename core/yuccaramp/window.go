package yuccaramp

import "time"

const (
	// MaxSpan is how long a window bounds a target that neither fails nor is late, so that one which gets few requests
	// doesn't stay bounded.
	MaxSpan = 2 * time.Second
	// lateRatio and lateSlack define when an answer is late: when it begins later than lateRatio times the expected time
	// plus lateSlack.
	lateRatio = 2
	lateSlack = 100 * time.Millisecond
)

// Window bounds the requests at one target whose answers haven't begun. The zero value doesn't bound them.
type Window struct {
	// size is the bound, zero if there is none.
	size int
	// from is when the window began or last shrank, or when the target answered after it had failed.
	from time.Time
	// failed reports whether the target failed and hasn't answered since.
	failed bool
}

// Begin bounds a target that has just started to one request.
func (win *Window) Begin(now time.Time) { *win = Window{size: 1, from: now} }

// Fail records that the target didn't answer a request. The bound is one until it answers again.
func (win *Window) Fail(now time.Time) { *win = Window{size: 1, from: now, failed: true} }

// Answer records that an answer has begun, how long it took to begin and how long that was expected to take. The window
// ends once it has the size full, the number of requests that the target can take in any case.
func (win *Window) Answer(now time.Time, took, expected time.Duration, full int) {
	if !win.bounds(now) {
		*win = Window{}
		return
	}
	if win.failed {
		win.failed, win.from = false, now
	}
	if took > lateRatio*expected+lateSlack {
		win.Shrink(now)
		return
	}
	win.size++
	if win.size >= full {
		*win = Window{}
	}
}

// Shrink halves the window, because the target has got more than it can take. A target that isn't bounded remains so.
func (win *Window) Shrink(now time.Time) {
	if win.bounds(now) {
		win.size, win.from = max(win.size/2, 1), now
	}
}

// Failed reports whether the target failed and hasn't answered since.
func (win *Window) Failed() bool { return win.failed }

// Allows reports whether the target may get one more request while the answers of the given number haven't begun.
func (win *Window) Allows(now time.Time, waiting int) bool {
	return !win.bounds(now) || waiting < win.size
}

// Size returns the bound, or zero if there is none.
func (win *Window) Size(now time.Time) int {
	if !win.bounds(now) {
		return 0
	}
	return win.size
}

func (win *Window) bounds(now time.Time) bool {
	return win.size > 0 && (win.failed || now.Sub(win.from) < MaxSpan)
}
