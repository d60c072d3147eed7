package yuccagate

import (
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
)

// betweenRegions is how long a message to another region and its answer take. It only
// orders targets of equal pace; the learned times hold what the way really takes.
const betweenRegions = 60 * time.Millisecond

// OfferRaw takes the text of a configuration from a source. One that can't be read changes
// nothing.
func (gate *Gate) OfferRaw(raw []byte, source string) error {
	table, err := gate.decode(raw)
	if err != nil {
		return err
	}
	gate.control.Post(func(now time.Time) { gate.adopt(now, table, source) })
	return nil
}

func (gate *Gate) adopt(_ time.Time, table *yuccaroute.Table, source string) {
	before := gate.number()
	if gate.tables.Offer(table) {
		gate.log.belief("configuration", "number", table.Number(), "before", before, "source", source)
	}
}

func (gate *Gate) number() yuccaid.Number {
	if table := gate.tables.Load(); table != nil {
		return table.Number()
	}
	return 0
}

// OfferTargets takes what a source read of the targets' registrations.
func (gate *Gate) OfferTargets(take func(now time.Time, ros *yuccaroster.Roster)) {
	gate.control.Post(func(now time.Time) {
		take(now, gate.roster)
		gate.refreshTargets(now)
	})
}

// refreshTargets tells the desks of targets that came, went or are leaving.
func (gate *Gate) refreshTargets(now time.Time) {
	if gate.roster.Version() == gate.rosterVersion {
		return
	}
	gate.rosterVersion = gate.roster.Version()
	for pool, dsk := range gate.desks {
		gate.apply(now, pool, dsk.own.Configure(now, gate.targets(pool)))
	}
}

// targets returns a pool's targets as they look from this data centre.
func (gate *Gate) targets(pool yuccaid.Pool) []yuccagrant.Target {
	var list []yuccagrant.Target
	for _, entry := range gate.roster.Usable(pool) {
		target := yuccagrant.Target{Name: entry.Target, Slots: max(entry.Slots, 1), Born: entry.Born}
		if gate.settings.Regions[entry.Centre] != gate.settings.Regions[gate.settings.Centre] {
			target.Away = true
			target.Way = betweenRegions
		}
		list = append(list, target)
	}
	return list
}
