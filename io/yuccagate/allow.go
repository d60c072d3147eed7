package yuccagate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
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

// limitPlacements applies a new configuration to the requests that wait: those that may be served in other
// regions than before are submitted again.
func (gate *Gate) limitPlacements(now time.Time) {
	for _, plc := range gate.placements {
		regions := plc.req.allowedRegions()
		if plc.running || regions == plc.request.Regions {
			continue
		}
		plc.req.logDecision("regions", "before", plc.request.Regions.String(), "now", regions.String(), "number", gate.configurationNumber())
		sched := gate.scheduler(now, plc.pool)
		gate.withdraw(now, sched, plc)
		plc.request.Regions = regions
		gate.submit(now, sched, plc)
	}
}

// logEvacuations notes which data centres are evacuated, and logs them if they have changed since the last call.
func (gate *Gate) logEvacuations(now time.Time) {
	evacuated := gate.roster.EvacuatedCentres()
	gate.evacuations.Update(now, evacuated)
	if maps.Equal(evacuated, gate.loggedEvacuated) {
		return
	}
	gate.loggedEvacuated = evacuated
	var unknown []yuccaid.Centre
	for centre := range evacuated {
		if gate.region(centre) == "" {
			unknown = append(unknown, centre)
		}
	}
	gate.log.stateChange("evacuations", "evacuated", slices.Sorted(maps.Keys(evacuated)), "unknown", unknown, "revision", gate.platformRevision)
}

// region returns the region of a data centre, empty if the settings don't name the data centre.
func (gate *Gate) region(centre yuccaid.Centre) yuccaid.Region {
	return gate.settings.Regions[centre]
}

// limitsOf returns what a request requires of its targets.
func limitsOf(request *yuccagrant.Request) yuccaallow.Limits {
	return yuccaallow.Limits{Regions: request.Regions, Version: request.Version}
}

// exclusion returns why a request may not use a target, as far as this daemon knows, or yuccaallow.Allowed.
func (gate *Gate) exclusion(request *yuccagrant.Request, entry yuccaroster.Entry) yuccaallow.Exclusion {
	return yuccaallow.Check(limitsOf(request), request.FailedTargets, gate.allowTarget(entry))
}

// allowTarget returns what decides whether requests may use a registered target.
func (gate *Gate) allowTarget(entry yuccaroster.Entry) yuccaallow.Target {
	return yuccaallow.Target{
		Name: entry.Target, Region: gate.region(entry.Centre), Version: entry.StreamVersion(),
		Leaving: entry.Leaving, Evacuated: gate.roster.Evacuated(entry.Centre),
	}
}

// grantExclusion returns why a placement may not use a granted target, or yuccaallow.Allowed. The leader alone
// decides whether a request goes to a target again on which it has failed.
func (gate *Gate) grantExclusion(plc *placement, target yuccaid.Target) yuccaallow.Exclusion {
	entry, found := gate.roster.Find(target)
	if !found {
		return yuccaallow.Unregistered
	}
	if why := gate.exclusion(&plc.request, entry); why != yuccaallow.FailedBefore {
		return why
	}
	return yuccaallow.Allowed
}

// excludedTexts are texts for the log on how many targets of a pool requests may not use. Many requests may be
// refused at once for the same reasons.
type excludedTexts struct {
	rosterVersion uint64
	texts         map[excludedKey]string
}

type excludedKey struct {
	pool yuccaid.Pool
	lim  yuccaallow.Limits
}

// excludedTargets returns how many targets of its pool a placement may not use, by reason, as a text for the
// log. Targets on which the request has failed aren't counted.
func (gate *Gate) excludedTargets(plc *placement) string {
	if version := gate.roster.Version(); gate.exclusions.texts == nil || gate.exclusions.rosterVersion != version {
		gate.exclusions = excludedTexts{rosterVersion: version, texts: make(map[excludedKey]string)}
	}
	key := excludedKey{plc.pool, limitsOf(&plc.request)}
	text, known := gate.exclusions.texts[key]
	if !known {
		text = gate.describeExcluded(key)
		gate.exclusions.texts[key] = text
	}
	return text
}

// describeExcluded returns the result of excludedTargets without the texts that have been made.
func (gate *Gate) describeExcluded(key excludedKey) string {
	counts := make(map[yuccaallow.Exclusion]int)
	for _, entry := range gate.roster.Targets() {
		if why := yuccaallow.Check(key.lim, nil, gate.allowTarget(entry)); entry.Pool == key.pool && why != yuccaallow.Allowed {
			counts[why]++
		}
	}
	var list []string
	for _, why := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, fmt.Sprintf("%s %d", why, counts[why]))
	}
	return strings.Join(list, ", ")
}

// fetchAddress returns the address of the target from which the target of a placement fetches parts of the
// prompt, or an empty text if it fetches none. It may not fetch from where the request may not be served, nor
// from an evacuated data centre.
func (gate *Gate) fetchAddress(plc *placement, from yuccaid.Target) string {
	entry, found := gate.roster.Find(from)
	if !found || gate.roster.Evacuated(entry.Centre) || !plc.request.Regions.Allows(gate.region(entry.Centre)) {
		return ""
	}
	return entry.Address
}
