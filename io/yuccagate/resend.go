package yuccagate

import (
	"maps"
	"math"
	"slices"
	"time"

	"yuccacleat/core/yuccabudget"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

// chargeResend decides whether the resend budget allows a request that has reached one target to be
// sent to another target. If so, it counts the resend.
func (gate *Gate) chargeResend(pool yuccaid.Pool) (dec yuccabudget.Decision) {
	gate.control.Call(func(now time.Time) { dec = gate.resendBudget.DecideResend(now, pool) })
	gate.metrics.resendDecided(dec.Allowed)
	return dec
}

// resendFields returns what is logged on a decision on a resend.
func resendFields(dec yuccabudget.Decision) []any {
	return []any{"resent", dec.Used, "limit", math.Round(10*dec.Limit) / 10, "among", dec.Daemons, "share", math.Round(1000*dec.Share) / 1000}
}

// seedReachedFor is how long a seed counts as reached after this daemon has last reached it, so that a seed that is
// started again counts all the while.
const seedReachedFor = 2 * time.Second

// resendFleet returns the daemons that share the allowance of resends. Unlike countDaemons, it counts daemons
// that have stopped: what they have resent is still in the window.
func (gate *Gate) resendFleet(now time.Time) yuccabudget.Fleet {
	visible, _ := gate.countDaemons(now)
	gate.noteReachedSeeds(now)
	flt := yuccabudget.Fleet{Seeds: len(gate.settings.Seeds), ReachedSeeds: len(gate.seedsReachedAt)}
	flt.Daemons = max(len(gate.peers.Candidates(gate.settings.Centre)), len(gate.peers.Live(gate.settings.Centre)))
	for _, centre := range gate.remoteCentres {
		flt.Daemons += centre.expected(now)
	}
	flt.Isolated = visible <= 1 && max(flt.Daemons, flt.Seeds) > 1
	return flt
}

// noteReachedSeeds records which seeds this daemon reaches, and drops those that it hasn't reached for some time.
func (gate *Gate) noteReachedSeeds(now time.Time) {
	for _, address := range gate.settings.Seeds {
		if gate.reachesSeed(now, address) {
			gate.seedsReachedAt[address] = now
		}
	}
	maps.DeleteFunc(gate.seedsReachedAt, func(address string, at time.Time) bool {
		return now.Sub(at) >= seedReachedFor || !slices.Contains(gate.settings.Seeds, address)
	})
}

// reachesSeed reports whether a seed is in this daemon's view, or in another data centre from which something was
// heard lately. Of the daemons there, only gateways are in the view.
func (gate *Gate) reachesSeed(now time.Time, address string) bool {
	if gate.peers.ReachesAddress(address) {
		return true
	}
	centre := gate.remoteCentres[gate.seedCentre(address)]
	return centre != nil && now.Sub(centre.receivedAt) < centreFreshFor
}

// seedCentre returns the data centre of a seed, or an empty name if it isn't known. It is remembered, since
// candidates in other data centres are forgotten.
func (gate *Gate) seedCentre(address string) yuccaid.Centre {
	if known := gate.seedCentres[address]; known != "" {
		return known
	}
	hasAddress := func(listing yuccapeer.Listing) bool { return listing.Address == address }
	for name := range gate.settings.Regions {
		if slices.ContainsFunc(gate.peers.Candidates(name), hasAddress) {
			gate.seedCentres[address] = name
		}
	}
	return gate.seedCentres[address]
}
