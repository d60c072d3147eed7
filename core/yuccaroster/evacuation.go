package yuccaroster

import (
	"maps"
	"strings"

	"yuccacleat/core/yuccaid"
)

// evacuationPool stands for the pool in the entries of evacuations, and evacuationPrefix begins their names.
// No target may have them. Evacuations are entries so that
// they reach all daemons in the same ways as targets do, with the same revisions, also by way of daemons of
// older builds, which take them for targets of a pool that no route leads to.
const (
	evacuationPool   = yuccaid.Pool("evacuated data centres")
	evacuationPrefix = "evacuation of "
)

// IsReserved reports whether a name is that of an evacuation's entry, which no target may have.
func IsReserved(name yuccaid.Target) bool { return strings.HasPrefix(string(name), evacuationPrefix) }

// Evacuation returns the entry that states, from a revision on, that a data centre is evacuated.
func Evacuation(centre yuccaid.Centre, revision Revision) Entry {
	return Entry{Target: yuccaid.Target(evacuationPrefix + string(centre)), Pool: evacuationPool, Centre: centre, Revision: revision}
}

// EvacuationEnd returns the removal that states that a data centre is no longer evacuated.
func EvacuationEnd(centre yuccaid.Centre, revision Revision) Removal {
	return Removal{Target: Evacuation(centre, revision).Target, Revision: revision}
}

// IsEvacuation reports whether the entry isn't that of a target, but that of an evacuation.
func (entry Entry) IsEvacuation() bool { return entry.Pool == evacuationPool }

// IsEvacuation reports whether the removal is the end of an evacuation.
func (removal Removal) IsEvacuation() bool {
	return IsReserved(removal.Target)
}

// Evacuated reports whether the targets of a data centre get no requests because it is evacuated.
func (ros *Roster) Evacuated(centre yuccaid.Centre) bool { return ros.evacuated[centre] }

// EvacuatedCentres returns the data centres that are evacuated.
func (ros *Roster) EvacuatedCentres() map[yuccaid.Centre]bool { return maps.Clone(ros.evacuated) }

// updateEvacuated records whether a data centre is evacuated, if the record is that of an evacuation.
func (ros *Roster) updateEvacuated(rec *record) {
	switch {
	case !rec.entry.IsEvacuation():
	case rec.removed:
		delete(ros.evacuated, rec.entry.Centre)
	default:
		ros.evacuated[rec.entry.Centre] = true
	}
}
