package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
)

// The exclusions that change from moment to moment.
const (
	// Full means that the target has as many requests as it may have.
	Full yuccaallow.Exclusion = "full"
	// BackingOff means that the target gets no requests for a while after a failure, or while a run is
	// overdue, or one at a time after several failures.
	BackingOff yuccaallow.Exclusion = "backingOff"
	// Cold means that the target is or may be cold, and this leader has sent it all that it may send it in a second.
	Cold yuccaallow.Exclusion = "cold"
	// Untried means that the target is new and left to the leader of its own data centre for a while.
	Untried yuccaallow.Exclusion = "untried"
	// Window means that the target has as many requests as its window allows whose answers haven't begun (see
	// package yuccaramp).
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
	case lead.slotsLeft(now, tgt) == 0:
		return Full
	case tgt.backingOff(now) || !lead.mayTry(now, tgt, req):
		return BackingOff
	}
	return tgt.lastingExclusion(req)
}

// heldBack returns why nothing is sent to the target, although it is neither full nor backing off, or
// yuccaallow.Allowed.
func (tgt *targetState) heldBack(now time.Time) yuccaallow.Exclusion {
	switch {
	case !tgt.withinBudget(now):
		return Cold
	case now.Before(tgt.untriedUntil):
		return Untried
	case !tgt.withinWindow(now):
		return Window
	}
	return yuccaallow.Allowed
}
