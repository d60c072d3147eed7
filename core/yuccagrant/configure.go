package yuccagrant

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
)

// SetTargets sets the targets. What was learned of a target is kept until its process is
// restarted. Runs on targets that are no longer listed continue.
func (lead *Leader) SetTargets(now time.Time, configured []Target) Decisions {
	former := lead.targetsByName
	lead.targetsByName = make(map[yuccaid.Target]*targetState, len(configured))
	lead.targets = make([]*targetState, 0, len(configured))
	newPace := medianPace(former)
	for _, target := range configured {
		tgt := lead.configure(now, former, target, newPace)
		lead.limitParts(tgt, len(configured))
		lead.targets = append(lead.targets, tgt)
		lead.targetsByName[target.Name] = tgt
	}
	for name, tgt := range former {
		if lead.targetsByName[name] != tgt {
			lead.parts.Clear(tgt, &tgt.cache)
		}
	}
	slices.SortFunc(lead.targets, func(a, b *targetState) int { return cmp.Or(compareRemote(a, b), cmp.Compare(a.Name, b.Name)) })
	lead.shareSlots()
	lead.countOwnSlots(now)
	lead.remoteBound.configure(lead.targets)
	lead.pacesChanged = true
	lead.presence.update(now, former, lead.targets, lead.evacuated)
	var dec Decisions
	lead.grantSlots(now, &dec)
	return dec
}

// configure returns the state of a configured target: the former one unless the target's process has started since.
// newPace is the pace assumed for a process that has.
func (lead *Leader) configure(now time.Time, former map[yuccaid.Target]*targetState, target Target, newPace float64) *targetState {
	tgt, addedLater := former[target.Name], len(former) > 0
	started := tgt == nil || tgt.StartMillis != target.StartMillis
	if started {
		tgt = newTargetState(target, biasShare*lead.rng.Float64(), newPace)
		tgt.keepSends(former[target.Name])
	}
	tgt.configure(now, target, addedLater)
	if lead.returned(target.Centre) {
		tgt.cold.Assume(now, target.Budget.Limit)
	}
	tgt.tookOverAt = lead.tookOverAt
	if started && addedLater {
		tgt.beginRamp(now)
	}
	return tgt
}

// limitParts bounds the parts that the target is assumed to hold by the size of its cache. It forgets them if that has
// changed. targets is the number of the pool's targets.
func (lead *Leader) limitParts(tgt *targetState, targets int) {
	if tgt.cache.Limit() != int64(tgt.CacheTokens) {
		lead.parts.Clear(tgt, &tgt.cache)
		tgt.cache = yuccacache.New(int64(tgt.CacheTokens), maxPartsPerTarget(targets))
	}
}

// SetEvacuated sets the data centres that are evacuated, before SetTargets is called with the targets of the
// others. Requests don't wait for the targets of an evacuated data centre as for targets that are expected to
// register again. Once it isn't evacuated any more, they count as cold.
func (lead *Leader) SetEvacuated(centres map[yuccaid.Centre]bool) {
	lead.evacuatedBefore, lead.evacuated = lead.evacuated, centres
}

// returned reports whether the data centre has ceased to be evacuated since the targets were last set.
func (lead *Leader) returned(centre yuccaid.Centre) bool {
	return lead.evacuatedBefore[centre] && !lead.evacuated[centre]
}

// compareRemote orders targets of this region before targets of other regions.
func compareRemote(a, b *targetState) int {
	switch {
	case a.Remote == b.Remote:
		return 0
	case b.Remote:
		return -1
	}
	return 1
}

// SetLeaderCount sets the number of leaders, at least 1, that decide on the same targets without
// knowing of one another's runs. Each leader uses an equal share of each target's slots.
func (lead *Leader) SetLeaderCount(now time.Time, leaderCount int) Decisions {
	var dec Decisions
	if leaderCount == lead.sharing.leaderCount {
		return dec
	}
	lead.sharing.leaderCount = leaderCount
	lead.shareSlots()
	lead.grantSlots(now, &dec)
	return dec
}

// medianPace returns the pace assumed for a target that has not answered yet: the median of the
// paces learned so far, or 1.
func medianPace(targets map[yuccaid.Target]*targetState) float64 {
	var known []float64
	for _, tgt := range targets {
		if tgt.paceSamples > 0 {
			known = append(known, tgt.pace)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return known[len(known)/2]
}
