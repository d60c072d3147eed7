package yuccalink

import (
	"context"
	"math/rand/v2"
	"time"

	"yuccacleat/io/yuccawire"
)

// dialer keeps a control connection up to one address.
type dialer struct {
	hub     *Hub
	address string
	cancel  context.CancelFunc
	wait    time.Duration
}

// newDialer starts dialling until it is cancelled.
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

// watch waits for a link to come or go. A connection that held for a while shows that
// the peer is well, so the next wait is short again.
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

// try dials once after a wait that doubles each time.
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
