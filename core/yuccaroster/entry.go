package yuccaroster

import (
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"

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
	// WarmAfter is for how long after its registration the target is still cold, and StatesWarmAfter
	// reports whether the registration says so, since zero may also mean that it doesn't.
	WarmAfter       time.Duration `msgpack:"warmAfter"`
	StatesWarmAfter bool          `msgpack:"statesWarmAfter"`
	Revision        Revision      `msgpack:"revision"`
	// Version is the version of the target's software, empty if the target doesn't state it.
	Version yuccaid.Version `msgpack:"version"`
}

// StreamVersion returns what two targets have in common if one can continue the other's streams:
// their version or, if the target states none, its process. It returns an empty text if the target
// states neither, so that no target can continue its streams.
func (entry Entry) StreamVersion() yuccaid.Version {
	switch {
	case entry.Version != "":
		return entry.Version
	case entry.StartMillis != 0:
		return yuccaid.Version(fmt.Sprintf("process %s %d", entry.Target, entry.StartMillis))
	}
	return ""
}

// formerEntry holds the fields of an Entry as older builds write them in an array.
type formerEntry struct {
	Target      yuccaid.Target
	Pool        yuccaid.Pool
	Address     string
	Centre      yuccaid.Centre
	Slots       int
	Leaving     bool
	StartMillis int64
	WarmAfter   time.Duration
	Revision    Revision
}

// EncodeMsgpack writes a map also where the encoder writes other structs as arrays, because builds
// that know other fields can read a map but not an array.
func (entry Entry) EncodeMsgpack(enc *msgpack.Encoder) error {
	fields := []any{
		"target", entry.Target, "pool", entry.Pool, "address", entry.Address, "centre", entry.Centre, "slots", entry.Slots,
		"leaving", entry.Leaving, "born", entry.StartMillis, "warmAfter", entry.WarmAfter, "statesWarmAfter", entry.StatesWarmAfter,
		"revision", entry.Revision, "version", entry.Version,
	}
	if err := enc.EncodeMapLen(len(fields) / 2); err != nil {
		return err
	}
	return enc.EncodeMulti(fields...)
}

// DecodeMsgpack reads what EncodeMsgpack writes, and the arrays of older builds.
func (entry *Entry) DecodeMsgpack(dec *msgpack.Decoder) error {
	code, err := dec.PeekCode()
	if err != nil {
		return err
	}
	if msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32 {
		type fields Entry
		return dec.Decode((*fields)(entry))
	}
	var former formerEntry
	if err := dec.Decode(&former); err != nil {
		return err
	}
	*entry = Entry{
		Target: former.Target, Pool: former.Pool, Address: former.Address, Centre: former.Centre, Slots: former.Slots, Leaving: former.Leaving,
		StartMillis: former.StartMillis, WarmAfter: former.WarmAfter, Revision: former.Revision,
	}
	return nil
}

// Removal is the end of a target's registration, at the given revision.
type Removal struct {
	Target   yuccaid.Target `msgpack:"target"`
	Revision Revision       `msgpack:"revision"`
}

// PendingRemoval is a tentative removal that hasn't taken effect, and the time until it does.
type PendingRemoval struct {
	Removal
	Remaining time.Duration `msgpack:"remaining"`
}
