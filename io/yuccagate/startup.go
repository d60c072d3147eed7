package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccaroute"
)

// firstConfigurationWait is the time after the daemon's start until which requests wait for the
// first configuration. Reading it from another region takes 150 ms, so there is time for a few
// attempts.
const firstConfigurationWait = 600 * time.Millisecond

// awaitTable returns the configuration in force. If there is none yet, it waits for the first
// configuration until firstConfigurationWait after the daemon's start, and returns nil if none has
// arrived by then or the context ends first.
//
// After all daemons were killed, the balancer sends callers to daemons that have just started.
// Without a wait, even a request that arrives a millisecond before the configuration would be
// refused and retried half a second later, too late for most latency targets. So requests that
// arrive while the daemon reads its first configuration wait for it. A daemon that has had no
// configuration for longer than firstConfigurationWait refuses requests at once.
func (gate *Gate) awaitTable(ctx context.Context, now time.Time) *yuccaroute.Table {
	left := firstConfigurationWait - now.Sub(gate.startedAt)
	if table := gate.tables.Load(); table != nil || left <= 0 {
		return table
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-gate.configured:
	case <-timer.C:
	case <-ctx.Done():
	}
	return gate.tables.Load()
}
