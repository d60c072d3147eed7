package yuccaroster

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// removalGrace is how long a target whose registration expired during an outage may take
	// to register again. A running target renews its registration about every second, so it
	// is listed again within two seconds.
	removalGrace = 2 * time.Second
	// removalRetention is how long a removal is kept, so that an older registration that
	// another daemon forwards late doesn't add the target again.
	removalRetention = time.Minute
)

// Roster holds the registered targets of all pools. It isn't safe for concurrent use.
type Roster struct {
	records map[yuccaid.Target]*record
	// evacuated holds the data centres that are evacuated.
	evacuated map[yuccaid.Centre]bool
	// version counts the changes to the registered targets.
	version uint64
	// nextDue is the earliest due time of a record, zero if no record has one. Before it, Tick
	// returns without iterating over all targets of the fleet.
	nextDue time.Time
	// usable caches results of Usable. They were computed when version was usableVersion.
	usable        map[yuccaid.Pool][]Entry
	usableVersion uint64
}

// record is the state of one target's registration.
type record struct {
	entry Entry
	// revision is the newest revision received, of the entry or of its removal.
	revision Revision
	// removed is set once a removal has taken effect.
	removed bool
	// due is when a tentative removal takes effect, or when the record of a removed target is
	// deleted. It is zero for a registered target without a tentative removal.
	due time.Time
	// tentative is set while a tentative removal hasn't taken effect.
	tentative bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{records: make(map[yuccaid.Target]*record), evacuated: make(map[yuccaid.Centre]bool)}
}

// Version returns a number that changes whenever the result of Usable may have changed.
func (ros *Roster) Version() uint64 { return ros.version }

// Put adds or updates a target's registration. It cancels a tentative removal of the target.
// It changes nothing and reports false if the roster already has the same or a newer revision
// of the target's registration or removal.
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
	ros.updateEvacuated(rec)
	ros.version++
	return true
}

// Remove ends a registration. Unless sure is set, the removal is tentative, and the target
// stays for removalGrace. Remove reports false if it changed nothing: if the target isn't
// registered, if its registration is newer than the removal, or if the removal isn't sure and
// a tentative removal is pending already. A caller must not set
// sure if the platform's service was down a moment ago, because then the registration may
// have expired although the target works.
func (ros *Roster) Remove(now time.Time, removal Removal, sure bool) bool {
	if sure {
		return ros.remove(now, removal, 0)
	}
	return ros.remove(now, removal, removalGrace)
}

// RemovePending ends a registration once a tentative removal that another daemon has read takes effect there.
// It reports false if it changed nothing, as Remove does.
func (ros *Roster) RemovePending(now time.Time, pending PendingRemoval) bool {
	return ros.remove(now, pending.Removal, min(pending.Remaining, removalGrace))
}

// remove ends a registration after a grace period, at once if there is none.
func (ros *Roster) remove(now time.Time, removal Removal, grace time.Duration) bool {
	rec, known := ros.records[removal.Target]
	if !known || rec.removed || rec.revision > removal.Revision || rec.tentative && grace > 0 {
		return false
	}
	rec.revision = removal.Revision
	if grace <= 0 {
		ros.confirmRemoval(now, rec)
		return true
	}
	rec.tentative = true
	ros.schedule(rec, now.Add(grace))
	return true
}

// Update applies changes of registrations, which may hold more than one of a target. It returns the entries that were new
// to the roster.
//
// A target that the roster doesn't know and that the changes end as well isn't added. Otherwise a tentative removal would have it
// used from now on, though it has left: a daemon that reads on after an outage gets the changes of all that time at once.
func (ros *Roster) Update(now time.Time, entries []Entry, removals []Removal, sure bool) []Entry {
	ended := make(map[yuccaid.Target]Revision, len(removals))
	for _, removal := range removals {
		ended[removal.Target] = max(ended[removal.Target], removal.Revision)
	}
	var fresh []Entry
	for _, entry := range entries {
		hasEnded := ros.records[entry.Target] == nil && ended[entry.Target] > entry.Revision
		if hasEnded || ros.Put(now, entry) {
			fresh = append(fresh, entry)
		}
	}
	for _, removal := range removals {
		ros.Remove(now, removal, sure)
	}
	return fresh
}

// ReplaceAll applies a complete list of the registrations, read at a revision: it adds or
// updates the listed targets and removes all other targets, tentatively unless sure is set.
func (ros *Roster) ReplaceAll(now time.Time, entries []Entry, revision Revision, sure bool) {
	listed := make(map[yuccaid.Target]bool, len(entries))
	for _, entry := range entries {
		listed[entry.Target] = true
		ros.Put(now, entry)
	}
	for name, rec := range ros.records {
		if !listed[name] && !rec.removed {
			ros.Remove(now, Removal{Target: name, Revision: revision}, sure)
		}
	}
}

// Tick confirms the tentative removals whose grace period has passed, and returns their
// targets in the order of their names. It also deletes the records of removals that are
// older than removalRetention.
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

// confirmRemoval makes a removal take effect. The record is kept for removalRetention.
func (ros *Roster) confirmRemoval(now time.Time, rec *record) {
	rec.removed = true
	rec.tentative = false
	ros.updateEvacuated(rec)
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

// Entries returns the entries of all registered targets and of evacuations, in the order of their names, for
// other daemons.
func (ros *Roster) Entries() []Entry {
	return ros.list(func(Entry) bool { return true })
}

// Targets returns the entries of all registered targets in the order of their names.
func (ros *Roster) Targets() []Entry {
	return ros.list(func(entry Entry) bool { return !entry.IsEvacuation() })
}

// list returns the entries that match, in the order of their names.
func (ros *Roster) list(match func(Entry) bool) []Entry {
	list := make([]Entry, 0, len(ros.records))
	for _, rec := range ros.records {
		if !rec.removed && match(rec.entry) {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

// Removals returns the registrations that ended within removalRetention, in the order of the
// targets' names. They are sent to daemons that may still list these targets.
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

// PendingRemovals returns the tentative removals that haven't taken effect, in the order of the targets' names. They
// are sent along with Entries, which has their targets too.
func (ros *Roster) PendingRemovals(now time.Time) []PendingRemoval {
	var list []PendingRemoval
	for name, rec := range ros.records {
		if rec.tentative {
			list = append(list, PendingRemoval{Removal: Removal{Target: name, Revision: rec.revision}, Remaining: rec.due.Sub(now)})
		}
	}
	slices.SortFunc(list, func(a, b PendingRemoval) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// Usable returns the pool's targets that accept new requests and whose data centre isn't evacuated, in the
// order of their names.
// The slice is shared between callers and must not be modified.
func (ros *Roster) Usable(pool yuccaid.Pool) []Entry {
	if ros.usable == nil || ros.usableVersion != ros.version {
		ros.usable, ros.usableVersion = make(map[yuccaid.Pool][]Entry), ros.version
	}
	list, known := ros.usable[pool]
	if !known {
		list = ros.computeUsable(pool)
		ros.usable[pool] = list
	}
	return list
}

// computeUsable returns the result of Usable for a pool, without the cache.
func (ros *Roster) computeUsable(pool yuccaid.Pool) []Entry {
	var list []Entry
	for _, rec := range ros.records {
		if !rec.removed && rec.entry.Pool == pool && !rec.entry.Leaving && !ros.evacuated[rec.entry.Centre] {
			list = append(list, rec.entry)
		}
	}
	slices.SortFunc(list, compareEntries)
	return list
}

func compareEntries(a, b Entry) int {
	return cmp.Compare(a.Target, b.Target)
}
