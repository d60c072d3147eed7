package yuccagate

import (
	"math"
	mathrand "math/rand/v2"
	"sync/atomic"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

// maxUnreadCounted bounds the unread connections for which memory is kept free. Some callers open connections that they don't use
// for long.
const maxUnreadCounted = 100

const (
	// refusalSpan is the time after which a request that was refused for want of memory counts a third, and fewRefusals how many
	// don't matter: an urgent request finds room on a new connection where a few others don't.
	refusalSpan = time.Second
	fewRefusals = 3
	// memoryShortFor is how long after many refusals memory counts as short.
	memoryShortFor = 5 * time.Second
)

// memoryShortage finds out whether many requests are refused for want of memory. The methods requestRefused and isShort are safe for
// concurrent use; the other fields belong to the control goroutine.
type memoryShortage struct {
	// refused counts the requests that were refused since the last tick, and refusals those of late, of which older ones count less.
	refused  atomic.Int64
	refusals float64
	tickedAt time.Time
	// shortAt is when many were last refused.
	shortAt time.Time
	short   atomic.Bool
}

// requestRefused records that a request was refused for want of memory.
func (sht *memoryShortage) requestRefused() { sht.refused.Add(1) }

// isShort reports whether many requests have been refused lately.
func (sht *memoryShortage) isShort() bool { return sht.short.Load() }

// tick decides anew whether memory is short.
func (sht *memoryShortage) tick(now time.Time) {
	sht.refusals = sht.refusals*math.Exp(-float64(now.Sub(sht.tickedAt))/float64(refusalSpan)) + float64(sht.refused.Swap(0))
	sht.tickedAt = now
	if sht.refusals > fewRefusals {
		sht.shortAt = now
	}
	sht.short.Store(!sht.shortAt.IsZero() && now.Sub(sht.shortAt) < memoryShortFor)
}

// admitsCaller reports whether a new connection of a caller may be read from, beside others of which nothing has been read yet.
// What can't be served is better not read: its caller learns at once that it didn't run, and goes to another daemon.
func (gate *Gate) admitsCaller(unread int) bool {
	if gate.memoryShortage.isShort() && !gate.memory.hasRoom(min(unread, maxUnreadCounted)+1, gate.openRequests.Load()) {
		return false
	}
	return !gate.pressure.turnsAway(mathrand.Float64())
}

// hasRoom reports whether requests of any rank on some more connections find memory, if each needs what open ones need.
func (mem *memory) hasRoom(connections int, open int64) bool {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	each := max(mem.limiter.Reserved()/yuccaid.Bytes(max(open, 1)), yuccaspace.RequestOverhead)
	return mem.limiter.HasRoom(yuccaid.Bytes(connections) * each)
}
