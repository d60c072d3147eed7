package yuccaroster

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// grace is how long a target whose registration lapsed during an outage may take to
	// register again. It renews every second or so, and is back within two when it lives.
	grace = 2 * time.Second
	// remember is how long a removal is kept, so that a peer's late news of the same
	// registration doesn't bring the target back.
	remember = time.Minute
)

// Roster holds the targets of all pools. It isn't safe for concurrent use.
type Roster struct {
	held map[yuccaid.Target]*record
	// version counts changes that matter to placing.
	version uint64
	// due is when the first of the removals takes effect or is forgotten, zero if there are
	// none. Without it each tick would look at every target of the fleet.
	due time.Time
	// usable keeps what Usable returned at usableAt.
	usable   map[yuccaid.Pool][]Entry
	usableAt uint64
}

// record is what is known of one target.
type record struct {
	entry Entry
	// revision is the newest seen, of the entry or of its removal.
	revision Revision
	gone     bool
	// until is when a tentative removal takes effect or a lasting one is forgotten.
	until     time.Time
	tentative bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{held: make(map[yuccaid.Target]*record)}
}

// Version changes whenever Usable may return something else.
func (ros *Roster) Version() uint64 { return ros.version }

// Put takes a registration and reports whether it was news.
func (ros *Roster) Put(_ time.Time, entry Entry) bool {
	rec, known := ros.held[entry.Target]
	if known && rec.revision >= entry.Revision {
		return false
	}
	if !known {
		rec = &record{}
		ros.held[entry.Target] = rec
	}
	*rec = record{entry: entry, revision: entry.Revision}
	ros.version++
	return true
}

// Remove takes the end of a registration and reports whether it was news. Unless it is
// sure, because the service was away a moment ago, the target stays for the grace.
func (ros *Roster) Remove(now time.Time, removal Removal, sure bool) bool {
	rec, known := ros.held[removal.Target]
	if !known || rec.gone || rec.revision > removal.Revision || rec.tentative && !sure {
		return false
	}
	rec.revision = removal.Revision
	if sure {
		ros.end(now, rec)
		return true
	}
	rec.tentative = true
	ros.expire(rec, now.Add(grace))
	return true
}

// ReplaceAll takes a whole list as it was at a revision: what it lacks has been removed.
func (ros *Roster) ReplaceAll(now time.Time, entries []Entry, at Revision, sure bool) {
	listed := make(map[yuccaid.Target]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Target] = true
		ros.Put(now, entry)
	}
	for name, rec := range ros.held {
		if !listed[name] && !rec.gone {
			ros.Remove(now, Removal{Target: name, Revision: at}, sure)
		}
	}
}

// Tick ends the tentative removals whose grace has passed and returns the targets that
// are gone with it.
func (ros *Roster) Tick(now time.Time) []yuccaid.Target {
	if ros.due.IsZero() || now.Before(ros.due) {
		return nil
	}
	ros.due = time.Time{}
	var gone []yuccaid.Target
	for name, rec := range ros.held {
		switch {
		case rec.until.IsZero():
		case now.Before(rec.until):
			ros.expire(rec, rec.until)
		case rec.gone:
			delete(ros.held, name)
		default:
			ros.end(now, rec)
			gone = append(gone, name)
		}
	}
	slices.Sort(gone)
	return gone
}

// expire sets when a record is to be looked at.
func (ros *Roster) expire(rec *record, at time.Time) {
	rec.until = at
	if ros.due.IsZero() || at.Before(ros.due) {
		ros.due = at
	}
}

func (ros *Roster) end(now time.Time, rec *record) {
	rec.gone = true
	rec.tentative = false
	ros.expire(rec, now.Add(remember))
	ros.version++
}

// Find returns a target that is registered, leaving or not.
func (ros *Roster) Find(name yuccaid.Target) (Entry, bool) {
	rec, known := ros.held[name]
	if !known || rec.gone {
		return Entry{}, false
	}
	return rec.entry, true
}

// Entries returns all registered targets in the order of their names.
func (ros *Roster) Entries() []Entry {
	list := make([]Entry, 0, len(ros.held))
	for _, rec := range ros.held {
		if !rec.gone {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// Removals returns the registrations that ended lately, for a daemon that may still hold
// them.
func (ros *Roster) Removals() []Removal {
	var list []Removal
	for name, rec := range ros.held {
		if rec.gone {
			list = append(list, Removal{Target: name, Revision: rec.revision})
		}
	}
	slices.SortFunc(list, func(a, b Removal) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Usable returns a pool's targets that take new work, in the order of their names. The list
// is shared: it may be read only.
func (ros *Roster) Usable(pool yuccaid.Pool) []Entry {
	if ros.usable == nil || ros.usableAt != ros.version {
		ros.usable, ros.usableAt = make(map[yuccaid.Pool][]Entry), ros.version
	}
	list, known := ros.usable[pool]
	if !known {
		list = ros.list(pool)
		ros.usable[pool] = list
	}
	return list
}

func (ros *Roster) list(pool yuccaid.Pool) []Entry {
	var list []Entry
	for _, rec := range ros.held {
		if !rec.gone && rec.entry.Pool == pool && !rec.entry.Leaving {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b Entry) int {
	return cmp.Compare(a.Target, b.Target)
}
