package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// The exclusions that change from moment to moment.
const (
	// Full means that the target has as many requests as it may have.
	Full yuccaallow.Exclusion = "full"
	// BackingOff means that the target gets no requests for a while after a failure, or while a run is
	// overdue, or one at a time after several failures.
	BackingOff yuccaallow.Exclusion = "backingOff"
	// Cold means that the target is or may be cold and would get more than it may in a second.
	Cold yuccaallow.Exclusion = "cold"
	// Untried means that the target is new and left to the leader of its data centre.
	Untried yuccaallow.Exclusion = "untried"
	// Window means that the target hasn't begun to answer what it got, and what it can take isn't known.
	Window yuccaallow.Exclusion = "window"
)

// mayServe reports whether a request may use the target once it has a free slot.
func (tgt *targetState) mayServe(req *Request) bool {
	return tgt.lastingExclusion(req) == yuccaallow.Allowed
}

// lastingExclusion returns why a request may not use the target even once it has a free slot, or yuccaallow.Allowed.
func (tgt *targetState) lastingExclusion(req *Request) yuccaallow.Exclusion {
	return yuccaallow.Check(req.limits(), req.FailedTargets, yuccaallow.Target{Name: tgt.Name, Region: tgt.Region, Version: tgt.Version})
}

// within reports whether the target is one that the limits allow.
func (tgt *targetState) within(lim yuccaallow.Limits) bool {
	return lim.Exclusion(tgt.Region, tgt.Version) == yuccaallow.Allowed
}

// exclusion returns why a request may not be sent to a target now, or yuccaallow.Allowed.
func (lead *Leader) exclusion(now time.Time, tgt *targetState, req *Request) yuccaallow.Exclusion {
	if why := tgt.heldBack(now); why != yuccaallow.Allowed {
		return why
	}
	switch {
	case lead.grantableSlots(now, tgt) == 0:
		return Full
	case tgt.backingOff(now) || !lead.mayTry(now, tgt, req):
		return BackingOff
	}
	return tgt.lastingExclusion(req)
}

// Exclusions returns, for each target, why a request may not be sent there now, or yuccaallow.Allowed.
func (lead *Leader) Exclusions(now time.Time, req Request) map[yuccaid.Target]yuccaallow.Exclusion {
	list := make(map[yuccaid.Target]yuccaallow.Exclusion, len(lead.targets))
	for _, tgt := range lead.targets {
		list[tgt.Name] = lead.exclusion(now, tgt, &req)
	}
	return list
}

// group is what targets have in common that the same limits allow.
type group struct {
	region  yuccaid.Region
	version yuccaid.Version
}

// presence is which targets there are, and when those of a region left.
type presence struct {
	// groups are the groups of the targets, in the order in which targetState.group counts them.
	groups  []group
	regions map[yuccaid.Region]int
	// leftAt holds, for each region without targets that had some, when the last one left. Targets that
	// left because their data centre was evacuated don't count: they aren't expected back soon.
	leftAt map[yuccaid.Region]time.Time
	// emptySince is the time since which there has been no target, zero while there are some.
	emptySince time.Time
}

// update records the targets that there are now, in place of the former ones.
func (pres *presence) update(now time.Time, former map[yuccaid.Target]*targetState, targets []*targetState, evacuated map[yuccaid.Centre]bool) {
	before := pres.regions
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
		tgt.group = at
		pres.regions[tgt.Region]++
		delete(pres.leftAt, tgt.Region)
	}
	expected := len(former) == 0
	for _, tgt := range former {
		if evacuated[tgt.Centre] {
			continue
		}
		expected = true
		if before[tgt.Region] > 0 && pres.regions[tgt.Region] == 0 {
			if pres.leftAt == nil {
				pres.leftAt = make(map[yuccaid.Region]time.Time)
			}
			pres.leftAt[tgt.Region] = now
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
		if reason := lead.present.missing(now, entry.limits()); reason != "" {
			left[reason] = append(left[reason], entry)
		}
	}
	for _, reason := range []Reason{ReasonNoRegion, ReasonNoTarget, ReasonNoVersion} {
		lead.refuseAll(now, left[reason], reason, dec)
	}
}

// misses counts the waiting requests that got no target, by their limits. If limited requests counted like
// the others, a few that wait for the full targets of their version or their regions would keep the free
// targets of others idle.
type misses struct {
	// unlimited counts the requests that any target may serve.
	unlimited int
	limited   map[yuccaallow.Limits]int
}

// enough reports whether further requests with the limits would find no target either.
func (mss *misses) enough(lim yuccaallow.Limits) bool {
	if lim.Any() {
		return mss.unlimited >= maxMisses
	}
	return mss.limited[lim] >= maxMisses
}

func (mss *misses) count(lim yuccaallow.Limits) {
	if lim.Any() {
		mss.unlimited++
		return
	}
	if mss.limited == nil {
		mss.limited = make(map[yuccaallow.Limits]int, 1)
	}
	mss.limited[lim]++
}
