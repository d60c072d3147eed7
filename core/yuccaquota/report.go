package yuccaquota

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccawindow"
)

// Usage is the admitted usage of one account, in the units of its quota: by one daemon since it
// started (Report, LifetimeUsage), by a data centre since its previous report (RemoteReport), or by
// one daemon within the window (DaemonTotals).
type Usage struct {
	Account yuccaid.Account
	// Amount is the admitted usage. It is negative if refunds for requests that have not run exceed
	// the admitted cost.
	Amount int64
	// Asked is the requested usage, including the cost of refused requests. Only daemons without
	// usage history count it.
	Asked int64
}

// UsageByAge is the admitted usage of one account within its window, grouped by age.
type UsageByAge struct {
	Account yuccaid.Account
	// Let is the admitted usage in each age group (see yuccawindow.AgeGroups), the most recent group
	// first. Empty groups at the end are left out.
	Let []int64
	// Asked is the requested usage within the whole window.
	Asked int64
}

// windowFor returns the window of an account that appears in a report, or nil if the account has no
// quota. Before Configure has been called it returns a window for every account, up to
// maxUnconfigured accounts, because a daemon sends its whole usage only once, when a connection is
// established.
func (led *Ledger) windowFor(now time.Time, account yuccaid.Account) *accountWindow {
	win := led.windows[account]
	if win == nil && !led.configured && len(led.windows) < maxUnconfigured {
		win = &accountWindow{}
		led.windows[account] = win
	}
	if win != nil {
		led.advance(now, win)
	}
	return win
}

// peerRetention is how long the last report of a daemon is remembered. It exceeds any window and
// the duration of the interruptions after which a daemon reconnects.
const peerRetention = time.Minute

// peerState is the usage that another daemon of this data centre has admitted since it started,
// according to its last report.
type peerState struct {
	lifetime   map[yuccaid.Account]Usage
	lastReport time.Time
}

// ApplyReport applies a report of another daemon of this data centre.
//
// A report holds the usage since the daemon started, of which only the increase since its previous
// report is counted. If a report is lost with its connection, the next report includes the usage of
// the lost report.
func (led *Ledger) ApplyReport(now time.Time, from yuccaid.Incarnation, usage []Usage) {
	peer := led.peers[from]
	if peer == nil {
		// The report doesn't tell how much of the usage since the daemon started lies within the
		// window, so none of it is counted now. The usage is kept to compute the increase in the
		// daemon's next report.
		led.PeerConnected(now, from, usage, nil)
		return
	}
	peer.lastReport = now
	for _, each := range usage {
		old := peer.lifetime[each.Account]
		peer.lifetime[each.Account] = each
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.addLocalCentre(each.Amount - old.Amount)
			win.demand.addLocalCentre(each.Asked - old.Asked)
		}
	}
}

// ConnectedBefore reports whether the usage that a daemon of this data centre last sent is still
// remembered. PeerConnected forgets usage that was sent more than peerRetention ago.
func (led *Ledger) ConnectedBefore(from yuccaid.Incarnation) bool { return led.peers[from] != nil }

// PeerConnected applies the usage that a daemon of this data centre sends when a connection to it
// is established: lifetime since the daemon started, and inWindow within the current window. Only
// inWindow is counted. If a previous report of the daemon is remembered, only the part of inWindow
// that was admitted since that report is counted. The usage is counted as if it were admitted now,
// because the time of its admission isn't known and counting too little would admit too much.
func (led *Ledger) PeerConnected(now time.Time, from yuccaid.Incarnation, lifetime, inWindow []Usage) {
	for other, peer := range led.peers {
		if now.Sub(peer.lastReport) > peerRetention {
			delete(led.peers, other)
		}
	}
	previous := led.peers[from]
	current := &peerState{lifetime: make(map[yuccaid.Account]Usage, len(lifetime)), lastReport: now}
	for _, each := range lifetime {
		current.lifetime[each.Account] = each
	}
	led.peers[from] = current
	for _, each := range inWindow {
		admitted, demand := each.Amount, each.Asked
		if previous != nil {
			old, latest := previous.lifetime[each.Account], current.lifetime[each.Account]
			admitted, demand = min(admitted, latest.Amount-old.Amount), min(demand, latest.Asked-old.Asked)
		}
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.addLocalCentre(max(admitted, 0))
			win.demand.addLocalCentre(max(demand, 0))
		}
	}
}

// ApplyRemoteReport applies a report of a remote data centre.
func (led *Ledger) ApplyRemoteReport(now time.Time, centre yuccaid.Centre, usage []Usage) {
	for _, each := range usage {
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.addRemote(now, led.span(), centre, each.Amount)
			win.demand.addRemote(now, led.span(), centre, each.Asked)
		}
	}
}

// ApplyRemoteTotals applies the usage that a remote data centre has admitted within its windows,
// and counts the part of that usage that no report of the data centre has included yet.
//
// Reports are lost while two data centres are disconnected, especially after all daemons have been
// killed, because each daemon admits requests before it has connected to the others.
func (led *Ledger) ApplyRemoteTotals(now time.Time, centre yuccaid.Centre, totals []UsageByAge) {
	for _, each := range totals {
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.raiseRemote(now, led.span(), centre, each.Let)
			win.demand.raiseRemote(now, led.span(), centre, []int64{each.Asked})
		}
	}
}

// Audience is which daemons of the data centre a report is for. A daemon may report to the two
// audiences at different intervals.
type Audience uint8

// The audiences of reports.
const (
	// RemoteReporter is the daemon that reports the usage of the data centre to the remote ones.
	RemoteReporter Audience = iota
	// DataCentre is all other daemons of the data centre.
	DataCentre

	audiences = 2
)

// Report returns the usage that this daemon has admitted since it started, for the accounts whose
// admitted or requested usage has changed since the previous report to the same audience.
func (led *Ledger) Report(to Audience) []Usage {
	var list []Usage
	for name, win := range led.windows {
		admitted, demand := &win.admitted, &win.demand
		if admitted.lifetime != admitted.lifetimeReported[to] || demand.lifetime != demand.lifetimeReported[to] {
			list = append(list, Usage{Account: name, Amount: admitted.lifetime, Asked: demand.lifetime})
			admitted.lifetimeReported[to], demand.lifetimeReported[to] = admitted.lifetime, demand.lifetime
		}
	}
	slices.SortFunc(list, compareUsage)
	return list
}

// LifetimeUsage returns what this daemon has admitted since it started, for a daemon to which it
// connects.
func (led *Ledger) LifetimeUsage() []Usage {
	var list []Usage
	for name, win := range led.windows {
		list = append(list, Usage{Account: name, Amount: win.admitted.lifetime, Asked: win.demand.lifetime})
	}
	slices.SortFunc(list, compareUsage)
	return list
}

// RemoteReport returns what this data centre has admitted since the previous report of this kind.
// It is used by the one daemon that sends reports to the remote data centres.
func (led *Ledger) RemoteReport() []Usage {
	var list []Usage
	for name, win := range led.windows {
		if win.admitted.unreportedToRemote != 0 || win.demand.unreportedToRemote != 0 {
			list = append(list, Usage{Account: name, Amount: win.admitted.unreportedToRemote, Asked: win.demand.unreportedToRemote})
			win.admitted.unreportedToRemote, win.demand.unreportedToRemote = 0, 0
		}
	}
	slices.SortFunc(list, compareUsage)
	return list
}

// MarkRemoteReported records usage of this data centre that another daemon has reported to the
// remote data centres. If that daemon stops, its successor reports the usage that is still
// unreported.
func (led *Ledger) MarkRemoteReported(usage []Usage) {
	for _, each := range usage {
		if win := led.windows[each.Account]; win != nil {
			win.admitted.unreportedToRemote -= each.Amount
			win.demand.unreportedToRemote -= each.Asked
		}
	}
}

// Totals returns the usage within the windows, for a daemon that has just started or was
// disconnected.
func (led *Ledger) Totals(now time.Time) []UsageByAge {
	return led.usageByAge(now, func(tl *tally) *yuccawindow.Sum { return &tl.all })
}

// CentreTotals returns the usage that this data centre has admitted within the windows, for a
// remote data centre that may have missed reports.
func (led *Ledger) CentreTotals(now time.Time) []UsageByAge {
	return led.usageByAge(now, func(tl *tally) *yuccawindow.Sum { return &tl.localCentre })
}

func (led *Ledger) usageByAge(now time.Time, sumOf func(*tally) *yuccawindow.Sum) []UsageByAge {
	var list []UsageByAge
	for name, win := range led.windows {
		led.advance(now, win)
		admitted, demand := sumOf(&win.admitted), sumOf(&win.demand)
		if admitted.Total() <= 0 && demand.Total() <= 0 {
			continue
		}
		ages := admitted.Ages()
		last := len(ages)
		for last > 0 && ages[last-1] == 0 {
			last--
		}
		list = append(list, UsageByAge{Account: name, Let: ages[:last], Asked: demand.Total()})
	}
	slices.SortFunc(list, func(a, b UsageByAge) int { return cmp.Compare(a.Account, b.Account) })
	return list
}

// DaemonTotals returns the usage that this daemon has admitted within the windows, for a daemon of
// its data centre to which it connects for the first time.
func (led *Ledger) DaemonTotals(now time.Time) []Usage {
	var list []Usage
	for name, win := range led.windows {
		led.advance(now, win)
		if admitted, demand := win.admitted.localDaemon.Total(), win.demand.localDaemon.Total(); admitted > 0 || demand > 0 {
			list = append(list, Usage{Account: name, Amount: admitted, Asked: demand})
		}
	}
	slices.SortFunc(list, compareUsage)
	return list
}

// RaiseTotals raises this daemon's totals to the totals of another daemon, for each account whose
// total is higher there. hasHistory reports whether the other daemon has usage history.
func (led *Ledger) RaiseTotals(now time.Time, totals []UsageByAge, hasHistory bool) {
	for _, each := range totals {
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.raiseAll(each.Let)
			win.demand.raiseAll([]int64{each.Asked})
		}
	}
	if hasHistory {
		led.withoutHistory = false
	}
}

// RaiseRemoteTotals raises this daemon's totals to the totals of a daemon of a remote data centre;
// that daemon must have usage history. centreTotals is the part of the totals that the remote data
// centre itself has admitted. It is recorded as usage of that data centre, so that it isn't counted
// again when that data centre reports it.
func (led *Ledger) RaiseRemoteTotals(now time.Time, centre yuccaid.Centre, totals, centreTotals []UsageByAge) {
	led.RaiseTotals(now, totals, true)
	for _, each := range centreTotals {
		if win := led.windowFor(now, each.Account); win != nil {
			win.admitted.raiseRemote(now, led.span(), centre, each.Let)
		}
	}
}

func compareUsage(a, b Usage) int {
	return cmp.Compare(a.Account, b.Account)
}
