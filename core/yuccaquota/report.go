package yuccaquota

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// Usage is what one account was let in for, in the units of its quota: by one daemon since
// it began, or by a data centre since its last report, or within a window. It is negative
// where requests that had been let in didn't run.
type Usage struct {
	Account yuccaid.Account
	Amount  int64
	// Asked is what it asked for, also where it was refused. It is only counted by daemons
	// that don't know what accounts were let in for before.
	Asked int64
}

// UsageByAge is what one account was let in for within its window by how long ago that was, in
// equal parts of the window, the latest first.
type UsageByAge struct {
	Account yuccaid.Account
	Let     []int64
	// Asked is what it asked for, at whatever age.
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

// heardFor is how long it is remembered what a daemon told last: longer than a cut lasts
// after which it comes back, and than any window.
const heardFor = time.Minute

// teller is another daemon of this data centre, and what it last told that it let in since
// it began.
type teller struct {
	ever map[yuccaid.Account]Usage
	at   time.Time
}

// ApplyReport takes a report of a daemon of this data centre.
//
// Reports tell sums since the daemon began, of which what was heard before is taken off. So
// one that is lost with its connection is made up for by the next.
func (led *Ledger) ApplyReport(now time.Time, from yuccaid.Incarnation, spent []Usage) {
	tlr := led.tellers[from]
	if tlr == nil {
		// Sums since it began say nothing of a window.
		led.PeerConnected(now, from, spent, nil)
		return
	}
	tlr.at = now
	for _, each := range spent {
		was := tlr.ever[each.Account]
		tlr.ever[each.Account] = each
		if win := led.told(now, each.Account); win != nil {
			win.let.near(each.Amount - was.Amount)
			win.asked.near(each.Asked - was.Asked)
		}
	}
}

// ConnectedBefore reports whether a daemon of this data centre has been heard of lately.
func (led *Ledger) ConnectedBefore(from yuccaid.Incarnation) bool { return led.tellers[from] != nil }

// PeerConnected takes what a daemon of this data centre let in since it began, and what of that lies
// within its windows, when a connection to it comes up. What was missed since it was last
// heard is counted as if it had been let in now: it can't be told when it was, and too little
// would let the account in for too much.
func (led *Ledger) PeerConnected(now time.Time, from yuccaid.Incarnation, ever, within []Usage) {
	for other, tlr := range led.tellers {
		if now.Sub(tlr.at) > heardFor {
			delete(led.tellers, other)
		}
	}
	before := led.tellers[from]
	met := &teller{ever: make(map[yuccaid.Account]Usage, len(ever)), at: now}
	for _, each := range ever {
		met.ever[each.Account] = each
	}
	led.tellers[from] = met
	for _, each := range within {
		let, asked := each.Amount, each.Asked
		if before != nil {
			was, is := before.ever[each.Account], met.ever[each.Account]
			let, asked = min(let, is.Amount-was.Amount), min(asked, is.Asked-was.Asked)
		}
		if win := led.told(now, each.Account); win != nil {
			win.let.near(max(let, 0))
			win.asked.near(max(asked, 0))
		}
	}
}

// ApplyRemoteReport takes a report of another data centre.
func (led *Ledger) ApplyRemoteReport(now time.Time, centre yuccaid.Centre, spent []Usage) {
	for _, each := range spent {
		if win := led.told(now, each.Account); win != nil {
			win.let.far(now, led.span(), centre, each.Amount)
			win.asked.far(now, led.span(), centre, each.Asked)
		}
	}
}

// ApplyRemoteTotals takes all that another data centre let in within its windows, and counts what
// of it hasn't been heard.
//
// Reports are lost while two data centres have no connection, and most of all after every
// daemon was killed: each lets accounts in before it has met the others.
func (led *Ledger) ApplyRemoteTotals(now time.Time, centre yuccaid.Centre, totals []UsageByAge) {
	for _, each := range totals {
		if win := led.told(now, each.Account); win != nil {
			win.let.whole(now, led.span(), centre, each.Let)
			win.asked.whole(now, led.span(), centre, []int64{each.Asked})
		}
	}
}

// Report returns what this daemon let in since it began, of the accounts for which that has
// changed since the last report.
func (led *Ledger) Report() []Usage {
	var list []Usage
	for name, win := range led.windows {
		if win.let.ever != win.let.reported || win.asked.ever != win.asked.reported {
			list = append(list, Usage{Account: name, Amount: win.let.ever, Asked: win.asked.ever})
			win.let.reported, win.asked.reported = win.let.ever, win.asked.ever
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// LifetimeUsage returns what this daemon let in since it began, for one that it meets.
func (led *Ledger) LifetimeUsage() []Usage {
	var list []Usage
	for name, win := range led.windows {
		list = append(list, Usage{Account: name, Amount: win.let.ever, Asked: win.asked.ever})
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// RemoteReport returns what this data centre let in since the last such report, for the one
// daemon that reports to the others.
func (led *Ledger) RemoteReport() []Usage {
	var list []Usage
	for name, win := range led.windows {
		if win.let.centre != 0 || win.asked.centre != 0 {
			list = append(list, Usage{Account: name, Amount: win.let.centre, Asked: win.asked.centre})
			win.let.centre, win.asked.centre = 0, 0
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// MarkRemoteReported notes what another daemon reported of this data centre to the others. What it
// left out, because it ended first, is reported by its successor.
func (led *Ledger) MarkRemoteReported(spent []Usage) {
	for _, each := range spent {
		if win := led.windows[each.Account]; win != nil {
			win.let.centre -= each.Amount
			win.asked.centre -= each.Asked
		}
	}
}

// Totals returns what the windows hold, for a daemon that has just started or was cut off.
func (led *Ledger) Totals(now time.Time) []UsageByAge {
	return led.aged(now, func(tl *tally) *yuccawindow.Sum { return &tl.all })
}

// CentreTotals returns what this data centre let in within the windows, for another one that may
// have missed reports.
func (led *Ledger) CentreTotals(now time.Time) []UsageByAge {
	return led.aged(now, func(tl *tally) *yuccawindow.Sum { return &tl.home })
}

func (led *Ledger) aged(now time.Time, of func(*tally) *yuccawindow.Sum) []UsageByAge {
	var list []UsageByAge
	for name, win := range led.windows {
		led.advance(now, win)
		let, asked := of(&win.let), of(&win.asked)
		if let.Total() <= 0 && asked.Total() <= 0 {
			continue
		}
		ages := let.Ages()
		last := len(ages)
		for last > 0 && ages[last-1] == 0 {
			last--
		}
		list = append(list, UsageByAge{Account: name, Let: ages[:last], Asked: asked.Total()})
	}
	slices.SortFunc(list, func(a, b UsageByAge) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// DaemonTotals returns what this daemon let in within the windows, for a daemon of its data centre
// that it meets for the first time.
func (led *Ledger) DaemonTotals(now time.Time) []Usage {
	var list []Usage
	for name, win := range led.windows {
		led.advance(now, win)
		if let, asked := win.let.mine.Total(), win.asked.mine.Total(); let > 0 || asked > 0 {
			list = append(list, Usage{Account: name, Amount: let, Asked: asked})
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// RaiseTotals takes over another daemon's totals where they are higher. Knows says that the other
// has a memory of its own.
func (led *Ledger) RaiseTotals(now time.Time, totals []UsageByAge, knows bool) {
	for _, each := range totals {
		if win := led.told(now, each.Account); win != nil {
			win.let.raise(each.Let)
			win.asked.raise([]int64{each.Asked})
		}
	}
	if knows {
		led.amnesic = false
	}
}

// RaiseRemoteTotals takes over the totals of a daemon of another data centre that remembers, which
// hold what that data centre itself let in: that part isn't counted again when it is reported.
func (led *Ledger) RaiseRemoteTotals(now time.Time, centre yuccaid.Centre, totals, home []UsageByAge) {
	led.RaiseTotals(now, totals, true)
	for _, each := range home {
		if win := led.told(now, each.Account); win != nil {
			win.let.whole(now, led.span(), centre, each.Let)
		}
	}
}

func compareSpent(a, b Usage) int {
	return cmp.Compare(a.Account, b.Account)
}
