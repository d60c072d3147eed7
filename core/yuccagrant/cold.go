package yuccagrant

import (
	"math"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// takeOverWait is how long a leader that has taken over sends nothing to cold targets, because the leader before may
	// have sent them requests in that time, or may go on until it learns that it no longer leads.
	takeOverWait = time.Second
	// takeOverDivisor is how small a part of its budget a leader uses in that time at targets that aren't known to be cold.
	// The runs that owners report to it count too.
	takeOverDivisor = 2
)

// TakeOver records that this leader has taken over from another one.
func (lead *Leader) TakeOver(now time.Time) {
	lead.tookOverAt = now
	for _, tgt := range lead.targets {
		tgt.tookOverAt = now
	}
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

// coldSlots returns how many slots of the fastest target a cold target stands for, since its requests are spaced. hold is
// how long a run occupies such a slot, in seconds. A target that isn't cold has no such bound.
func (tgt *targetState) coldSlots(now time.Time, hold float64) float64 {
	switch {
	case !tgt.isCold(now):
		return math.Inf(1)
	case !tgt.Budget.WhileCold:
		return 0
	}
	return tgt.Budget.Limit.Rate * hold
}

// recordSend counts a request that is sent to the target.
func (tgt *targetState) recordSend(now, sent time.Time) {
	if tgt.Budget.Limit.Applies() {
		tgt.sends.Record(now, sent)
	}
}
