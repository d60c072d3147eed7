package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccareturn"
)

// retryAfter returns the time after which a refused caller should come back: when so much usage has left the
// account's window that this daemon may admit its request, after the callers of the account that were refused
// before and are as urgent. Less urgent callers don't delay it, and wait longer for room themselves, since a
// part of the limit is left to more urgent ones.
//
// Room appears in an account's window as its usage expires, so an account that has used its quota within a
// second has none for most of the window. If its callers were all told to come back after the same time, all
// but the first of them would be refused again.
func (led *Ledger) retryAfter(now time.Time, win *accountWindow, cost, limit float64, rank int, as role, verdict Verdict) time.Duration {
	earliest := led.roomIn(win, cost, limit, as)
	if verdict == ShareUsed {
		earliest = max(earliest, led.reportDelay[as])
	}
	urg := yuccareturn.Urgency{Rank: min(max(rank, 0), maxReservedRanks)}
	return clampRetryAfter(win.returns[as].Next(now, urg, earliest, led.freesIn(win, cost, limit, as)))
}

// roomIn returns the time until so much usage has left the window that this daemon's share of the remaining
// quota suffices for a request (see withinShare).
func (led *Ledger) roomIn(win *accountWindow, cost, limit float64, as role) time.Duration {
	reserve := usableReserveShare * led.reserve(win)
	needed := cost
	if sharers := led.sharers(as); sharers > 1 {
		forShare := cost / led.roleShare(win, as)
		withinShare := max(forShare/shareFactor, forShare-reserve)
		needed = max(cost, min(withinShare, cost+win.peerCost(sharers)-reserve))
	}
	missing := needed - (limit - float64(win.admitted.all.Total()))
	if missing <= 0 {
		return 0
	}
	return win.admitted.all.ExpiresIn(int64(missing))
}

// freesIn returns the time in which as much usage leaves this daemon's share of a full window as a request
// costs.
func (led *Ledger) freesIn(win *accountWindow, cost, limit float64, as role) time.Duration {
	window := led.tolerance.Window.Seconds()
	return seconds(min(cost*window/(led.roleShare(win, as)*max(limit, 1)), window))
}
