package yuccagate

import (
	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

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
