package yuccaquota

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Spent is what one account was let in for since the last report, in the units of its
// quota. It is negative where requests that had been let in didn't run.
type Spent struct {
	Account yuccaid.Account
	Amount  int64
	// Asked is what it asked for, also where it was refused. It is only counted by daemons
	// that don't know what accounts were let in for before.
	Asked int64
}

// told returns the window of an account that a report speaks of, or nil if it has no quota.
// Peers may be met before the configuration is known; what they tell then isn't told again.
func (led *Ledger) told(now time.Time, account yuccaid.Account) *window {
	win := led.windows[account]
	if win == nil && !led.configured && len(led.windows) < mostUnknown {
		win = &window{}
		led.windows[account] = win
	}
	if win != nil {
		led.advance(now, win)
	}
	return win
}

// Heard takes a report of a daemon of this data centre.
func (led *Ledger) Heard(now time.Time, spent []Spent) {
	for _, each := range spent {
		if win := led.told(now, each.Account); win != nil {
			win.let.near(each.Amount)
			win.asked.near(each.Asked)
		}
	}
}

// HeardAway takes a report of another data centre.
func (led *Ledger) HeardAway(now time.Time, centre yuccaid.Centre, spent []Spent) {
	for _, each := range spent {
		if win := led.told(now, each.Account); win != nil {
			win.let.far(now, led.tolerance.Window, centre, each.Amount)
			win.asked.far(now, led.tolerance.Window, centre, each.Asked)
		}
	}
}

// HeardWhole takes all that another data centre let in within its windows, and counts what
// of it hasn't been heard.
//
// Reports are lost while two data centres have no connection, and most of all after every
// daemon was killed: each lets accounts in before it has met the others.
func (led *Ledger) HeardWhole(now time.Time, centre yuccaid.Centre, totals []Spent) {
	for _, each := range totals {
		if win := led.told(now, each.Account); win != nil {
			win.let.whole(now, led.tolerance.Window, centre, each.Amount)
			win.asked.whole(now, led.tolerance.Window, centre, each.Asked)
		}
	}
}

// Report returns what this daemon let in since the last report.
func (led *Ledger) Report() []Spent {
	return led.collect(func(tl *tally) *int64 { return &tl.own })
}

// ReportAway returns what this data centre let in since the last such report, for the one
// daemon that reports to the others.
func (led *Ledger) ReportAway() []Spent {
	return led.collect(func(tl *tally) *int64 { return &tl.centre })
}

func (led *Ledger) collect(of func(*tally) *int64) []Spent {
	var list []Spent
	for name, win := range led.windows {
		let, asked := of(&win.let), of(&win.asked)
		if *let != 0 || *asked != 0 {
			list = append(list, Spent{Account: name, Amount: *let, Asked: *asked})
			*let, *asked = 0, 0
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Reported notes what another daemon reported of this data centre to the others. What it
// left out, because it ended first, is reported by its successor.
func (led *Ledger) Reported(spent []Spent) {
	for _, each := range spent {
		if win := led.windows[each.Account]; win != nil {
			win.let.centre -= each.Amount
			win.asked.centre -= each.Asked
		}
	}
}

// Totals returns what the windows hold, for a daemon that has just started or was cut off.
func (led *Ledger) Totals(now time.Time) []Spent {
	return led.sums(now, func(tl *tally) int64 { return tl.all.Total() })
}

// Home returns what this data centre let in within the windows, for another one that may
// have missed reports.
func (led *Ledger) Home(now time.Time) []Spent {
	return led.sums(now, func(tl *tally) int64 { return tl.home.Total() })
}

// Mine returns what this daemon let in within the windows and has reported, for a daemon of
// its data centre that it meets for the first time.
func (led *Ledger) Mine(now time.Time) []Spent {
	return led.sums(now, func(tl *tally) int64 { return tl.mine.Total() - tl.own })
}

func (led *Ledger) sums(now time.Time, of func(*tally) int64) []Spent {
	var list []Spent
	for name, win := range led.windows {
		led.advance(now, win)
		if let, asked := of(&win.let), of(&win.asked); let > 0 || asked > 0 {
			list = append(list, Spent{Account: name, Amount: let, Asked: asked})
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Raise takes over another daemon's totals where they are higher, as if what is missing had
// been let in half a window ago. Knows says that the other has a memory of its own.
func (led *Ledger) Raise(now time.Time, totals []Spent, knows bool) {
	for _, each := range totals {
		if win := led.told(now, each.Account); win != nil {
			win.let.raise(each.Amount)
			win.asked.raise(each.Asked)
		}
	}
	if knows {
		led.amnesic = false
	}
}

// RaiseAway takes over the totals of a daemon of another data centre that remembers, which
// hold what that data centre itself let in: that part isn't counted again when it is reported.
func (led *Ledger) RaiseAway(now time.Time, centre yuccaid.Centre, totals, home []Spent) {
	led.Raise(now, totals, true)
	for _, each := range home {
		if win := led.told(now, each.Account); win != nil {
			sum := win.let.of(now, led.tolerance.Window, centre)
			sum.Add(max(each.Amount-sum.Total(), 0))
		}
	}
}

func compareSpent(a, b Spent) int {
	return cmp.Compare(a.Account, b.Account)
}
