package yuccawire

import "yuccacleat/core/yuccaid"

// VersionAsk is an Ask for a request that only targets of one version may serve. Older builds, which
// can't read an Ask with a further field, don't answer it.
type VersionAsk struct {
	Ask     Ask             `msgpack:"ask"`
	Version yuccaid.Version `msgpack:"version"`
}
