package yuccabudget

import "time"

// fleetMemory is how long daemons that can't be reached any more still count. They may have been cut off, and
// go on using their parts of the allowance.
const fleetMemory = 10 * time.Minute

// Fleet is what a daemon knows of the daemons that share the allowance.
type Fleet struct {
	// Daemons is the number of daemons that this one knows of, itself included, live or not.
	Daemons int
	// Seeds is the number of seeds in the settings, and ReachedSeeds how many of them are this daemon or daemons
	// that it reaches.
	Seeds, ReachedSeeds int
	// Isolated reports whether this daemon reaches no other one, though there are others.
	Isolated bool
}

// share returns this daemon's share of the allowance.
//
// Each seed stands for an equal share, which the daemons that reach it divide among themselves. So the parts of a
// fleet that are cut off from one another have the allowance once together, also if no daemon knows of those in the
// other parts, because it has started since they were cut off.
func (flt Fleet) share() float64 {
	share := 1 / float64(max(flt.Daemons, 1))
	if flt.Seeds > 0 {
		share *= float64(flt.ReachedSeeds) / float64(flt.Seeds)
	}
	return share
}

// largest is the largest of the numbers that were added within fleetMemory.
type largest struct {
	// current is the largest number since the time since, and former the largest of the time before, which
	// has the length of fleetMemory.
	since           time.Time
	current, former int
}

// add adds a number and returns the largest.
func (lg *largest) add(now time.Time, number int) int {
	if lg.since.IsZero() {
		lg.since = now
	}
	if now.Sub(lg.since) >= fleetMemory {
		lg.since, lg.former, lg.current = now, lg.current, 0
	}
	lg.current = max(lg.current, number)
	return max(lg.current, lg.former)
}

// smallest is the smallest of the shares that applied within a span of time. Shares apply until the next is added.
type smallest struct {
	// list has the shares that are smaller than all later ones, in the order of time.
	list []datedShare
}

// datedShare is a share that applied until a time.
type datedShare struct {
	share float64
	until time.Time
}

// add adds the share that applies now.
func (sml *smallest) add(now time.Time, share float64) {
	for len(sml.list) > 0 && sml.list[len(sml.list)-1].share >= share {
		sml.list = sml.list[:len(sml.list)-1]
	}
	sml.list = append(sml.list, datedShare{share: share, until: now})
}

// within returns the smallest share that applied within a span before now, or zero if none was added.
func (sml *smallest) within(now time.Time, span time.Duration) float64 {
	for len(sml.list) > 1 && now.Sub(sml.list[0].until) >= span {
		sml.list = sml.list[1:]
	}
	if len(sml.list) == 0 {
		return 0
	}
	return sml.list[0].share
}
