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
	// firstPart is the part of quotas that a daemon uses before it has heard from others, for
	// some tenths of a second. What an account can be let in for meanwhile is bounded by what
	// it asks for; callers who come back after an outage are refused with a smaller part.
	firstPart = 1.0 / 4
	// silentUsed is the part of the silent daemons' quota that the larger side of a cut uses.
	silentUsed = 0.4
)

// admitted counts a request against its account's quota.
func (gate *Gate) admitted(now time.Time, req *request) *Problem {
	if req.account == nil {
		return nil
	}
	cost := req.account.Quota.Cost(req.caller.Charged)
	back, verdict := gate.ledger.Take(now, req.account.Name, cost, req.route.Rank)
	if verdict != yuccaquota.Taken {
		return &Problem{Kind: KindQuota, Detail: string(verdict), Back: back}
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
		gate.ledger.Return(now, req.account.Name, req.account.Quota.Cost(req.caller.Charged))
	})
}

// tickUse reports what accounts were let in for, and sets the part of the quotas that this
// daemon may use.
func (gate *Gate) tickUse(now time.Time) {
	part := firstPart
	visible, total := gate.fleet(now)
	if gate.settled || len(gate.settings.Seeds) == 0 {
		part = partOf(visible, total)
	}
	if part != gate.ledger.Part() {
		gate.log.belief("part of the quotas", "part", part, "before", gate.ledger.Part(), "visible", visible, "total", total)
	}
	peers := len(gate.peers.Live(gate.settings.Centre)) - 1
	every := time.Duration(peers) * useForPeer
	gate.ledger.SetFleet(part, total, every+castEvery+useWay)
	if now.Sub(gate.useTold) < every {
		return
	}
	gate.useTold = now
	if spent := gate.ledger.Report(); len(spent) > 0 {
		gate.nearby(yuccawire.KindUse, yuccawire.Use{Spent: spent})
	}
	gate.castUse(now)
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
func (gate *Gate) castUse(now time.Time) {
	if now.Sub(gate.useCast) < castEvery {
		return
	}
	speaker, found := gate.peers.Leader(useRole)
	if !found || speaker.Incarnation != gate.inc {
		return
	}
	spent := gate.ledger.ReportAway()
	if len(spent) == 0 && now.Sub(gate.useCast) < castLatest {
		return
	}
	gate.useCast = now
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicUse, Use: spent, Daemons: len(gate.peers.Live(gate.settings.Centre))})
}

func (gate *Gate) onUse(now time.Time, message yuccawire.Use) {
	if message.Totals {
		gate.ledger.Raise(now, message.Spent, message.Knows)
		return
	}
	gate.ledger.Heard(now, message.Spent)
}

func (gate *Gate) onCentreUse(now time.Time, message yuccawire.Cast) {
	gate.centres[message.Centre] = &centre{daemons: message.Daemons, heard: now}
	gate.ledger.HeardAway(now, message.Use)
}
