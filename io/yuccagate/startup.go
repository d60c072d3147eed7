package yuccagate

import (
	"context"
	"time"

	"yuccacleat/core/yuccaroute"
)

// firstNews is how long after its start a daemon has callers wait for its first
// configuration. Reading it from another region takes 150 ms, and a few tries fit in.
const firstNews = 600 * time.Millisecond

// awaitTable returns the configuration in force, or nil if none is known.
//
// After all daemons were killed, the balancer sends callers to those that have just begun.
// Each would be refused within a millisecond of being served, and come back half a second
// later, too late for most aims. So those that come while the first configuration is being
// read wait for it. A daemon that has read in vain for longer refuses at once.
func (gate *Gate) awaitTable(ctx context.Context, now time.Time) *yuccaroute.Table {
	left := firstNews - now.Sub(gate.began)
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
