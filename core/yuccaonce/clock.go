package yuccaonce

import "time"

// clock turns the times that an owner is given into one that never goes back.
//
// The wall clock of a VM can be set back or jump ahead. If ids were stamped with it,
// a newer id could expire before an older one, and after a step back nothing would
// expire until the wall clock had caught up; the counts in status would show ids
// piling up to their limit. The clock adds up forward steps only, so an expired id
// stays expired and the order of issue is the order of expiry. A jump ahead expires
// ids early. That refuses requests and runs none twice, since an id that is not held
// is never admitted.
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
