package yuccaonce

import "time"

// clock converts the times that an owner is given into times that never go back.
//
// The wall clock of a VM can be set back or jump ahead. If ids were stamped with it, a
// newer id could expire before an older one. After a step back nothing would expire
// until the wall clock had caught up, and the counts in the status would show ids
// growing to their limit. The clock adds up forward steps only, so an expired id stays
// expired and ids expire in the order of their issue. A jump ahead expires ids early.
// That refuses requests but runs none twice, because an id that is not stored is never
// admitted.
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
