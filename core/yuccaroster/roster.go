package yuccaroster

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// removalGrace is how long a target whose registration lapsed during an outage may take
	// to register again. A target renews about every second, so a running one is listed again
	// within two.
	removalGrace = 2 * time.Second
	// removalRetention is how long a removal is kept, so that an older registration that
	// another daemon forwards late doesn't add the target again.
	removalRetention = time.Minute
)

// Roster holds the registered targets of all pools. It isn't safe for concurrent use.
type Roster struct {
	records map[yuccaid.Target]*record
	// version counts the changes to the registered targets.
	version uint64
	// nextDue is the earliest due time of a record, zero if no record has one. It spares
	// Tick the pass over every target of the fleet.
	nextDue time.Time
	// usable caches the results of Usable at usableVersion.
	usable        map[yuccaid.Pool][]Entry
	usableVersion uint64
}

// record is the state of one target's registration.
type record struct {
	entry Entry
	// revision is the newest revision received, of the entry or of its removal.
	revision Revision
	removed  bool
	// due is when a tentative removal takes effect, or when the record of a removed target is
	// deleted.
	due       time.Time
	tentative bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{records: make(map[yuccaid.Target]*record)}
}

// Version returns a number that changes whenever the result of Usable may have changed.
func (ros *Roster) Version() uint64 { return ros.version }

// Put adds or updates a registration. It reports false if the roster already has this
// revision of it or a newer one.
func (ros *Roster) Put(_ time.Time, entry Entry) bool {
	rec, known := ros.records[entry.Target]
	if known && rec.revision >= entry.Revision {
		return false
	}
	if !known {
		rec = &record{}
		ros.records[entry.Target] = rec
	}
	*rec = record{entry: entry, revision: entry.Revision}
	ros.version++
	return true
}

// Remove ends a registration and reports whether that changed the roster. Unless sure is
// set, the removal is tentative and the target stays for removalGrace: the caller isn't sure
// if the platform's service was down a moment ago.
func (ros *Roster) Remove(now time.Time, removal Removal, sure bool) bool {
	rec, known := ros.records[removal.Target]
	if !known || rec.removed || rec.revision > removal.Revision || rec.tentative && !sure {
		return false
	}
	rec.revision = removal.Revision
	if sure {
		ros.confirmRemoval(now, rec)
		return true
	}
	rec.tentative = true
	ros.schedule(rec, now.Add(removalGrace))
	return true
}

// ReplaceAll applies a complete list of the registrations at a revision: it puts the entries
// and removes all other targets, tentatively unless sure is set.
func (ros *Roster) ReplaceAll(now time.Time, entries []Entry, at Revision, sure bool) {
	listed := make(map[yuccaid.Target]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Target] = true
		ros.Put(now, entry)
	}
	for name, rec := range ros.records {
		if !listed[name] && !rec.removed {
			ros.Remove(now, Removal{Target: name, Revision: at}, sure)
		}
	}
}

// Tick makes the tentative removals whose grace period has passed take effect, and returns
// the removed targets in the order of their names.
func (ros *Roster) Tick(now time.Time) []yuccaid.Target {
	if ros.nextDue.IsZero() || now.Before(ros.nextDue) {
		return nil
	}
	ros.nextDue = time.Time{}
	var removed []yuccaid.Target
	for name, rec := range ros.records {
		switch {
		case rec.due.IsZero():
		case now.Before(rec.due):
			ros.schedule(rec, rec.due)
		case rec.removed:
			delete(ros.records, name)
		default:
			ros.confirmRemoval(now, rec)
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return removed
}

// schedule sets when Tick next has to process a record.
func (ros *Roster) schedule(rec *record, at time.Time) {
	rec.due = at
	if ros.nextDue.IsZero() || at.Before(ros.nextDue) {
		ros.nextDue = at
	}
}

// confirmRemoval removes a target for good and keeps its record for removalRetention.
func (ros *Roster) confirmRemoval(now time.Time, rec *record) {
	rec.removed = true
	rec.tentative = false
	ros.schedule(rec, now.Add(removalRetention))
	ros.version++
}

// Find returns the entry of a registered target, which may be leaving.
func (ros *Roster) Find(name yuccaid.Target) (Entry, bool) {
	rec, known := ros.records[name]
	if !known || rec.removed {
		return Entry{}, false
	}
	return rec.entry, true
}

// Entries returns the entries of all registered targets in the order of their names.
func (ros *Roster) Entries() []Entry {
	list := make([]Entry, 0, len(ros.records))
	for _, rec := range ros.records {
		if !rec.removed {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// Removals returns the registrations that ended within removalRetention, in the order of the
// targets' names, to be sent to a daemon that may still have them.
func (ros *Roster) Removals() []Removal {
	var list []Removal
	for name, rec := range ros.records {
		if rec.removed {
			list = append(list, Removal{Target: name, Revision: rec.revision})
		}
	}
	slices.SortFunc(list, func(a, b Removal) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Usable returns the pool's targets that accept new requests, in the order of their names.
// The slice is shared between callers and must not be modified.
func (ros *Roster) Usable(pool yuccaid.Pool) []Entry {
	if ros.usable == nil || ros.usableVersion != ros.version {
		ros.usable, ros.usableVersion = make(map[yuccaid.Pool][]Entry), ros.version
	}
	list, known := ros.usable[pool]
	if !known {
		list = ros.list(pool)
		ros.usable[pool] = list
	}
	return list
}

// list computes the result of Usable.
func (ros *Roster) list(pool yuccaid.Pool) []Entry {
	var list []Entry
	for _, rec := range ros.records {
		if !rec.removed && rec.entry.Pool == pool && !rec.entry.Leaving {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b Entry) int {
	return cmp.Compare(a.Target, b.Target)
}
