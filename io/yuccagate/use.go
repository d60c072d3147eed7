package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/io/yuccawire"
)

const (
	// usageRole is the key under which the data centre chooses the daemon that casts its usage
	// to the others. No pool has this name, since names of pools have no spaces.
	usageRole = yuccaid.Pool("use of quotas")
	// usageIntervalPerPeer lengthens the time between reports of usage with the number of
	// peers, because each report goes to all peers and their number would otherwise grow with
	// the square of the number of daemons.
	usageIntervalPerPeer = 10 * time.Millisecond
	// remoteUsageDelay is the time that a report takes to the other data centres besides the
	// intervals between reports: two ticks, three hops and the latency between regions.
	remoteUsageDelay = 100 * time.Millisecond
	// fullUsageInterval is the time between two casts of all usage of a data centre within the
	// quotas' windows, because casts are lost when connections break and when another daemon
	// takes over casting.
	fullUsageInterval = 2 * time.Second
	// startupShare is the share of quotas that a daemon uses before it has received the usage
	// of others, for some tenths of a second. During that time an account's usage is bounded by
	// what it requests. With a smaller share, callers that retry after an outage would be
	// refused.
	startupShare = 0.15
	// silentShareUsed is the fraction of the unreachable daemons' share that the larger side of
	// a network partition uses.
	silentShareUsed = 0.4
)

// chargeQuota charges a request to its account's quota, or returns the problem if the quota
// refuses it.
func (gate *Gate) chargeQuota(now time.Time, req *callerRequest) *Problem {
	if req.account == nil {
		return nil
	}
	cost := req.account.Quota.Cost(req.info.Charged)
	answer := gate.ledger.Admit(now, req.account.Name, cost, req.route.Rank)
	req.overQuota = answer.OverQuota
	if answer.Verdict != yuccaquota.Admitted {
		gate.metrics.quotaRefused(answer.Verdict)
		req.logDecision("quota", "verdict", answer.Verdict, "cost", int64(cost), "used", answer.Used, "limit", answer.Limit, "mine", answer.UsedByDaemon, "asked", answer.Demand, "rush", answer.DemandLimit, "part", gate.ledger.QuotaShare(), "daemons", gate.ledger.Daemons())
		return &Problem{Kind: KindQuota, Detail: string(answer.Verdict), RetryAfter: answer.RetryAfter}
	}
	return nil
}

// refundQuota returns the charge of a request that did not run.
func (gate *Gate) refundQuota(req *callerRequest) {
	if req.account == nil {
		return
	}
	gate.control.Post(func(now time.Time) {
		if !req.charged {
			return
		}
		gate.ledger.Refund(now, req.account.Name, req.account.Quota.Cost(req.info.Charged))
	})
}

// tickUsage reports usage of accounts to the other daemons, and sets the share of the quotas
// that this daemon may use.
func (gate *Gate) tickUsage(now time.Time) {
	visible, total := gate.countDaemons(now)
	quotaShare := gate.quotaShare(now, visible, total)
	if quotaShare != gate.ledger.QuotaShare() {
		gate.log.stateChange("part of the quotas", "part", quotaShare, "before", gate.ledger.QuotaShare(), "visible", visible, "total", total)
	}
	peers := len(gate.peers.Live(gate.settings.Centre)) - 1
	interval := time.Duration(peers) * usageIntervalPerPeer
	spacing := castSpacing(total)
	gate.ledger.SetFleet(now, quotaShare, total, interval+spacing+remoteUsageDelay)
	if now.Sub(gate.usageReportedAt) < interval {
		return
	}
	gate.usageReportedAt = now
	if usage := gate.ledger.Report(); len(usage) > 0 {
		gate.sendLocal(yuccawire.KindUse, yuccawire.Use{Spent: usage})
	}
	gate.castUsage(now, spacing)
}

// quotaShare returns the share of the quotas that this daemon uses. A daemon that restarts in a
// running fleet and has received the usage of the others uses the whole quota; with
// startupShare it would refuse accounts within their quotas until it is connected to all
// daemons.
func (gate *Gate) quotaShare(now time.Time, visible, total int) float64 {
	switch {
	case gate.settled || len(gate.settings.Seeds) == 0:
		return shareOf(visible, total)
	case !gate.settings.FirstStart && !gate.ledger.WithoutHistory(now):
		return 1
	}
	return startupShare
}

// shareOf returns the share of the quotas for a daemon that has recent state from the given
// number of all daemons.
//
// A daemon on one side of a network partition can't know what the other side admits. If both
// sides used the whole quota, an account would get twice as much, so each side uses its share.
// The larger side also uses silentShareUsed of the unreachable daemons' share, because more
// daemons are unreachable because they died than because of a partition.
func shareOf(visible, total int) float64 {
	if 2*visible <= total {
		return float64(visible) / float64(total)
	}
	return (float64(visible) + silentShareUsed*float64(total-visible)) / float64(total)
}

// castUsage sends this data centre's usage to the others, if this daemon is the one that does
// so.
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
		// Data centres that start together learn of one another from these casts.
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

// onUse handles a report of usage from one daemon. A daemon of this data centre sends totals
// when a connection to it is opened, because what it admitted before was not reported here; if
// it has no usage history, that is all it knows. Usage of another data centre arrives with
// casts. The totals of its daemons are only needed for what this daemon lost in a restart, so
// they are used only if the sender has usage history.
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

// mergeTotals merges the totals that a local daemon sends when a connection to it is opened. If
// that daemon has usage history, its totals include its own usage, and may include usage that
// other daemons have reported already.
func (gate *Gate) mergeTotals(now time.Time, from yuccaid.Incarnation, message yuccawire.Use) {
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
	before := gate.remoteCentres[message.Centre]
	if before == nil || now.Sub(before.receivedAt) > centreFreshFor {
		gate.fullUsageDue = true
	}
	gate.remoteCentres[message.Centre] = &remoteCentre{daemons: message.Daemons, receivedAt: now}
	gate.ledger.ApplyRemoteReport(now, message.Centre, message.Use)
	gate.ledger.ApplyRemoteTotals(now, message.Centre, message.Whole)
}
