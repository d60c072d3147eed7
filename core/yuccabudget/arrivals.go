package yuccabudget

import (
	"slices"
	"time"
)

// Arrivals are the requests of callers for one pool and the arrivals at its targets, as tests and soaks see
// them from outside of all daemons. It isn't safe for concurrent use.
type Arrivals struct {
	bounds Bounds
	// requests holds the time of each request, and resent that of each arrival of a request that had
	// arrived before, both in the order of time.
	requests, resent []time.Time
}

// NewArrivals returns Arrivals without any, to be compared with the bounds.
func NewArrivals(bounds Bounds) *Arrivals { return &Arrivals{bounds: bounds} }

// RecordRequest records a request that a caller has sent at the time, whether it reaches a daemon or not.
func (arr *Arrivals) RecordRequest(at time.Time) { arr.requests = append(arr.requests, at) }

// RecordResent records that a request which had arrived at a target before has arrived at one again.
func (arr *Arrivals) RecordResent(at time.Time) { arr.resent = append(arr.resent, at) }

// WindowUse is what came within one window, and what the bounds allow in it.
type WindowUse struct {
	Start   time.Time
	Resent  int
	Allowed float64
}

// Share returns the share of the allowed arrivals that came.
func (use WindowUse) Share() float64 { return float64(use.Resent) / max(use.Allowed, minAllowed) }

// minAllowed stands for a budget of nothing, of which any arrival is a large share.
const minAllowed = 1e-9

// Window returns the use of the window that begins at a time. The requests count that were sent in that
// window, in the one before it, or in the one half a window earlier, whichever has most.
func (arr *Arrivals) Window(start time.Time) WindowUse {
	most, window := 0, arr.bounds.Window
	for _, earlier := range []time.Duration{0, window / 2, window} {
		most = max(most, countWithin(arr.requests, start.Add(-earlier), window))
	}
	return WindowUse{
		Start: start, Resent: countWithin(arr.resent, start, window),
		Allowed: arr.bounds.Ratio*float64(most) + arr.bounds.Allowance,
	}
}

// Worst returns the use of the window that used the largest share, of those that begin or end with one of
// the resent arrivals since a time.
func (arr *Arrivals) Worst(since time.Time) WindowUse {
	var worst WindowUse
	first, _ := slices.BinarySearchFunc(arr.resent, since, time.Time.Compare)
	for _, at := range arr.resent[first:] {
		for _, start := range []time.Time{at, at.Add(time.Nanosecond - arr.bounds.Window)} {
			if use := arr.Window(start); use.Share() > worst.Share() {
				worst = use
			}
		}
	}
	return worst
}

// Forget drops what no window needs that begins at the time or later.
func (arr *Arrivals) Forget(before time.Time) {
	arr.requests = dropBefore(arr.requests, before.Add(-arr.bounds.Window))
	arr.resent = dropBefore(arr.resent, before)
}

func dropBefore(times []time.Time, before time.Time) []time.Time {
	first, _ := slices.BinarySearchFunc(times, before, time.Time.Compare)
	return times[first:]
}

// countWithin returns how many of the times lie within a span from a time on.
func countWithin(times []time.Time, start time.Time, span time.Duration) int {
	first, _ := slices.BinarySearchFunc(times, start, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(times, start.Add(span), time.Time.Compare)
	return end - first
}
