package yuccaroster

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Revision orders the changes of registrations.
type Revision uint64

// Entry is what one target says of itself.
type Entry struct {
	Target  yuccaid.Target `msgpack:"target"`
	Pool    yuccaid.Pool   `msgpack:"pool"`
	Address string         `msgpack:"address"`
	Centre  yuccaid.Centre `msgpack:"centre"`
	Slots   int            `msgpack:"slots"`
	// Leaving says that the target takes no new work.
	Leaving bool `msgpack:"leaving"`
	// ProcessStart is the start of the target's process in Unix milliseconds. A target that
	// started again under its name holds nothing of what its predecessor held.
	ProcessStart int64 `msgpack:"born"`
	// WarmAfter is how much longer after the registration the target is slow.
	WarmAfter time.Duration `msgpack:"warmAfter"`
	Revision  Revision      `msgpack:"revision"`
}

// Removal says that a target's registration ended at a revision.
type Removal struct {
	Target   yuccaid.Target `msgpack:"target"`
	Revision Revision       `msgpack:"revision"`
}
