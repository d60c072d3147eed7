package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroute"
)

// allowedRegions returns the regions in which the request may be served: those that both the configuration
// under which it arrived and the one in force allow.
//
// A configuration that takes a region away applies to what is sent from then on. One that adds a region
// doesn't apply to requests that arrived before, since their callers were promised the former ones.
func (req *callerRequest) allowedRegions() yuccaregion.Set {
	allowed := yuccaroute.AllowedRegions(req.route, req.account)
	if current := req.gate.tables.Load(); current != req.table {
		allowed = allowed.Intersect(current.AllowedRegions(req.outgoing.Host, req.path, req.accountName()))
	}
	return allowed
}

// resubmitForRegions applies a new configuration to the requests that wait: those that may be served in
// other regions than before are submitted again.
func (gate *Gate) resubmitForRegions(now time.Time) {
	for _, plc := range gate.placements {
		regions := plc.req.allowedRegions()
		if plc.running || regions == plc.request.Regions {
			continue
		}
		before := plc.request.Regions
		plc.req.logDecision("regions", "before", before.String(), "now", regions.String(), "number", gate.configurationNumber())
		sched := gate.scheduler(now, plc.pool)
		gate.withdraw(now, sched, plc)
		plc.request.Regions = regions
		gate.submit(now, sched, plc)
	}
}

// region returns the region of a data centre, empty if the settings don't name the data centre.
func (gate *Gate) region(centre yuccaid.Centre) yuccaid.Region {
	return gate.settings.Regions[centre]
}
