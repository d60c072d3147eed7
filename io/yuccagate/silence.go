package yuccagate

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

const (
	// watchdogRatio and watchdogSlack define after which time without a first event a target
	// has most likely lost the request: three times the predicted time, as for the target's
	// other runs in yuccagrant, plus the variation that a busy batch causes.
	watchdogRatio = 3
	watchdogSlack = 300 * time.Millisecond
	// watchdogGaps is the gap in a stream, as a multiple of the longest gap that counts as on
	// time, after which the target has most likely stopped. Callers leave after eight such
	// gaps.
	watchdogGaps = 4
)

var errSilent = errors.New("the target has shown nothing for too long")

// watchdog cancels an attempt whose target sends nothing for too long, if the request may be
// sent to another target.
//
// A target may lose a response, or hang, while its connection stays open. Without a watchdog
// the request would wait there until its caller leaves, although another target could have
// served it in time.
type watchdog struct {
	req    *callerRequest
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// charged reports whether the resend that follows has been counted against the resend
	// budget.
	charged atomic.Bool
}

// startWatchdog returns the context of an attempt, and a watchdog that cancels it unless the
// target sends something in time. Attempts of requests that may not be sent to another target
// have no timer.
func (req *callerRequest) startWatchdog(ctx context.Context, expect time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	dog := &watchdog{req: req, cancel: cancel}
	if req.route.Repeatable() && req.runs+1 < req.route.Attempts {
		dog.timer = time.AfterFunc(watchdogRatio*expect+watchdogSlack, dog.fire)
	}
	return ctx, dog
}

// fire cancels the attempt if the resend budget allows another one.
func (dog *watchdog) fire() {
	if dog.req.gate.chargeResend(dog.req.pool) {
		dog.charged.Store(true)
		dog.cancel(errSilent)
	}
}

// onEvent restarts the timer after an event of a stream has arrived.
func (dog *watchdog) onEvent() {
	if dog.timer != nil && dog.timer.Stop() {
		dog.timer.Reset(watchdogGaps * max(dog.req.route.MaxGap, watchdogSlack))
	}
}

// disarm stops the timer.
func (dog *watchdog) disarm() {
	if dog.timer != nil {
		dog.timer.Stop()
	}
}

// stop stops the timer and cancels the attempt's context.
func (dog *watchdog) stop() {
	dog.disarm()
	dog.cancel(nil)
}
