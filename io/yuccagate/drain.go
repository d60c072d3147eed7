package yuccagate

import (
	"context"
	"time"
)

const (
	// drainPollInterval is the time between two checks of whether any request is still open.
	drainPollInterval = 20 * time.Millisecond
	// minDrainTime is how long a draining daemon still accepts requests. The balancer checks once
	// a second whether a daemon is ready, and sends it requests until two checks have failed.
	// After minDrainTime, requests are refused, because the response to a request that arrives so
	// late might be cut off when the grace period ends.
	minDrainTime = 2500 * time.Millisecond
)

// startDraining marks this daemon as draining, so that Ready returns false from now on.
func (gate *Gate) startDraining() {
	now := time.Now()
	gate.drainStartedAt.Store(&now)
}

// awaitDrained waits until minDrainTime has passed and no request is open. It returns earlier if
// the context ends.
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
func (gate *Gate) draining() bool { return gate.drainStartedAt.Load() != nil }

// refusesAll reports whether this daemon has been draining for longer than minDrainTime, and so
// refuses every new request.
func (gate *Gate) refusesAll(now time.Time) bool {
	start := gate.drainStartedAt.Load()
	return start != nil && now.Sub(*start) >= minDrainTime
}
