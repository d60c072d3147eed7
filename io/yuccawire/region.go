package yuccawire

import "yuccacleat/core/yuccaid"

// RegionAsk is what a VersionAsk is, with or without a version and an end, for a request that may be served
// only in the given regions. Older builds, which know no regions, don't answer it.
type RegionAsk struct {
	Ask     Ask
	Version yuccaid.Version
	// EndMillis is as in VersionAsk.
	EndMillis int64
	Regions   []yuccaid.Region
}
