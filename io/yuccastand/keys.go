package yuccastand

import (
	"slices"
	"strings"
)

// Entry is one key of the platform's service with the revision that set it.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision int64  `json:"revision"`
	removed  bool
}

// keyStore keeps every change, so that it can be read as of an older revision.
type keyStore struct {
	changes []Entry
}

// set logs a change under the next revision and returns it.
func (store *keyStore) set(key string, value []byte, removed bool) int64 {
	revision := store.revision() + 1
	store.changes = append(store.changes, Entry{Key: key, Value: value, Revision: revision, removed: removed})
	return revision
}

func (store *keyStore) revision() int64 {
	return int64(len(store.changes))
}

// asOf returns the present keys with a prefix as they were at a revision, in the order
// of their revisions.
func (store *keyStore) asOf(revision int64, prefix string) []Entry {
	seen := make(map[string]bool)
	found := []Entry{}
	for _, change := range slices.Backward(store.changes[:min(revision, store.revision())]) {
		if seen[change.Key] || !strings.HasPrefix(change.Key, prefix) {
			continue
		}
		seen[change.Key] = true
		if !change.removed {
			found = append(found, change)
		}
	}
	slices.Reverse(found)
	return found
}

// page returns the entries after a revision that fit into the limit of bytes, and
// whether there are more.
func page(entries []Entry, after int64, limit int) (fitting []Entry, more bool) {
	fitting = []Entry{}
	size := 0
	for _, entry := range entries {
		if entry.Revision <= after {
			continue
		}
		size += len(entry.Value)
		if len(fitting) > 0 && size > limit {
			return fitting, true
		}
		fitting = append(fitting, entry)
	}
	return fitting, false
}
