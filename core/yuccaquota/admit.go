package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// Verdict is the outcome of Admit: that a request is admitted, or why it is refused.
type Verdict string

// The verdicts of Admit.
const (
	// Admitted means that the request is admitted.
	Admitted Verdict = "taken"
	// WindowFull means that the remaining quota in the account's window is less than the cost of
	// the request.
	WindowFull Verdict = "windowFull"
	// ShareUsed means that this daemon has used its share of the remaining quota. The rest is for
	// the other daemons.
	ShareUsed Verdict = "shareUsed"
	// HeldAfterRestart means that the account demands more than its quota while no daemon has the
	// usage history from before a restart.
	HeldAfterRestart Verdict = "heldAfterRestart"
)

// Answer is a verdict with the values on which it is based.
type Answer struct {
	Verdict Verdict
	// RetryAfter is the time after which a refused account is expected to have quota again.
	RetryAfter time.Duration
	// Used is the known usage of the account before this request, and Limit the usage up to which
	// the request would have been admitted.
	Used  int64
	Limit int64
	// UsedByDaemon is the part of Used that this daemon has admitted.
	UsedByDaemon int64
	// Demand is what the account has requested since usage history was lost, and DemandLimit the
	// largest demand that is expected from an account within its quota. Both are zero if the usage
	// history is known.
	Demand      int64
	DemandLimit int64
	// OverQuota reports whether the request takes the account beyond its quota. Such a request is
	// admitted only because of the tolerance.
	OverQuota bool
}

// role is how a daemon admits requests of an account.
type role uint8

const (
	// alone is the role of a daemon that can't reach the account's leader. All daemons may do so at
	// the same time.
	alone role = iota
	// leader is the role of the daemon that admits the account's requests for its data centre.
	leader

	roles = 2
)

// Admit decides whether a request of an account is admitted, and counts the request's cost if so. A
// request is always admitted if its account has no quota, or before Configure has been called. The
// account's remaining quota is divided among all daemons.
//
// A request that costs more than the limit of a whole window is admitted if the account's window is
// empty, because such a request could never be admitted otherwise. Rank 0 is the most urgent.
func (led *Ledger) Admit(now time.Time, account yuccaid.Account, cost float64, rank int) Answer {
	return led.admit(now, account, cost, rank, alone)
}

// AdmitAsLeader decides like Admit, for the daemon that admits the account's requests for all
// daemons of its data centre. The account's remaining quota is divided among the leaders, which are
// far fewer than the daemons.
func (led *Ledger) AdmitAsLeader(now time.Time, account yuccaid.Account, cost float64, rank int) Answer {
	return led.admit(now, account, cost, rank, leader)
}

func (led *Ledger) admit(now time.Time, account yuccaid.Account, cost float64, rank int, as role) Answer {
	win := led.windows[account]
	if win == nil || !led.configured {
		return Answer{Verdict: Admitted}
	}
	led.advance(now, win)
	win.recordCost(cost)
	limit := led.limit(now, win)
	if cost > rankExemptShare*limit {
		limit *= 1 - rankReserve*float64(min(max(rank, 0), maxReservedRanks))
	}
	answer := Answer{Used: win.admitted.all.Total(), Limit: int64(limit), UsedByDaemon: win.admitted.localDaemon.Total()}
	if led.WithoutHistory(now) {
		win.demand.addLocalDaemon(int64(cost))
		answer.Demand, answer.DemandLimit = win.demand.all.Total(), int64(led.demandLimit(now, win))
	}
	answer.Verdict, answer.RetryAfter = led.decide(now, account, win, cost, limit, as)
	// A single request is never held, even if its cost alone exceeds DemandLimit.
	if answer.Verdict == Admitted && answer.Demand > max(answer.DemandLimit, int64(cost)) {
		answer.Verdict, answer.RetryAfter = led.decideWithoutHistory(now, win, cost, limit)
	}
	answer.OverQuota = float64(win.admitted.all.Total())+cost > led.quotaLimit(win.quota)
	if answer.Verdict == Admitted {
		win.admitted.addLocalDaemon(int64(cost))
		win.recent[as].Add(int64(cost))
	}
	return answer
}

// recordCost adds the cost of a request to the moving average.
func (win *accountWindow) recordCost(cost float64) {
	if win.averageCost == 0 {
		win.averageCost = cost
	}
	win.averageCost += averageCostWeight * (cost - win.averageCost)
}

// decide returns the verdict on a request of the given cost under the given limit. It ignores whether
// usage history was lost.
func (led *Ledger) decide(now time.Time, account yuccaid.Account, win *accountWindow, cost, limit float64, as role) (verdict Verdict, retryAfter time.Duration) {
	used := float64(win.admitted.all.Total())
	remaining := limit - used
	switch {
	case used > 0 && cost > remaining:
		return WindowFull, clampRetryAfter(win.admitted.all.ExpiresIn(int64(cost - remaining)))
	case !led.withinShare(now, account, win, cost, remaining, as):
		return ShareUsed, clampRetryAfter(led.reportDelay[as])
	}
	return Admitted, 0
}

// clampRetryAfter limits a retry-after to the range from minRetryAfter to maxRetryAfter.
func clampRetryAfter(retryAfter time.Duration) time.Duration {
	return min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

// MayRefund reports whether the cost of a request that was admitted at a time, by this daemon or another one, can be taken
// back: whether it is still counted everywhere. Otherwise the refund would take back the cost of others.
func (led *Ledger) MayRefund(now, admittedAt time.Time) bool {
	// One bucket leaves the window as a whole, and another one is the time until all daemons know of the refund.
	return now.Sub(admittedAt) < led.span()-2*led.span()/yuccawindow.Buckets
}

// Refund takes back the cost of an admitted request that has not run. MayRefund must have reported true.
func (led *Ledger) Refund(now time.Time, account yuccaid.Account, cost float64) {
	if win := led.windows[account]; win != nil {
		led.advance(now, win)
		win.admitted.addLocalDaemon(-int64(cost))
	}
}
