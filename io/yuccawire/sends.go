package yuccawire

import "yuccacleat/core/yuccaid"

// Sends tells when a pool's leader has sent requests to targets of its data centre that may be cold.
type Sends struct {
	Pool yuccaid.Pool
	// Number counts the messages of one leader on one pool to one daemon. If one is missing, the sends that it told are too.
	Number uint64
	// Whole reports whether these are all sends of the last second, rather than those since the message before.
	Whole bool
	Sends []TargetSend
}

// TargetSend is one request that was sent to a target, at a time before the message was sent.
type TargetSend struct {
	Target    yuccaid.Target
	AgeMillis int64
}
