package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
)

const (
	// takeOverWait is how long a leader sends nothing to cold targets after it has taken over from one whose sends it
	// doesn't know.
	takeOverWait = time.Second
	// takeOverDivisor divides a leader's budget during takeOverWait at targets that aren't known to be cold. The runs that
	// owners report to it count as sends.
	takeOverDivisor = 2
	// maxNewSends bounds the sends that wait to be reported. Those beyond it are reported with all of the last second.
	maxNewSends = 4096
)

// Send is a request that was sent to a target at the given time.
type Send struct {
	Target yuccaid.Target
	At     time.Time
}

// TakeOver records that this leader has taken over from another one, and whether that one has reported all its sends of the
// last second. Those that it has reported count in either case.
func (lead *Leader) TakeOver(now time.Time, reported bool) {
	lead.newSends = nil
	lead.tookOverAt = now
	if reported {
		lead.tookOverAt = time.Time{}
	}
	for _, tgt := range lead.targets {
		tgt.tookOverAt = lead.tookOverAt
		tgt.sends.Merge(now, &tgt.reportedSends)
	}
}

// RecordReported records sends that another leader reports: the present one, or this leader's predecessor. If whole is set,
// they are all of its sends of the last second.
func (lead *Leader) RecordReported(now time.Time, sends []Send, whole bool) {
	if whole {
		for _, tgt := range lead.targets {
			tgt.reportedSends = yuccacold.Sends{}
		}
	}
	for _, each := range sends {
		if tgt, found := lead.targetsByName[each.Target]; found {
			tgt.reportedSends.Record(now, each.At)
		}
	}
}

// TakeNewSends returns the sends since the last call, for the daemon that would lead next.
func (lead *Leader) TakeNewSends() []Send {
	taken := lead.newSends
	lead.newSends = nil
	return taken
}

// RecentSends returns all sends in the last second that this leader knows of.
func (lead *Leader) RecentSends(now time.Time) []Send {
	var list []Send
	for _, tgt := range lead.targets {
		for _, at := range tgt.sends.Recent(now) {
			list = append(list, Send{Target: tgt.Name, At: at})
		}
	}
	return list
}

// ColdTargets returns the targets of this leader's data centre that are cold, as far as is known.
func (lead *Leader) ColdTargets(now time.Time) []yuccaid.Target {
	var names []yuccaid.Target
	for _, tgt := range lead.targets {
		if !tgt.OtherCentre && tgt.isCold(now) {
			names = append(names, tgt.Name)
		}
	}
	return names
}

// withinBudget reports whether the target may be sent one more request without getting more than it bears if it is cold.
func (tgt *targetState) withinBudget(now time.Time) bool {
	budget := tgt.Budget
	if !budget.Limit.Applies() {
		return true
	}
	if now.Sub(tgt.tookOverAt) < takeOverWait {
		budget.WhileCold = false
		budget.PerSecond = (budget.PerSecond + takeOverDivisor - 1) / takeOverDivisor
	}
	return budget.Allows(now, &tgt.cold, &tgt.sends)
}

// isCold reports whether the target is cold, as far as is known.
func (tgt *targetState) isCold(now time.Time) bool {
	return tgt.Budget.Limit.Applies() && tgt.cold.Cold(now)
}

// coldSlots returns the capacity of a cold target, whose requests are spaced, in slots of the fastest target. hold is how
// long a run occupies such a slot, in seconds. The capacity of a target that isn't cold is infinite in this respect.
func (tgt *targetState) coldSlots(now time.Time, hold float64) float64 {
	switch {
	case !tgt.isCold(now):
		return math.Inf(1)
	case !tgt.Budget.WhileCold:
		return 0
	}
	return tgt.Budget.Limit.Rate * hold
}

// recordGrant counts a request that this leader sends to the target.
func (lead *Leader) recordGrant(now time.Time, tgt *targetState) {
	tgt.recordSend(now, now)
	if tgt.Budget.Limit.Applies() && len(lead.newSends) < maxNewSends {
		lead.newSends = append(lead.newSends, Send{Target: tgt.Name, At: now})
	}
}

// recordSend counts a request that is sent to the target.
func (tgt *targetState) recordSend(now, sent time.Time) {
	if tgt.Budget.Limit.Applies() {
		tgt.sends.Record(now, sent)
	}
}
