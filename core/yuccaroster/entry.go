package yuccaroster

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Revision is the number that the platform gives to each registration and removal. Of two
// revisions of a target, the higher is newer.
type Revision uint64

// Extend returns the revision up to which a daemon knows all changes once it has got those after one
// revision and up to another. If it lacks changes before them, that is the revision that it had.
func (rev Revision) Extend(after, at Revision) Revision {
	if after > rev {
		return rev
	}
	return max(rev, at)
}

// Entry is the registration of one target, as the target wrote it.
type Entry struct {
	Target  yuccaid.Target `msgpack:"target"`
	Pool    yuccaid.Pool   `msgpack:"pool"`
	Address string         `msgpack:"address"`
	Centre  yuccaid.Centre `msgpack:"centre"`
	Slots   int            `msgpack:"slots"`
	// Leaving is set once the target accepts no new requests.
	Leaving bool `msgpack:"leaving"`
	// StartMillis is when the target's process started, in Unix milliseconds. If it changes,
	// the target has restarted under the same name, and the requests and caches of its previous
	// process are lost.
	StartMillis int64 `msgpack:"born"`
	// WarmAfter is for how long after its registration the target still answers slowly because
	// its caches are empty. Daemons pass it on with the entry, but no decision depends on it.
	WarmAfter time.Duration `msgpack:"warmAfter"`
	Revision  Revision      `msgpack:"revision"`
}

// Removal is the end of a target's registration, at the given revision.
type Removal struct {
	Target   yuccaid.Target `msgpack:"target"`
	Revision Revision       `msgpack:"revision"`
}
