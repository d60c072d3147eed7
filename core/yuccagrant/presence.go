package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// group is what the limits of requests tell targets apart by. Limits allow all targets of a group or none.
type group struct {
	region  yuccaid.Region
	version yuccaid.Version
}

// presence records which groups and regions have targets, and since when a region has none.
type presence struct {
	// groups are the groups of the targets, by targetState.groupIndex.
	groups []group
	// regions counts the targets of each region.
	regions map[yuccaid.Region]int
	// leftAt holds, for each region without targets that had some, when the last one left. Targets that
	// left because their data centre was evacuated don't count: they aren't expected back soon.
	leftAt map[yuccaid.Region]time.Time
	// emptySince is the time since which there has been no target, zero while there are some.
	emptySince time.Time
}

// update records the targets that there are now, in place of the former ones.
func (pres *presence) update(now time.Time, former map[yuccaid.Target]*targetState, targets []*targetState,
	evacuated map[yuccaid.Centre]bool,
) {
	before := pres.regions
	pres.count(targets)
	expected := len(former) == 0
	for _, tgt := range former {
		if evacuated[tgt.Centre] {
			continue
		}
		expected = true
		if before[tgt.Region] > 0 && pres.regions[tgt.Region] == 0 {
			pres.recordLeft(now, tgt.Region)
		}
	}
	switch {
	case len(targets) > 0:
		pres.emptySince = time.Time{}
	case !expected:
		pres.emptySince = now.Add(-noTargetGrace)
	case pres.emptySince.IsZero():
		pres.emptySince = now
	}
}

// count divides the targets into groups and counts those of each region.
func (pres *presence) count(targets []*targetState) {
	pres.groups, pres.regions = nil, make(map[yuccaid.Region]int)
	index := make(map[group]int)
	for _, tgt := range targets {
		grp := group{tgt.Region, tgt.Version}
		at, found := index[grp]
		if !found {
			at = len(pres.groups)
			index[grp] = at
			pres.groups = append(pres.groups, grp)
		}
		tgt.groupIndex = at
		pres.regions[tgt.Region]++
		delete(pres.leftAt, tgt.Region)
	}
}

// recordLeft records that the last target of a region has left.
func (pres *presence) recordLeft(now time.Time, region yuccaid.Region) {
	if pres.leftAt == nil {
		pres.leftAt = make(map[yuccaid.Region]time.Time)
	}
	pres.leftAt[region] = now
}

// missing returns why no target will soon be one that the limits allow, or an empty reason if there is one
// or one is expected.
//
// A daemon that has just started may receive requests shortly before it learns of its targets.
// After an outage of the platform, with which targets register, all registrations may be missing
// until the targets renew them. Requests that arrive in that time are queued, because a late
// answer is better than a refusal. It is the same where the targets of all regions in which a request may
// be served have left. A version isn't waited for while other targets are there.
func (pres *presence) missing(now time.Time, lim yuccaallow.Limits) Reason {
	switch {
	case lim.Regions.Empty():
		return ReasonNoRegion
	case len(pres.groups) == 0 && now.Sub(pres.emptySince) >= noTargetGrace:
		return ReasonNoTarget
	case len(pres.groups) == 0 || lim.Any():
		return ""
	}
	inRegions := false
	for _, grp := range pres.groups {
		switch lim.Exclusion(grp.region, grp.version) {
		case yuccaallow.Allowed:
			return ""
		case yuccaallow.OtherVersion:
			inRegions = true
		}
	}
	if inRegions {
		return ReasonNoVersion
	}
	for region, leftAt := range pres.leftAt {
		if lim.Regions.Allows(region) && now.Sub(leftAt) < noTargetGrace {
			return ""
		}
	}
	return ReasonNoRegion
}

// refuseMissing refuses the waiting requests whose targets have left. Their callers would otherwise wait in
// vain until their deadlines.
func (lead *Leader) refuseMissing(now time.Time, dec *Decisions) {
	left := make(map[Reason][]*queueEntry)
	for _, entry := range lead.queue.byID {
		if reason := lead.presence.missing(now, entry.limits()); reason != "" {
			left[reason] = append(left[reason], entry)
		}
	}
	for _, reason := range []Reason{ReasonNoRegion, ReasonNoTarget, ReasonNoVersion} {
		lead.refuseAll(now, left[reason], reason, dec)
	}
}
