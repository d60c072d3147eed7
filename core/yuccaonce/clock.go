package yuccaonce

import "time"

// clock converts the times that an owner is given into times that never go back.
//
// The wall clock of a VM can be set back or jump ahead. If ids were stamped with the
// wall clock, a newer id could expire before an older one. After a step back nothing
// would expire until the wall clock had caught up, and the number of stored ids would
// grow to its limit. The clock adds up forward steps only, so an expired id stays
// expired and ids expire in the order of their issue. If the wall clock jumps ahead,
// ids expire early. Their requests are then refused, but no request runs twice, because
// an id that is not stored is never admitted.
type clock struct {
	last    time.Time // argument of the last read
	reading time.Time // result of the last read; never goes back
}

// read adds the step since the last read, if it is forward, and returns the new
// reading.
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
