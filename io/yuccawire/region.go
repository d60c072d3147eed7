package yuccawire

import "yuccacleat/core/yuccaid"

// RegionAsk is a VersionAsk, with or without a version and an end, for a request that may be served only in the
// given regions. Older builds, which know no regions, don't answer it.
type RegionAsk struct {
	VersionAsk
	Regions []yuccaid.Region `msgpack:"regions"`
}
