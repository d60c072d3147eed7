package yuccaquota

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// demandRateFactor, demandHeadStart and demandBurstShare define the largest demand that is
	// expected from an account within its quota while no daemon has usage history: demandRateFactor
	// times its rate, counted from demandHeadStart before the history was lost, and at least
	// demandBurstShare of its burst. An account within its quota demands less, even when its callers
	// have waited for the end of an outage and all retry at once. An account that demands more
	// probably did so before the loss as well and may have filled its window, so it is held until
	// that usage begins to leave the window.
	demandRateFactor = 1.3
	demandHeadStart  = time.Second
	demandBurstShare = 0.8
	// fillTimeFactor shortens the time in which a held account is assumed to have filled its window,
	// because its demand before the loss of the history may have been higher than after the loss.
	fillTimeFactor = 0.3
	// heldReserveShare is the part of the reserve that a held account may use.
	heldReserveShare = 0.5
)

// decideWithoutHistory decides on a request of an account that demands more than its quota while no
// daemon has usage history. At first such an account is admitted for the largest demand that is
// expected from an account within its quota, as far as the reserve covers it. If the account's demand
// was as high before the history was lost (historyLostAt), the account filled its window within a few
// seconds. In the worst case these were the last seconds before the loss. Their usage then begins to
// leave the window at holdTime after the loss, which is the length of the window minus these seconds.
// From then on, requests are admitted at the rate of the demand. While the rate isn't known yet, in the
// first demandHeadStart, the account is held too.
//
// The history is lost when all daemons restart, and also when the length of the window changes.
func (led *Ledger) decideWithoutHistory(now time.Time, win *accountWindow, cost, limit float64) (verdict Verdict, retryAfter time.Duration) {
	sinceLoss := now.Sub(led.historyLostAt)
	demandRate := float64(win.demand.all.Total()) / max(sinceLoss, demandHeadStart).Seconds()
	holdTime := max(led.tolerance.Window-seconds(fillTimeFactor*limit/demandRate), demandHeadStart)
	// The growth from holdTime on isn't multiplied by this daemon's share.
	held := min(win.demandLimit(sinceLoss), max(win.demandLimit(0), heldReserveShare*led.reserve(win)))
	admissible := led.share*held + demandRate*max(sinceLoss-holdTime, 0).Seconds()
	if float64(win.admitted.all.Total())+cost <= admissible {
		return Admitted, 0
	}
	return HeldAfterRestart, clampRetryAfter(holdTime - sinceLoss)
}

// AdmitTakeUp decides on a request that takes up a stream and was refused with HeldAfterRestart, and counts its cost if it is
// admitted. Its caller has a part of the answer, which is lost otherwise. There are no more such streams than ran when the
// daemons were lost, and new requests leave them a part of the reserve.
//
// Each daemon decides by itself, also if another one leads the account. It assumes that all of them admit as much as this one
// until their reports arrive, so that together they keep within the reserve.
func (led *Ledger) AdmitTakeUp(now time.Time, account yuccaid.Account, cost float64) bool {
	win := led.windows[account]
	if win == nil || !led.WithoutHistory(now) {
		return false
	}
	led.advance(now, win)
	recent := float64(win.recent[alone].Total())
	reported := float64(win.admitted.all.Total()) - recent
	if reported+float64(led.daemons)*(recent+cost) > led.share*led.reserve(win) {
		return false
	}
	win.admitted.addLocalDaemon(int64(cost))
	win.recent[alone].Add(int64(cost))
	return true
}

// demandLimit returns this daemon's share of the largest demand that is expected, since the daemons
// lost their usage history, from an account within its quota.
func (led *Ledger) demandLimit(now time.Time, win *accountWindow) float64 {
	return led.share * win.demandLimit(now.Sub(led.historyLostAt))
}

// demandLimit returns the largest demand over all daemons that is expected from the account within
// its quota, for the given time since usage history was lost.
func (win *accountWindow) demandLimit(sinceLoss time.Duration) float64 {
	return max(demandRateFactor*win.quota.Rate*(sinceLoss+demandHeadStart).Seconds(), demandBurstShare*win.quota.Burst)
}
