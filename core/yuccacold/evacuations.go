package yuccacold

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// evacuationSettleTime is how long after a leader learned of its own data centre's evacuation it waits before it uses
	// the shares of other leaders, so that these have learned of the evacuation too.
	evacuationSettleTime = time.Second
	// evacuationGrace is how long after an evacuation's end the other leaders still leave their shares to the leader of
	// that data centre, which may learn of the end later.
	evacuationGrace = 2 * time.Second
)

// Evacuations records which data centres are evacuated. Their leaders have no targets of their own, so they get the shares
// of the leaders of other data centres at all targets (see Shares.OtherLeader). The zero value has none.
type Evacuations struct {
	// since is when this daemon learned of each evacuation, and ended when it learned of the end of recent ones.
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
		if now.Sub(at) >= evacuationGrace {
			delete(ev.ended, centre)
		}
	}
}

// Preferred returns the data centres whose leaders get the shares of other leaders, in the order of their names, as it
// holds for the leader of the data centre own. Leaders learn of an evacuation at different times, so a leader counts its
// own data centre later, and for a shorter time, than the others leave it their shares.
func (ev *Evacuations) Preferred(now time.Time, own yuccaid.Centre) []yuccaid.Centre {
	var list []yuccaid.Centre
	for centre, at := range ev.since {
		if centre != own || now.Sub(at) >= evacuationSettleTime {
			list = append(list, centre)
		}
	}
	for centre, at := range ev.ended {
		if centre != own && now.Sub(at) < evacuationGrace {
			list = append(list, centre)
		}
	}
	slices.Sort(list)
	return list
}
