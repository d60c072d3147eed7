package yuccagate

import (
	"context"
	"sync"
	"time"

	"yuccacleat/core/yuccagrant"
)

// silenceWatch looks for another target for a stream whose target sends nothing for longer than a sound one
// may be silent. It ends the present run only once another target has taken the stream up.
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
	// While a search is under way, it alone uses the request.
	interrupt context.CancelFunc
	sought    chan struct{}
	// replacement is the attempt that takes the stream up, and ended receives it once its exchange has ended.
	replacement *attempt
	ended       chan *attempt
	// awaiting reports whether events are awaited, since when, for how long, and after which event.
	awaiting    bool
	since       time.Time
	limit       time.Duration
	lastEventID string
	// sends counts the targets to which the stream has been sent because this one was silent.
	sends int
}

// newSilenceWatch returns the watch of an attempt's stream, which doesn't look before await is called.
func newSilenceWatch(ctx context.Context, att *attempt) *silenceWatch {
	watch := &silenceWatch{att: att, ctx: ctx, ended: make(chan *attempt, maxSends)}
	if att.req.route.Repeatable() && watch.mayReplace() {
		watch.timer = time.AfterFunc(time.Hour, watch.seek)
		watch.timer.Stop()
	}
	return watch
}

// await has the watch look for another target if its own is silent for too long from now on.
func (watch *silenceWatch) await(now time.Time, lastEventID string) {
	if watch.timer == nil {
		return
	}
	limit := watch.att.req.soundSilence(now)
	watch.mu.Lock()
	watch.awaiting, watch.since, watch.limit, watch.lastEventID = true, now, limit, lastEventID
	watch.mu.Unlock()
	watch.timer.Reset(limit)
}

// disarm has the watch stop looking, because events have arrived or the stream has ended. It returns the attempt for which the
// watch has ended the run, or nil.
func (watch *silenceWatch) disarm() *attempt {
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
	}
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.replacement
}

// startSearch records that a search begins. It reports false if no events are awaited any more, or not for long enough.
func (watch *silenceWatch) startSearch(now time.Time) (ctx context.Context, end func(), started bool) {
	watch.mu.Lock()
	defer watch.mu.Unlock()
	if !watch.awaiting || watch.replacement != nil || now.Sub(watch.since) < watch.limit {
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

// seek looks for another target if the budget allows to send the request to one, and looks again later if none is
// to be had.
func (watch *silenceWatch) seek() {
	ctx, end, started := watch.startSearch(time.Now())
	if !started {
		return
	}
	defer end()
	if !watch.mayReplace() {
		return
	}
	replaced := watch.replace(ctx)
	req := watch.att.req
	if !replaced {
		req.resend.release()
	}
	if replaced || ctx.Err() != nil {
		req.countSilence(watch.att, replaced)
		return
	}
	watch.timer.Reset(seekAgainAfter)
}

// mayReplace reports whether the stream may be sent to another target.
func (watch *silenceWatch) mayReplace() bool {
	req := watch.att.req
	return !req.trial && req.runs < req.route.Attempts && req.sends < maxSends && watch.sends < maxReplacements
}

// replace reports whether another target has taken the stream up, so that the present run has been ended.
func (watch *silenceWatch) replace(ctx context.Context) bool {
	req := watch.att.req
	if !req.confirmVersion() || !req.allowReplacement(watch.att) {
		return false
	}
	plc := req.gate.newPlacement(req, watch.since, true)
	req.gate.postPlacement(plc)
	select {
	case dec := <-plc.decision:
		att := watch.start(ctx, plc, dec)
		return att != nil && watch.takesOver(ctx, att)
	case <-ctx.Done():
		req.gate.postAbandon(plc)
	}
	return false
}

// start sends the stream to a granted target beside the present one. It returns nil if no target was granted, or if the stream
// may not be sent there.
func (watch *silenceWatch) start(ctx context.Context, plc *placement, dec decision) *attempt {
	req := watch.att.req
	charged, prob := req.useDecision(ctx, plc, dec)
	if prob != nil {
		return nil
	}
	att := req.newAttempt(watch.ctx, plc, dec, watch.lastEventID)
	att.charged, att.replaces = charged, true
	if !req.confirmVersion() || req.hasRestarted(ctx, dec) || req.beginTrial() != nil {
		att.dropUnsent(yuccagrant.Misdirected)
		return nil
	}
	watch.sends++
	att.start(func(att *attempt) { watch.ended <- att })
	return att
}

// takesOver waits for a replacement while the present target goes on. It reports whether the present run has been ended: as soon as
// the replacement sends an event, or when it hasn't failed within maxOverlap.
func (watch *silenceWatch) takesOver(ctx context.Context, att *attempt) bool {
	timer := time.NewTimer(maxOverlap)
	defer timer.Stop()
	select {
	case <-att.done:
		if !att.succeeded() {
			<-watch.ended
			att.req.dropSettled(att)
			return false
		}
	case <-timer.C:
	case <-ctx.Done():
		att.end(errReplaced)
		<-watch.ended
		att.req.dropSettled(att)
		return false
	}
	watch.mu.Lock()
	watch.replacement = att
	watch.mu.Unlock()
	watch.att.cancel(errSilent)
	return true
}
