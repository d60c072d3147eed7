package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/io/yuccawire"
)

const (
	// usageRole stands for the name of a pool when the data centre chooses the daemon that casts
	// its usage to the other data centres, because that daemon is chosen in the same way as the
	// leader of a pool. The role can't collide with a pool, since names of pools have no spaces.
	usageRole = yuccaid.Pool("use of quotas")
	// usageInterval is the time between two reports of usage to the daemon that casts the usage of the
	// data centre.
	usageInterval = 300 * time.Millisecond
	// usageIntervalPerPeer, multiplied by the number of peers in the data centre, is the time between
	// two reports of usage to all of these peers. With a fixed interval the number of messages would
	// grow with the square of the number of daemons. The peers need the reports only to decide
	// without the account's leader, or when they become its leader.
	usageIntervalPerPeer = 20 * time.Millisecond
	// usageCheckInterval is the time between two checks of whether a report or a cast is due, and of
	// the share of the quotas that this daemon may use.
	usageCheckInterval = 100 * time.Millisecond
	// remoteUsageDelay is the part of the time that a report takes to the other data centres which
	// doesn't come from the intervals between reports. It covers two ticks, three hops and the
	// latency between regions.
	remoteUsageDelay = 100 * time.Millisecond
	// fullUsageInterval is the shortest time between two casts of all usage of a data centre within
	// the quotas' windows. These full casts are needed because casts are lost when connections
	// break and when another daemon takes over casting.
	fullUsageInterval = 2 * time.Second
	// startupShare is the share of quotas that a daemon uses for some tenths of a second after its
	// start, before it has received the usage of the other daemons. The share may be this large
	// because in so short a time an account uses no more than its callers request. With a smaller
	// share, callers that retry after an outage would be refused.
	startupShare = 0.15
	// unreachableShareUsed is the fraction of the unreachable daemons' share of the quotas that
	// the larger side of a network partition uses.
	unreachableShareUsed = 0.4
)

// tickUsage sets the share of the quotas that this daemon may use, and reports usage of accounts
// to the other daemons.
func (gate *Gate) tickUsage(now time.Time) {
	if now.Sub(gate.usageCheckedAt) < usageCheckInterval {
		return
	}
	gate.usageCheckedAt = now
	visible, total := gate.countDaemons(now)
	quotaShare := gate.quotaShare(now, visible, total)
	if quotaShare != gate.ledger.QuotaShare() {
		gate.log.stateChange("part of the quotas", "part", quotaShare, "before", gate.ledger.QuotaShare(), "visible", visible, "total", total)
	}
	peers := len(gate.peers.Live(gate.settings.Centre)) - 1
	interval := time.Duration(peers) * usageIntervalPerPeer
	castDelay := usageCheckInterval + castSpacing(total) + remoteUsageDelay
	gate.ledger.SetFleet(now, yuccaquota.Fleet{
		Share: quotaShare, Daemons: total, Leaders: gate.countCentres(now),
		ReportDelay: min(interval, usageInterval) + castDelay, AloneReportDelay: interval + castDelay,
	})
	gate.reportSeeds(now)
	gate.resendBudget.SetFleet(now, gate.resendFleet(now))
	gate.reportUsage(now, interval)
	gate.castUsage(now, castSpacing(total))
}

// reportUsage reports this daemon's usage to the daemon that casts the usage of the data centre and,
// less often, to all other daemons there.
func (gate *Gate) reportUsage(now time.Time, interval time.Duration) {
	caster, found := gate.peers.Leader(usageRole)
	if found && caster.Incarnation != gate.incarnation && now.Sub(gate.usageReportedAt) >= min(interval, usageInterval) {
		gate.usageReportedAt = now
		if usage := gate.ledger.Report(yuccaquota.RemoteReporter); len(usage) > 0 {
			gate.send(caster.Incarnation, yuccawire.KindUse, yuccawire.Use{Spent: usage})
		}
	}
	if now.Sub(gate.usageSpreadAt) >= interval {
		gate.usageSpreadAt = now
		if usage := gate.ledger.Report(yuccaquota.DataCentre); len(usage) > 0 {
			gate.sendLocal(yuccawire.KindUse, yuccawire.Use{Spent: usage})
		}
	}
}

// quotaShare returns the share of the quotas that this daemon uses. A daemon that has settled or
// has no seeds uses reachableShare. A daemon that restarts in a running fleet and has received the
// usage of the other daemons uses the whole quota until it has settled, because with startupShare
// it would refuse accounts within their quotas until it is connected to all daemons. Any other
// daemon uses startupShare.
func (gate *Gate) quotaShare(now time.Time, visible, total int) float64 {
	switch {
	case gate.settled || len(gate.settings.Seeds) == 0:
		return reachableShare(visible, total)
	case !gate.settings.FirstStart && !gate.ledger.WithoutHistory(now):
		return 1
	}
	return startupShare
}

// reachableShare returns the share of the quotas for a daemon that has recent state from visible
// daemons out of total, itself included.
//
// A daemon on one side of a network partition can't know what the other side admits. If both sides
// used the whole quota, an account would get twice its quota, so each side uses only the share of
// its daemons. The larger side also uses unreachableShareUsed of the unreachable daemons' share,
// because unreachable daemons have more often ended than been cut off by a partition.
func reachableShare(visible, total int) float64 {
	if 2*visible <= total {
		return float64(visible) / float64(total)
	}
	return (float64(visible) + unreachableShareUsed*float64(total-visible)) / float64(total)
}

// castUsage sends this data centre's usage to the other data centres if this daemon is the daemon
// chosen for usageRole.
func (gate *Gate) castUsage(now time.Time, spacing time.Duration) {
	if now.Sub(gate.usageCastAt) < spacing {
		return
	}
	sender, found := gate.peers.Leader(usageRole)
	if !found || sender.Incarnation != gate.incarnation {
		return
	}
	usage := gate.ledger.RemoteReport()
	maxInterval := max(castMaxInterval, spacing)
	if now.Sub(gate.startedAt) < centreStartupWait {
		// Data centres that start together learn of one another from these casts, so they are
		// sent more often at first.
		maxInterval = spacing
	}
	if len(usage) == 0 && !gate.fullUsageDue && now.Sub(gate.usageCastAt) < maxInterval {
		return
	}
	gate.usageCastAt = now
	message := yuccawire.Cast{Topic: yuccawire.TopicUse, Use: usage, Daemons: len(gate.peers.Live(gate.settings.Centre))}
	gate.cast(message)
	if gate.fullUsageDue || len(usage) > 0 && now.Sub(gate.fullUsageAt) >= fullUsageInterval {
		gate.fullUsageDue, gate.fullUsageAt = false, now
		message.Use, message.Whole = nil, gate.ledger.CentreTotals(now)
		gate.cast(message)
	}
}

// onUse handles usage that one other daemon sends: a report, or the totals that the peer sends when
// a connection is opened. Totals of a peer in this data centre are needed because the peer didn't
// report to this daemon what it admitted before the connection. If that peer has no usage history,
// its totals contain nothing else. Usage of another data centre arrives with casts. Totals of a
// peer there are needed only for what this daemon lost in a restart, so they are used only if that
// peer has usage history.
func (gate *Gate) onUse(now time.Time, from yuccaid.Incarnation, message yuccawire.Use) {
	peer, found := gate.peers.Find(from.VM)
	remote := found && peer.Centre != gate.settings.Centre
	switch {
	case !message.Totals:
		gate.ledger.ApplyReport(now, from, message.Spent)
	case remote && message.Knows:
		gate.ledger.RaiseRemoteTotals(now, peer.Centre, message.All, message.Home)
	case remote:
	default:
		gate.mergeTotals(now, from, message)
	}
}

// mergeTotals merges the totals that a peer of this data centre sends when a connection to the peer
// is opened. If the peer has usage history, its totals of all daemons (message.All) include the
// peer's own usage (message.Mine), and may include usage that other daemons have already reported
// to this daemon. So when this daemon connects to such a peer for the first time, message.Mine is
// not counted separately.
func (gate *Gate) mergeTotals(now time.Time, from yuccaid.Incarnation, message yuccawire.Use) {
	daemonTotals := message.Mine
	if message.Knows && !gate.ledger.ConnectedBefore(from) {
		daemonTotals = nil
	}
	gate.ledger.PeerConnected(now, from, message.Spent, daemonTotals)
	if message.Knows {
		gate.ledger.RaiseTotals(now, message.All, true)
	}
}

// onCentreUse handles a cast of another data centre's usage. If that data centre is new or has sent
// nothing for centreFreshFor, it may have missed usage of this data centre, so all of that usage is
// cast again.
func (gate *Gate) onCentreUse(now time.Time, message yuccawire.Cast) {
	before := gate.remoteCentres[message.Centre]
	if before == nil || now.Sub(before.receivedAt) > centreFreshFor {
		gate.fullUsageDue = true
	}
	gate.remoteCentres[message.Centre] = before.updated(now, message.Daemons)
	gate.ledger.ApplyRemoteReport(now, message.Centre, message.Use)
	gate.ledger.ApplyRemoteTotals(now, message.Centre, message.Whole)
}
