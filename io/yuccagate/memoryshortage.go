package yuccagate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// refusalDecay is the time constant with which the weight of a refusal for want of memory decays.
	refusalDecay = time.Second
	// fewRefusals is how many refusals don't count as a shortage: single large requests say little about the next ones.
	fewRefusals = 3
	// memoryShortFor is how long after many refusals memory counts as short.
	memoryShortFor = 5 * time.Second
)

// memoryShortage tells whether many requests are refused for want of memory. The methods requestRefused and isShort are
// safe for concurrent use; tick and the fields that aren't atomic belong to the control goroutine.
type memoryShortage struct {
	// refused counts the requests that were refused since the last tick.
	refused atomic.Int64
	// refusals is the decaying count of refused requests, as of tickedAt.
	refusals float64
	tickedAt time.Time
	// shortAt is when there were last many refusals.
	shortAt time.Time
	short   atomic.Bool
}

// requestRefused records that a request was refused for want of memory.
func (sht *memoryShortage) requestRefused() { sht.refused.Add(1) }

// isShort reports whether many requests have been refused lately.
func (sht *memoryShortage) isShort() bool { return sht.short.Load() }

// tick decides anew whether memory is short.
func (sht *memoryShortage) tick(now time.Time) {
	sht.refusals = sht.refusals*math.Exp(-float64(now.Sub(sht.tickedAt))/float64(refusalDecay)) + float64(sht.refused.Swap(0))
	sht.tickedAt = now
	if sht.refusals > fewRefusals {
		sht.shortAt = now
	}
	sht.short.Store(!sht.shortAt.IsZero() && now.Sub(sht.shortAt) < memoryShortFor)
}
