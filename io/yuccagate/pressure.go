package yuccagate

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// starvedDelay is the mean delay of ticks beyond which the daemon counts as short of processor time. maxTickDelay bounds
	// what one tick counts for, so that a process that stood still once isn't taken for one that is short of time.
	starvedDelay = 50 * time.Millisecond
	maxTickDelay = 250 * time.Millisecond
	// delaySpan is the time over which the mean is taken.
	delaySpan = 400 * time.Millisecond
	// shedInterval is the time between two changes of the share of new connections that are turned away. It grows by shedStep
	// while the daemon is short of processor time, up to maxShed, and shrinks by unshedStep otherwise.
	shedInterval = 100 * time.Millisecond
	shedStep     = 0.1
	unshedStep   = 0.05
	maxShed      = 0.95
)

// pressure finds out whether this daemon is short of processor time, and which share of new connections is turned away for it.
// Its method turnsAway is safe for concurrent use; the other fields belong to the control goroutine.
type pressure struct {
	tickedAt, changedAt time.Time
	meanDelay           time.Duration
	// shed is the share, as the bits of a float64.
	shed atomic.Uint64
}

// tick records that the control goroutine has run a tick, which is due every tickInterval.
func (prs *pressure) tick(now time.Time) {
	if prs.tickedAt.IsZero() {
		prs.tickedAt, prs.changedAt = now, now
		return
	}
	span := now.Sub(prs.tickedAt)
	prs.tickedAt = now
	delay := min(max(span-tickInterval, 0), maxTickDelay)
	weight := 1 - math.Exp(-float64(min(span, maxTickDelay))/float64(delaySpan))
	prs.meanDelay += time.Duration(weight * float64(delay-prs.meanDelay))
	if now.Sub(prs.changedAt) < shedInterval {
		return
	}
	prs.changedAt = now
	share := prs.share()
	if prs.meanDelay > starvedDelay {
		share = min(share+shedStep, maxShed)
	} else {
		share = max(share-unshedStep, 0)
	}
	prs.shed.Store(math.Float64bits(share))
}

// share returns the share of new connections that are turned away.
func (prs *pressure) share() float64 { return math.Float64frombits(prs.shed.Load()) }

// turnsAway reports whether a new connection is turned away, given a random number from 0 to 1.
func (prs *pressure) turnsAway(draw float64) bool { return draw < prs.share() }
