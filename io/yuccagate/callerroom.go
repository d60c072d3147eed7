package yuccagate

import (
	mathrand "math/rand/v2"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

// maxUnreadCounted bounds the unread connections for which memory is kept free. Some callers open connections that they don't use
// for long.
const maxUnreadCounted = 100

// admitsCaller reports whether a new connection of a caller may be read from, beside others of which nothing has been read yet.
// What can't be served is better not read: its caller learns at once that it didn't run, and goes to another daemon.
func (gate *Gate) admitsCaller(unread int) bool {
	return gate.memory.hasRoom(min(unread, maxUnreadCounted)+1, gate.openRequests.Load()) && !gate.pressure.turnsAway(mathrand.Float64())
}

// hasRoom reports whether requests of any rank on some more connections find memory, if each needs what open ones need.
func (mem *memory) hasRoom(connections int, open int64) bool {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	each := max(mem.limiter.Reserved()/yuccaid.Bytes(max(open, 1)), yuccaspace.RequestOverhead)
	return mem.limiter.HasRoom(yuccaid.Bytes(connections) * each)
}
