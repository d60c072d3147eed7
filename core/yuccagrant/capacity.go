package yuccagrant

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaallow"
)

// minCapacity is the smallest capacity that targets are assumed to have, in slots of the fastest target, so
// that waiting times are defined while no target can be used.
const minCapacity = 0.5

// demand is the expected work of waiting requests by their limits, in seconds of one slot of the fastest
// target.
type demand struct {
	unlimited float64
	limited   map[yuccaallow.Limits]float64
}

func (dem *demand) add(lim yuccaallow.Limits, work float64) {
	if lim.Any() {
		dem.unlimited += work
		return
	}
	if dem.limited == nil {
		dem.limited = make(map[yuccaallow.Limits]float64, 1)
	}
	dem.limited[lim] += work
}

// capacities is what the targets that are neither backing off nor tripped can do, in slots of the fastest
// target: a slot of another target counts for 1/pace, at its present speed. Each sum is multiplied by this
// leader's share of all runs, because the leaders of other data centres use the rest.
type capacities struct {
	total float64
	// groups are those of the targets, each with its capacity.
	groups   []group
	capacity []float64
}

// capacities returns the present capacities. ownRuns and allRuns start at 1, so that the share is defined
// while there are no runs.
func (lead *Leader) capacities(now time.Time) capacities {
	caps := capacities{groups: lead.presence.groups, capacity: make([]float64, len(lead.presence.groups))}
	ownRuns, allRuns := 1, 1
	for _, tgt := range lead.targets {
		if tgt.backingOff(now) || tgt.tripped() {
			continue
		}
		slots := float64(tgt.Slots) / (tgt.pace * lead.slowness(now, tgt))
		slots = min(slots, tgt.coldSlots(now, lead.latencyModel.expectedHold()))
		caps.total += slots
		caps.capacity[tgt.groupIndex] += slots
		ownRuns += len(tgt.runs)
		allRuns += len(tgt.runs) + tgt.otherCentreRuns
	}
	share := float64(ownRuns) / float64(allRuns)
	caps.total *= share
	for at := range caps.capacity {
		caps.capacity[at] *= share
	}
	return caps
}

// within returns the capacity of the targets that the limits allow, at least minCapacity.
func (caps capacities) within(lim yuccaallow.Limits) float64 {
	if lim.Any() {
		return max(caps.total, minCapacity)
	}
	sum := 0.0
	for at, grp := range caps.groups {
		if lim.Exclusion(grp.region, grp.version) == yuccaallow.Allowed {
			sum += caps.capacity[at]
		}
	}
	return max(sum, minCapacity)
}

// wait returns how long the targets that the limits allow take for the work that is ahead there.
//
// Requests wait only for those that may use the same targets. So the work is distributed over the targets as
// grants would distribute it: each group of targets takes the work of those that may use no other one, and
// what may be done in several groups goes where there is least to do.
func (caps capacities) wait(lim yuccaallow.Limits, ahead demand) time.Duration {
	if lim.Any() && len(ahead.limited) == 0 {
		return seconds(ahead.unlimited / max(caps.total, minCapacity))
	}
	lvls := make(levels, 0, len(caps.groups))
	for at, grp := range caps.groups {
		lvls = append(lvls, &level{group: grp, capacity: max(caps.capacity[at], minCapacity)})
	}
	if len(lvls.within(lim)) == 0 {
		return seconds(ahead.limited[lim] / minCapacity)
	}
	for _, each := range lvls.narrowestFirst(ahead) {
		lvls.within(each).fill(ahead.limited[each])
	}
	lvls.fill(ahead.unlimited)
	return seconds(lvls.within(lim).lowest())
}

// level is the work that a group of targets has to do.
type level struct {
	group
	// capacity is in slots of the fastest target, and seconds is how long the group takes for its work.
	capacity float64
	seconds  float64
}

// levels are those of several groups, over which work is distributed by water-filling.
type levels []*level

// within returns the groups that the limits allow.
func (lvls levels) within(lim yuccaallow.Limits) levels {
	return slices.DeleteFunc(slices.Clone(lvls), func(lvl *level) bool {
		return lim.Exclusion(lvl.region, lvl.version) != yuccaallow.Allowed
	})
}

// narrowestFirst returns the limits of the work, those that allow the fewest groups first.
func (lvls levels) narrowestFirst(ahead demand) []yuccaallow.Limits {
	return slices.SortedFunc(maps.Keys(ahead.limited), func(a, b yuccaallow.Limits) int {
		return cmp.Or(
			cmp.Compare(len(lvls.within(a)), len(lvls.within(b))),
			cmp.Compare(a.Regions.String(), b.Regions.String()),
			cmp.Compare(a.Version, b.Version),
		)
	})
}

// fill adds work, which goes to the groups that have least to do, until these have as much to do as the
// next ones.
func (lvls levels) fill(work float64) {
	if len(lvls) == 0 || work <= 0 {
		return
	}
	slices.SortStableFunc(lvls, func(a, b *level) int { return cmp.Compare(a.seconds, b.seconds) })
	capacity, done, reached := 0.0, 0.0, 0.0
	for at, lvl := range lvls {
		capacity += lvl.capacity
		done += lvl.capacity * lvl.seconds
		reached = (work + done) / capacity
		if at+1 == len(lvls) || reached <= lvls[at+1].seconds {
			break
		}
	}
	for _, lvl := range lvls {
		lvl.seconds = max(lvl.seconds, reached)
	}
}

// lowest returns the time of the group that has least to do.
func (lvls levels) lowest() float64 {
	least := lvls[0].seconds
	for _, lvl := range lvls {
		least = min(least, lvl.seconds)
	}
	return least
}
