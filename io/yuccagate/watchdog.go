package yuccagate

import (
	"context"
	"errors"
	"time"
)

const (
	// watchdogRatio and watchdogSlack define the time without a first event after which a target
	// has most likely lost the request: three times the predicted time, the same multiple as in
	// yuccagrant, plus the variation that occurs on a target that runs a large batch.
	watchdogRatio = 3
	watchdogSlack = 300 * time.Millisecond
	// watchdogGaps is the gap between two events after which the target has most likely stopped, as
	// a multiple of the route's MaxGap or of watchdogSlack, whichever is longer. Callers wait for
	// at least eight times MaxGap before they leave.
	watchdogGaps = 4
)

var errSilent = errors.New("the target has shown nothing for too long")

// watchdog cancels an attempt whose target sends nothing for too long, if the request may be
// sent to another target.
//
// A target may lose a response, or hang, while its connection stays open. Without a watchdog the
// request would wait at that target until its caller leaves, although another target could have
// served it in time.
type watchdog struct {
	req *callerRequest
	// timer calls fire. It is nil if the watchdog may not cancel the attempt.
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// startWatchdog returns the context of an attempt, and a watchdog that cancels it unless the
// target sends something in time. If the request may not be sent to another target, the watchdog
// has no timer and never cancels the attempt by itself.
func (req *callerRequest) startWatchdog(ctx context.Context, expectedFirst time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	wd := &watchdog{req: req, cancel: cancel}
	if req.route.Repeatable() && req.runs+1 < req.route.Attempts {
		wd.timer = time.AfterFunc(watchdogRatio*expectedFirst+watchdogSlack, wd.fire)
	}
	return ctx, wd
}

// fire cancels the attempt if the resend budget allows to send the request to another target.
func (wd *watchdog) fire() {
	allowed, fields := wd.req.mayResend()
	wd.req.logDecision("silent", append(fields, "may", allowed)...)
	if allowed {
		wd.cancel(errSilent)
	}
}

// onEvent restarts the timer after an event of a stream has arrived.
func (wd *watchdog) onEvent() {
	if wd.timer != nil && wd.timer.Stop() {
		wd.timer.Reset(watchdogGaps * max(wd.req.route.MaxGap, watchdogSlack))
	}
}

// disarm stops the timer, so that the watchdog no longer cancels the attempt.
func (wd *watchdog) disarm() {
	if wd.timer != nil {
		wd.timer.Stop()
	}
}

// stop stops the timer and cancels the attempt's context.
func (wd *watchdog) stop() {
	wd.disarm()
	wd.cancel(nil)
}
