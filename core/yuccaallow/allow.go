package yuccaallow

import (
	"slices"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// Exclusion is why a request may not use a target, as it appears in logs and metrics.
type Exclusion string

// The exclusions that don't change from moment to moment.
const (
	// Allowed means that the request may use the target.
	Allowed Exclusion = ""
	// Unregistered means that the target isn't registered.
	Unregistered Exclusion = "unregistered"
	// Leaving means that the target accepts no new requests.
	Leaving Exclusion = "leaving"
	// Evacuated means that the target's data centre is evacuated.
	Evacuated Exclusion = "evacuated"
	// OtherRegion means that the request may not be served in the target's region.
	OtherRegion Exclusion = "region"
	// OtherVersion means that another version began the request's stream.
	OtherVersion Exclusion = "version"
	// FailedBefore means that the request has failed on the target.
	FailedBefore Exclusion = "failedBefore"
)

// Limits is what a request requires of its targets. The zero value allows every target. Equal limits are
// equal values, so that Limits can be the key of a map.
type Limits struct {
	// Regions are the regions in which the request may be served.
	Regions yuccaregion.Set
	// Version is the version of the targets that may serve the request, empty if any target may.
	Version yuccaid.Version
}

// Any reports whether the limits allow every target.
func (lim Limits) Any() bool { return lim == Limits{} }

// Exclusion returns why the limits exclude targets of a region and a version, Allowed if they don't.
func (lim Limits) Exclusion(region yuccaid.Region, version yuccaid.Version) Exclusion {
	switch {
	case !lim.Regions.Allows(region):
		return OtherRegion
	case lim.Version != "" && lim.Version != version:
		return OtherVersion
	}
	return Allowed
}

// Target is what the decision needs to know of a registered target.
type Target struct {
	Name    yuccaid.Target
	Region  yuccaid.Region
	Version yuccaid.Version
	// Leaving reports whether the target accepts no new requests, and Evacuated whether its data centre is
	// evacuated.
	Leaving   bool
	Evacuated bool
}

// Check returns why a request with the given limits, which has failed on some targets, may not use a
// target, or Allowed.
func Check(lim Limits, failed []yuccaid.Target, tgt Target) Exclusion {
	switch {
	case tgt.Leaving:
		return Leaving
	case tgt.Evacuated:
		return Evacuated
	}
	if why := lim.Exclusion(tgt.Region, tgt.Version); why != Allowed {
		return why
	}
	if slices.Contains(failed, tgt.Name) {
		return FailedBefore
	}
	return Allowed
}
