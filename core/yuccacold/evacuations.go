package yuccacold

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// evacuationTold is how long after it learned of its own data centre's evacuation a leader waits before it uses
	// the parts of others, so that the others have learned of it.
	evacuationTold = time.Second
	// evacuationRetained is how long after an evacuation's end the others leave their parts to the data centre's
	// leader, which may learn of the end later than they do.
	evacuationRetained = 2 * time.Second
)

// Evacuations are the data centres whose leaders come first among those of other data centres, because they have no
// targets of their own. The zero value holds none.
type Evacuations struct {
	since map[yuccaid.Centre]time.Time
	ended map[yuccaid.Centre]time.Time
}

// Update sets the data centres that are evacuated now.
func (ev *Evacuations) Update(now time.Time, evacuated map[yuccaid.Centre]bool) {
	if ev.since == nil {
		ev.since, ev.ended = make(map[yuccaid.Centre]time.Time), make(map[yuccaid.Centre]time.Time)
	}
	for centre := range evacuated {
		if _, known := ev.since[centre]; !known {
			ev.since[centre] = now
			delete(ev.ended, centre)
		}
	}
	for centre := range ev.since {
		if !evacuated[centre] {
			delete(ev.since, centre)
			ev.ended[centre] = now
		}
	}
	for centre, at := range ev.ended {
		if now.Sub(at) >= evacuationRetained {
			delete(ev.ended, centre)
		}
	}
}

// First returns the data centres whose leaders come first, in the order of their names, as the leader of one data
// centre has to reckon: that of an evacuated data centre comes first a little later and no longer than the others
// make room for it.
func (ev *Evacuations) First(now time.Time, own yuccaid.Centre) []yuccaid.Centre {
	var list []yuccaid.Centre
	for centre, at := range ev.since {
		if centre != own || now.Sub(at) >= evacuationTold {
			list = append(list, centre)
		}
	}
	for centre, at := range ev.ended {
		if centre != own && now.Sub(at) < evacuationRetained {
			list = append(list, centre)
		}
	}
	slices.Sort(list)
	return list
}
