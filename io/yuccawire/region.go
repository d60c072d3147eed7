package yuccawire

import "yuccacleat/core/yuccaid"

// RegionAsk is an Ask for a request that may be served only in the given regions and, if Version is set, by
// targets of that version. It is written as an array, since such asks may be as frequent as others; a further
// field needs a kind of its own. Older builds, which know no regions, don't answer it.
type RegionAsk struct {
	Ask     Ask
	Version yuccaid.Version
	// EndMillis is the time until the answer has to be complete, zero if there is no such time.
	EndMillis int64
	Regions   []yuccaid.Region
}
