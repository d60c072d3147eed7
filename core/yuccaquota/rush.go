package yuccaquota

import "time"

const (
	// rushRate, rushSpan and rushBurst bound what an account may ask for while nobody remembers
	// what it was let in for before: so many times its rate, as if it had begun so much
	// earlier, and at least a part of its burst.
	// An account within its quota asks for less, even when its callers have waited out an
	// outage and come back together. One that asks for more most likely did so before, may
	// have filled the window, and is held until that begins to leave it.
	rushRate  = 1.3
	rushSpan  = time.Second
	rushBurst = 0.8
	// fillPart shortens the time in which such an account is taken to have filled its window:
	// it may have asked for more before than it does now.
	fillPart = 0.7
)

// hold decides on an account that asks for more than its quota while nobody remembers what
// it was let in for. Had it asked for as much before, it had filled the window within some
// seconds, of which the first leave the window when the daemons have been back for the rest
// of its span; from then on it is let in again as quickly as it asks.
func (led *Ledger) hold(now time.Time, win *window, cost, limit float64) (verdict Verdict, back time.Duration) {
	since := now.Sub(led.forgot)
	demand := float64(win.asked.all.Total()) / (since + rushSpan).Seconds()
	wait := led.tolerance.Window - seconds(fillPart*limit/demand)
	spare := led.part*win.rush(0) + demand*max(since-wait, 0).Seconds()
	if float64(win.let.all.Total())+cost <= spare {
		return Admitted, 0
	}
	return HeldAfterRestart, bounded(wait - since)
}

// rush is what an account may have asked for since the daemons lost their memory.
func (led *Ledger) rush(now time.Time, win *window) float64 {
	return led.part * win.rush(now.Sub(led.forgot))
}

func (win *window) rush(since time.Duration) float64 {
	return max(rushRate*win.quota.Rate*(since+rushSpan).Seconds(), rushBurst*win.quota.Burst)
}
