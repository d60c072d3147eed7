package yuccagate

import (
	"context"
	"sync"
	"time"

	"yuccacleat/core/yuccagrant"
)

// grant is a target that a request has been granted and that it hasn't been sent to.
type grant struct {
	plc *placement
	dec decision
}

// giveBack returns a grant that isn't used. It does nothing if the grant is nil.
func (grt *grant) giveBack() {
	if grt != nil {
		grt.plc.req.gate.postFinished(grt.plc, yuccagrant.Finished{Outcome: yuccagrant.Dropped})
	}
}

// silenceWatch looks for another target for a stream whose target sends nothing for longer than a sound one
// may be silent. It ends the present run only once another target has been granted.
//
// A target may hang while its connection stays open. Without a watch the stream would wait there until its caller
// leaves, although another target could continue it.
type silenceWatch struct {
	att *attempt
	ctx context.Context
	// timer calls seek. It is nil if the stream may not go on at another target.
	timer *time.Timer

	mu sync.Mutex
	// interrupt ends the search for a target, and sought is closed when it has ended; both are nil if none is under way.
	interrupt context.CancelFunc
	sought    chan struct{}
	granted   *grant
	// awaiting reports whether events are awaited, and since when.
	awaiting bool
	since    time.Time
}

// newSilenceWatch returns the watch of an attempt's stream, which doesn't look before await is called.
func newSilenceWatch(ctx context.Context, att *attempt) *silenceWatch {
	watch := &silenceWatch{att: att, ctx: ctx}
	if req := att.req; req.route.Repeatable() && req.runs < req.route.Attempts {
		watch.timer = time.AfterFunc(time.Hour, watch.seek)
		watch.timer.Stop()
	}
	return watch
}

// await has the watch look for another target if its own is silent for too long from now on.
func (watch *silenceWatch) await(now time.Time) {
	if watch.timer == nil {
		return
	}
	watch.mu.Lock()
	watch.awaiting, watch.since = true, now
	watch.mu.Unlock()
	watch.timer.Reset(watch.att.req.soundSilence(now))
}

// rest has the watch stop looking, because events have arrived or the stream has ended. It returns the target for which the
// watch has ended the run, or nil.
func (watch *silenceWatch) rest() *grant {
	if watch.timer == nil {
		return nil
	}
	watch.timer.Stop()
	watch.mu.Lock()
	watch.awaiting = false
	interrupt, sought := watch.interrupt, watch.sought
	watch.mu.Unlock()
	if interrupt != nil {
		interrupt()
		<-sought
		watch.att.req.gate.metrics.silenceEnded(false)
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.granted
}

// begin records that a search begins. It reports false if no events are awaited any more.
func (watch *silenceWatch) begin() (ctx context.Context, end func(), begun bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.awaiting || watch.granted != nil {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancel(watch.ctx)
	sought := make(chan struct{})
	watch.interrupt, watch.sought = cancel, sought
	end = func() {
		cancel()
		watch.mu.Lock()
		defer watch.mu.Unlock()
		watch.interrupt, watch.sought = nil, nil
		close(sought)
	}
	return ctx, end, true
}

// seek looks for another target if the budget allows to send the request to one, and ends the present run when one is
// granted.
func (watch *silenceWatch) seek() {
	ctx, end, begun := watch.begin()
	if !begun {
		return
	}
	defer end()
	req := watch.att.req
	if !req.confirmVersion() {
		return
	}
	allowed, fields := req.mayResend()
	req.logDecision("silent", append(fields, "may", allowed)...)
	if !allowed {
		return
	}
	plc := req.gate.newPlacement(req, watch.since, true)
	req.gate.postPlacement(plc)
	select {
	case dec := <-plc.decision:
		watch.onDecision(ctx, plc, dec)
	case <-ctx.Done():
		req.gate.postAbandon(plc)
	}
}

// onDecision ends the present run if a target was granted. Else the watch looks again later.
func (watch *silenceWatch) onDecision(ctx context.Context, plc *placement, dec decision) {
	if dec.refusal != nil || dec.problem != nil {
		if ctx.Err() == nil {
			watch.timer.Reset(seekAgainAfter)
		}
		return
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	grt := &grant{plc: plc, dec: dec}
	if ctx.Err() != nil {
		grt.giveBack()
		return
	}
	watch.granted = grt
	watch.att.silent = true
	watch.att.req.countSilence(watch.att, true)
	watch.att.cancel(errSilent)
}
