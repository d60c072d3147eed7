package yuccalink

import (
	"context"
	"math/rand/v2"
	"time"

	"yuccacleat/io/yuccawire"
)

// dialer keeps up a control connection to one address.
type dialer struct {
	hub     *Hub
	address string
	cancel  context.CancelFunc
	wait    time.Duration
}

// newDialer starts a dialer, which runs until it is cancelled.
func newDialer(hub *Hub, address string) *dialer {
	ctx, cancel := context.WithCancel(hub.ctx)
	dial := &dialer{hub: hub, address: address, cancel: cancel, wait: hub.limits.FirstBackoff}
	hub.group.Go(func() { dial.run(ctx) })
	return dial
}

func (dial *dialer) run(ctx context.Context) {
	defer dial.cancel()
	for ctx.Err() == nil {
		change := dial.hub.change()
		if dial.hub.reaches(dial.address) {
			dial.watch(ctx, change)
			continue
		}
		dial.try(ctx)
	}
}

// watch waits until a connection is opened or closed. If the connection lasted longer than
// Limits.Silence, the backoff starts again from its first value, because the peer was reachable.
func (dial *dialer) watch(ctx context.Context, change <-chan struct{}) {
	since := time.Now()
	select {
	case <-change:
	case <-ctx.Done():
	}
	if time.Since(since) > dial.hub.limits.Silence {
		dial.wait = dial.hub.limits.FirstBackoff
	}
}

// try waits for a random time up to the backoff and then dials once. The backoff doubles with each
// call.
func (dial *dialer) try(ctx context.Context) {
	if !sleep(ctx, rand.N(dial.wait)+1) || dial.hub.reaches(dial.address) {
		return
	}
	dial.wait = min(2*dial.wait, dial.hub.limits.LastBackoff)
	raw, member, err := dial.hub.open(ctx, dial.address, yuccawire.PurposeControl)
	if err == nil {
		err = dial.hub.join(raw, member, dial.address)
	}
	if err != nil && ctx.Err() == nil {
		dial.hub.onFault(dial.address, err)
	}
}
