package yuccaonce

import "time"

// clock turns the times that an owner is given into one that never goes back.
//
// The wall clock of a VM can be set back. An id that was refused as expired would
// then be accepted again after its outcome was forgotten, and run twice; the
// target's log would show it. The clock adds up forward steps only, so an id once
// expired stays expired. Nor does it wait for the wall clock to catch up, since ids
// would pile up until it did. A jump forward expires ids early, which refuses
// requests but runs none twice.
type clock struct {
	last    time.Time
	reading time.Time
}

func (clk *clock) read(now time.Time) time.Time {
	if clk.last.IsZero() {
		clk.reading = now.Round(0)
	}
	step := now.Sub(clk.last)
	if !clk.last.IsZero() && step > 0 {
		clk.reading = clk.reading.Add(step)
	}
	clk.last = now
	return clk.reading
}
