package yuccagate

import (
	"context"
	"time"
)

const (
	// drainPollInterval is the time between two checks whether requests are still open.
	drainPollInterval = 20 * time.Millisecond
	// minDrainTime is how long a draining daemon still accepts requests, because the balancer
	// checks once a second whether a daemon is ready and takes it out after two failed checks.
	// Later requests are refused, because a response that starts so late might be cut off when
	// the grace period ends.
	minDrainTime = 2500 * time.Millisecond
)

// startDraining marks this daemon as draining; it is no longer ready.
func (gate *Gate) startDraining() {
	gate.drainStartedAt.Store(time.Now().UnixNano())
}

// awaitDrained returns once no request is open and minDrainTime has passed, or when the context
// ends.
func (gate *Gate) awaitDrained(ctx context.Context) {
	start := time.Now()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if time.Since(start) >= minDrainTime && gate.openRequests.Load() == 0 {
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// draining reports whether this daemon has begun to drain.
func (gate *Gate) draining() bool { return gate.drainStartedAt.Load() != 0 }

// refusesAll reports whether this daemon has drained for so long that it refuses every new
// request.
func (gate *Gate) refusesAll(now time.Time) bool {
	start := gate.drainStartedAt.Load()
	return start != 0 && now.Sub(time.Unix(0, start)) > minDrainTime
}
