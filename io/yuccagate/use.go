package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/io/yuccawire"
)

const (
	// useRole names the choice of the daemon that speaks for its data centre. No pool has
	// the name, since names have no spaces.
	useRole = yuccaid.Pool("use of quotas")
	// useForPeer spaces the reports of use by how many peers get them: each report goes to
	// all, so their number would else grow with the square of the daemons.
	useForPeer = 10 * time.Millisecond
	// useWay is what the way of a report to the other data centres adds: two ticks, three
	// hops and the way between regions.
	useWay = 100 * time.Millisecond
	// wholeEvery is how often all that a data centre let in within the windows is told: casts
	// are lost with the connections that break, and a change of speaker loses some.
	wholeEvery = 2 * time.Second
	// firstPart is the part of quotas that a daemon uses before it has heard from others, for
	// some tenths of a second. What an account can be let in for meanwhile is bounded by what
	// it asks for; callers who come back after an outage are refused with a smaller part.
	firstPart = 0.15
	// silentUsed is the part of the silent daemons' quota that the larger side of a cut uses.
	silentUsed = 0.4
)

// admitted counts a request against its account's quota.
func (gate *Gate) admitted(now time.Time, req *request) *Problem {
	if req.account == nil {
		return nil
	}
	cost := req.account.Quota.Cost(req.caller.Charged)
	answer := gate.ledger.Admit(now, req.account.Name, cost, req.route.Rank)
	req.over = answer.OverQuota
	if answer.Verdict != yuccaquota.Admitted {
		gate.metrics.quota(answer.Verdict)
		req.told("quota", "verdict", answer.Verdict, "cost", int64(cost), "used", answer.Used, "limit", answer.Limit, "mine", answer.UsedByDaemon, "asked", answer.Demand, "rush", answer.DemandLimit, "part", gate.ledger.QuotaShare(), "daemons", gate.ledger.Daemons())
		return &Problem{Kind: KindQuota, Detail: string(answer.Verdict), RetryAfter: answer.RetryAfter}
	}
	return nil
}

// notRun gives back what a request counted that ran nowhere.
func (gate *Gate) notRun(req *request) {
	if req.account == nil {
		return
	}
	gate.control.Post(func(now time.Time) {
		if !req.counted {
			return
		}
		gate.ledger.Refund(now, req.account.Name, req.account.Quota.Cost(req.caller.Charged))
	})
}

// tickUse reports what accounts were let in for, and sets the part of the quotas that this
// daemon may use.
func (gate *Gate) tickUse(now time.Time) {
	visible, total := gate.fleet(now)
	part := gate.part(now, visible, total)
	if part != gate.ledger.QuotaShare() {
		gate.log.belief("part of the quotas", "part", part, "before", gate.ledger.QuotaShare(), "visible", visible, "total", total)
	}
	peers := len(gate.peers.Live(gate.settings.Centre)) - 1
	every := time.Duration(peers) * useForPeer
	spacing := castSpacing(total)
	gate.ledger.SetFleet(now, part, total, every+spacing+useWay)
	if now.Sub(gate.useTold) < every {
		return
	}
	gate.useTold = now
	if spent := gate.ledger.Report(); len(spent) > 0 {
		gate.nearby(yuccawire.KindUse, yuccawire.Use{Spent: spent})
	}
	gate.castUse(now, spacing)
}

// part returns the part of the quotas that this daemon uses. One that comes back to a fleet
// that goes on has been told what the others let in; with a first part it would refuse
// accounts that have room until it has met everybody.
func (gate *Gate) part(now time.Time, visible, total int) float64 {
	switch {
	case gate.settled || len(gate.settings.Seeds) == 0:
		return partOf(visible, total)
	case !gate.settings.FirstStart && !gate.ledger.WithoutHistory(now):
		return 1
	}
	return firstPart
}

// partOf returns the part of the quotas for a daemon that hears from so many of all.
//
// Cut off from the others, a daemon can't know what they let in. If both sides of a cut used
// the whole quota, an account would get twice as much; so a side uses its part. The larger
// one also uses most of what belongs to the silent ones, since more daemons fall silent
// because they died than because they were cut off.
func partOf(visible, total int) float64 {
	if 2*visible <= total {
		return float64(visible) / float64(total)
	}
	return (float64(visible) + silentUsed*float64(total-visible)) / float64(total)
}

// castUse tells the other data centres, if it is this daemon that speaks for its own.
func (gate *Gate) castUse(now time.Time, spacing time.Duration) {
	if now.Sub(gate.useCast) < spacing {
		return
	}
	speaker, found := gate.peers.Leader(useRole)
	if !found || speaker.Incarnation != gate.inc {
		return
	}
	spent := gate.ledger.RemoteReport()
	quiet := max(castLatest, spacing)
	if now.Sub(gate.began) < centreAwaited {
		// Data centres that start together find one another by these.
		quiet = spacing
	}
	if len(spent) == 0 && !gate.wholeDue && now.Sub(gate.useCast) < quiet {
		return
	}
	gate.useCast = now
	message := yuccawire.Cast{Topic: yuccawire.TopicUse, Use: spent, Daemons: len(gate.peers.Live(gate.settings.Centre))}
	gate.cast(message)
	if gate.wholeDue || len(spent) > 0 && now.Sub(gate.wholeAt) >= wholeEvery {
		gate.wholeDue, gate.wholeAt = false, now
		message.Use, message.Whole = nil, gate.ledger.CentreTotals(now)
		gate.cast(message)
	}
}

// onUse takes a report of one daemon. What one nearby let in before the first connection to
// it was reported to nobody here; if it has forgotten what was before, that is all it knows.
// What another data centre lets in comes with casts, unless this one has forgotten it.
func (gate *Gate) onUse(now time.Time, from yuccaid.Incarnation, message yuccawire.Use) {
	peer, found := gate.peers.Find(from.VM)
	away := found && peer.Centre != gate.settings.Centre
	switch {
	case !message.Totals:
		gate.ledger.ApplyReport(now, from, message.Spent)
	case away && message.Knows:
		gate.ledger.RaiseRemoteTotals(now, peer.Centre, message.All, message.Home)
	case away:
	default:
		gate.meetUse(now, from, message)
	}
}

// meetUse takes what a daemon nearby tells when a connection to it comes up. The totals of
// one that remembers hold what it let in itself, and so may those that others told.
func (gate *Gate) meetUse(now time.Time, from yuccaid.Incarnation, message yuccawire.Use) {
	within := message.Mine
	if message.Knows && !gate.ledger.ConnectedBefore(from) {
		within = nil
	}
	gate.ledger.PeerConnected(now, from, message.Spent, within)
	if message.Knows {
		gate.ledger.RaiseTotals(now, message.All, true)
	}
}

func (gate *Gate) onCentreUse(now time.Time, message yuccawire.Cast) {
	before := gate.centres[message.Centre]
	if before == nil || now.Sub(before.heard) > centreFresh {
		gate.wholeDue = true
	}
	gate.centres[message.Centre] = &centre{daemons: message.Daemons, heard: now}
	gate.ledger.ApplyRemoteReport(now, message.Centre, message.Use)
	gate.ledger.ApplyRemoteTotals(now, message.Centre, message.Whole)
}
