package yuccagate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// silentRatio and silentSlack say when a target that shows nothing of a request has most
	// likely lost it: three times what was expected, as for its other runs, and the grain of a
	// busy batch.
	silentRatio = 3
	silentSlack = 300 * time.Millisecond
	// silentGaps is the pause in a stream, in times of the longest that counts as on time,
	// after which its target has most likely stopped. Callers leave after eight.
	silentGaps = 4
)

var errSilent = errors.New("the target has shown nothing for too long")

// silence ends a sending whose target shows nothing, where another target may be asked.
//
// A target may lose an answer, or hang, without a word; its connection stays open. Without
// this the request would wait there until its caller leaves, though it could have been
// served elsewhere in time.
type silence struct {
	req   *request
	timer *time.Timer
	end   context.CancelCauseFunc
	// paid says that the resend which follows is counted in the budget.
	paid atomic.Bool
}

// watchSilence returns the context of a sending, and a watch that ends it unless the target
// shows something in time. Requests that may not go to another target are left alone.
func (req *request) watchSilence(ctx context.Context, expect time.Duration) (context.Context, *silence) {
	ctx, end := context.WithCancelCause(ctx)
	sil := &silence{req: req, end: end}
	if req.route.Repeatable() && req.runs+1 < req.route.Attempts {
		sil.timer = time.AfterFunc(silentRatio*expect+silentSlack, sil.fire)
	}
	return ctx, sil
}

// fire gives the sending up if the budget has room for another one.
func (sil *silence) fire() {
	if sil.req.gate.paysResend(sil.req.pool) {
		sil.paid.Store(true)
		sil.end(errSilent)
	}
}

// showed notes an event of a stream.
func (sil *silence) showed() {
	if sil.timer != nil && sil.timer.Stop() {
		sil.timer.Reset(silentGaps * max(sil.req.route.MaxGap, silentSlack))
	}
}

// answered ends the watch of a target that has answered.
func (sil *silence) answered() {
	if sil.timer != nil {
		sil.timer.Stop()
	}
}

// stop ends the watch and the sending's context.
func (sil *silence) stop() {
	sil.answered()
	sil.end(nil)
}
