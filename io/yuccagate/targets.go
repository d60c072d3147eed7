package yuccagate

import (
	mathrand "math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccawire"
)

const (
	// betweenRegions is how long a message to another region and its answer take. It only
	// orders targets of equal pace; the learned times hold what the way really takes.
	betweenRegions = 60 * time.Millisecond
	// freshEvery is how often a reader tells its peers how old its news is.
	freshEvery = 300 * time.Millisecond
	// readerRole names the choice of the daemon that reads the platform for its data centre.
	readerRole = yuccaid.Pool("reader of the platform")
	// staleAfter is the age of the reader's news at which every daemon reads for itself: a
	// little more than the reader's calls take when nothing changes.
	staleAfter = 1700 * time.Millisecond
	// askAroundEvery is how often a daemon asks a peer for news of targets that it can't read.
	askAroundEvery = 400 * time.Millisecond
	// firstReads is how long a daemon that has just started reads for itself, whoever else
	// does: it knows nothing yet.
	firstReads = 700 * time.Millisecond
)

// fresh is a peer's word on its news of the platform.
type fresh struct {
	at    yuccaroster.Revision
	age   time.Duration
	heard time.Time
}

// OfferTargets takes what the platform says of registrations. What has changed is passed on to
// the other daemons of the data centre, which need not read it themselves. Whole lists are
// not: a hundred daemons that start together would each send a thousand targets to all the
// others. Who lacks something asks for it, once it hears how far this daemon has read.
func (gate *Gate) OfferTargets(entries []yuccaroster.Entry, removals []yuccaroster.Removal, whole bool, at yuccaroster.Revision, sure bool) {
	message := yuccawire.Targets{Entries: entries, Removals: removals, Whole: whole, At: at, Sure: sure}
	gate.control.Post(func(now time.Time) {
		gate.onTargets(now, message)
		if !whole && gate.reads(now) {
			gate.nearby(yuccawire.KindTargets, message)
		}
	})
}

// RecordPlatformRevision notes that the platform has answered and up to which revision it was heard.
func (gate *Gate) RecordPlatformRevision(at yuccaroster.Revision) {
	gate.control.Post(func(now time.Time) {
		gate.platformHeard = now
		gate.platformAt = max(gate.platformAt, at)
	})
}

// platformAge is how long ago the platform was last heard, by this daemon or by the one that
// reads for it. It is -1 if that never happened.
func (gate *Gate) platformAge(now time.Time) time.Duration {
	age := time.Duration(-1)
	if !gate.platformHeard.IsZero() {
		age = now.Sub(gate.platformHeard)
	}
	for _, word := range gate.fresh {
		if told := now.Sub(word.heard) + word.age; age < 0 || told < age {
			age = told
		}
	}
	return age
}

// MaySkipPlatformReads reports whether this daemon need not read the platform, because another one of
// its data centre does and tells it.
func (gate *Gate) MaySkipPlatformReads() bool { return gate.rests.Load() }

// reads reports whether this daemon reads the platform for its data centre.
func (gate *Gate) reads(_ time.Time) bool {
	reader, found := gate.peers.Leader(readerRole)
	return found && reader.Incarnation == gate.inc
}

// tickReader tells the peers how old this daemon's news is if it is the reader, and decides
// whether it may rest if it isn't.
//
// Every call to the platform counts against a rate of the whole fleet, and is paid for. A
// reader that dies, freezes or is cut off from the platform must not blind the others: its
// word grows old, and then all read for themselves.
func (gate *Gate) tickReader(now time.Time) {
	reads := gate.reads(now)
	if reads && now.Sub(gate.freshTold) >= freshEvery && !gate.platformHeard.IsZero() {
		gate.freshTold = now
		gate.nearby(yuccawire.KindFresh, yuccawire.Fresh{AgeMillis: now.Sub(gate.platformHeard).Milliseconds(), At: gate.platformAt})
	}
	gate.askAround(now)
	rests := !reads && gate.tables.Load() != nil && now.Sub(gate.began) > firstReads && gate.informed(now)
	if rests != gate.rests.Load() {
		gate.rests.Store(rests)
		gate.log.belief("reading the platform", "rests", rests, "reader", reads)
	}
}

// informed reports whether a peer's news of the platform is fresh.
func (gate *Gate) informed(now time.Time) bool {
	for _, word := range gate.fresh {
		if now.Sub(word.heard)+word.age < staleAfter {
			return true
		}
	}
	return false
}

func (gate *Gate) onFresh(now time.Time, from yuccaid.Incarnation, message yuccawire.Fresh) {
	gate.fresh[from] = fresh{at: message.At, age: time.Duration(message.AgeMillis) * time.Millisecond, heard: now}
	if message.At > gate.platformAt && now.Sub(gate.targetsPulled) > pullEvery {
		gate.pullTargets(now, from)
	}
}

func (gate *Gate) pullTargets(now time.Time, from yuccaid.Incarnation) {
	gate.targetsPulled = now
	gate.send(from, yuccawire.KindTargetsPull, yuccawire.TargetsPull{Have: gate.platformAt})
}

// askAround asks any peer for its targets while nobody in this data centre reaches the
// platform.
//
// A data centre may be cut off from the platform and not from the others. Its daemons would
// send requests to targets that have gone, and those that are restarted would know none.
func (gate *Gate) askAround(now time.Time) {
	silent := gate.platformHeard.IsZero() || now.Sub(gate.platformHeard) > staleAfter
	if !silent || gate.informed(now) || now.Sub(gate.began) < firstReads || now.Sub(gate.targetsPulled) < askAroundEvery {
		return
	}
	if linked := gate.hub.Linked(); len(linked) > 0 {
		gate.pullTargets(now, linked[mathrand.IntN(len(linked))].Incarnation)
	}
}

func (gate *Gate) onTargetsPull(from yuccaid.Incarnation, pull yuccawire.TargetsPull) {
	if gate.platformAt <= pull.Have {
		return
	}
	gate.send(from, yuccawire.KindTargets, yuccawire.Targets{
		Entries: gate.roster.Entries(), Removals: gate.roster.Removals(), At: gate.platformAt, Sure: true,
	})
}

func (gate *Gate) onTargets(now time.Time, message yuccawire.Targets) {
	gate.platformAt = max(gate.platformAt, message.At)
	if message.Whole {
		gate.roster.ReplaceAll(now, message.Entries, message.At, message.Sure)
	} else {
		for _, entry := range message.Entries {
			gate.roster.Put(now, entry)
		}
		for _, removal := range message.Removals {
			gate.roster.Remove(now, removal, message.Sure)
		}
	}
	gate.refreshTargets(now)
}

// refreshTargets tells the desks of targets that came, went or are leaving.
func (gate *Gate) refreshTargets(now time.Time) {
	if gate.roster.Version() == gate.rosterVersion {
		return
	}
	gate.rosterVersion = gate.roster.Version()
	gate.tellTargets()
	for _, dsk := range gate.desks {
		gate.configure(now, dsk)
	}
}

// mostNamed bounds how many targets one line names: a whole fleet may come at once.
const mostNamed = 20

// tellTargets tells which targets came, began anew, are leaving or went since it last did.
func (gate *Gate) tellTargets() {
	var came, reborn, leaving, gone []yuccaid.Target
	now := make(map[yuccaid.Target]yuccaroster.Entry, len(gate.told))
	for _, entry := range gate.roster.Entries() {
		now[entry.Target] = entry
		before, known := gate.told[entry.Target]
		switch {
		case !known:
			came = append(came, entry.Target)
		case before.ProcessStart != entry.ProcessStart:
			reborn = append(reborn, entry.Target)
		}
		if entry.Leaving && !before.Leaving {
			leaving = append(leaving, entry.Target)
		}
	}
	for name := range gate.told {
		if _, known := now[name]; !known {
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	gate.told = now
	if len(came)+len(reborn)+len(leaving)+len(gone) == 0 {
		return
	}
	fields := []any{"known", len(now), "revision", gate.platformAt}
	for _, each := range []struct {
		what  string
		names []yuccaid.Target
	}{{"came", came}, {"begunAnew", reborn}, {"leaving", leaving}, {"gone", gone}} {
		if len(each.names) > 0 {
			fields = append(fields, each.what, each.names[:min(len(each.names), mostNamed)])
		}
	}
	gate.log.belief("targets", fields...)
}

// targets returns a pool's targets as they look from this data centre.
func (gate *Gate) targets(dsk *desk) []yuccagrant.Target {
	usable := gate.roster.Usable(dsk.pool)
	list := make([]yuccagrant.Target, 0, len(usable))
	for _, entry := range usable {
		target := yuccagrant.Target{Name: entry.Target, Slots: max(entry.Slots, 1), StartMillis: entry.ProcessStart}
		if gate.settings.Regions[entry.Centre] != gate.settings.Regions[gate.settings.Centre] {
			target.Remote = true
			target.RoundTrip = betweenRegions
		}
		list = append(list, target)
	}
	return list
}

// sharers is how many daemons each use their part of a pool's places: where this daemon
// decides without its leader, the others of its data centre do so too.
func (gate *Gate) sharers(dsk *desk) int {
	if dsk.leads {
		return 1
	}
	return max(len(gate.peers.Live(gate.settings.Centre)), 1)
}
