package yuccawire

import "yuccacleat/core/yuccaid"

// RegionAsk is an Ask for a request that may be served only in the given regions and, if Version is set, by
// targets of that version. Older builds, which know no regions, don't answer it.
type RegionAsk struct {
	Ask     Ask              `msgpack:"ask"`
	Version yuccaid.Version  `msgpack:"version"`
	Regions []yuccaid.Region `msgpack:"regions"`
}
