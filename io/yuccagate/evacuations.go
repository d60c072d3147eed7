package yuccagate

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// noteEvacuations updates gate.evacuations from the roster, and logs the evacuated data centres if they have changed
// since the last call.
func (gate *Gate) noteEvacuations(now time.Time) {
	evacuated := gate.roster.EvacuatedCentres()
	gate.evacuations.Update(now, evacuated)
	if maps.Equal(evacuated, gate.loggedEvacuated) {
		return
	}
	gate.loggedEvacuated = evacuated
	var unknown []yuccaid.Centre
	for centre := range evacuated {
		if gate.region(centre) == "" {
			unknown = append(unknown, centre)
		}
	}
	all := slices.Sorted(maps.Keys(evacuated))
	gate.log.stateChange("evacuations", "evacuated", all, "unknown", unknown, "revision", gate.platformRevision)
}
