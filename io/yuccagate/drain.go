package yuccagate

import (
	"context"
	"errors"
	"net/http"
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
	// leavingTime is the part of the drain, at its end, in which every request is refused whose response
	// hasn't begun. It leaves time for the refusals to be sent, and for retries at other daemons.
	leavingTime = 400 * time.Millisecond
	// wakeTime is how long a process that stood still when leavingTime should have begun handles what
	// has arrived meanwhile, before it refuses requests.
	wakeTime = 100 * time.Millisecond
)

var errLeaving = errors.New("the daemon stopped before the response began: repeat the request at another daemon")

// startDraining marks this daemon as draining, so that Ready returns false from now on.
func (gate *Gate) startDraining() {
	now := time.Now()
	gate.drainStartedAt.Store(&now)
}

// awaitDrained waits until minDrainTime has passed and no request is open. It returns earlier if
// the context ends, and at the latest leavingTime before the context's deadline.
func (gate *Gate) awaitDrained(ctx context.Context) {
	start := time.Now()
	if deadline, limited := ctx.Deadline(); limited {
		leavesAt := deadline.Add(-leavingTime)
		defer waitIfLate(leavesAt)
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, leavesAt)
		defer cancel()
	}
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

// waitIfLate waits for wakeTime if the time is past by more than wakeTime, because the process stood still
// meanwhile.
func waitIfLate(due time.Time) {
	if time.Since(due) > wakeTime {
		time.Sleep(wakeTime)
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

// closeIfDraining has the caller's connection closed after the response if this daemon is draining. The
// head of the response must not have been sent.
func (req *callerRequest) closeIfDraining() {
	if req.gate.draining() {
		req.w.Header().Set("Connection", "close")
	}
}

// leavingProblem is the problem of a request that no target has run when this daemon leaves.
func leavingProblem() *Problem {
	return &Problem{Kind: KindLeaving, RetryAfter: leavingRetryAfter}
}

// responseStart is the ResponseWriter of a request that is ended when the daemon leaves, unless the response
// has begun before.
type responseStart struct {
	http.ResponseWriter
	// keep prevents the end of the request, and reports whether the request hasn't been ended before.
	keep func() bool
	// begun reports whether the response has begun. refused reports whether the request was ended before.
	// Then nothing is written.
	begun, refused bool
}

// endWhenLeaving returns a context that ends with the cause errLeaving when the daemon leaves, unless the
// request's response begins before. The returned function frees the context.
func (req *callerRequest) endWhenLeaving(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	keep := context.AfterFunc(req.gate.leaving, func() { cancel(errLeaving) })
	req.start = &responseStart{ResponseWriter: req.w, keep: keep}
	req.w = req.start
	return ctx, func() {
		keep()
		cancel(nil)
		req.w = req.start.ResponseWriter
	}
}

// begin reports whether the response may begin, and if so prevents that the request is ended when the daemon leaves.
func (start *responseStart) begin() bool {
	start.begun = start.keep()
	start.refused = !start.begun
	return start.begun
}

// endsUnbegun reports whether the daemon leaves and the response hasn't begun. The request's context ends a
// little later, when requests that were ended before may already have freed a target's slot.
func (req *callerRequest) endsUnbegun() bool {
	return req.gate.leaving.Err() != nil && !req.start.begun
}

// Write writes a part of the response.
func (start *responseStart) Write(part []byte) (int, error) {
	if start.refused {
		return 0, errLeaving
	}
	return start.ResponseWriter.Write(part)
}

// FlushError sends what has been written.
func (start *responseStart) FlushError() error {
	if start.refused {
		return errLeaving
	}
	return http.NewResponseController(start.ResponseWriter).Flush()
}

// Unwrap returns the writer for the http.ResponseController.
func (start *responseStart) Unwrap() http.ResponseWriter { return start.ResponseWriter }

// interruptBodyWhenLeaving interrupts the reading of the request's body when the daemon leaves. The returned
// function prevents that.
func (req *callerRequest) interruptBodyWhenLeaving() func() bool {
	control := http.NewResponseController(req.w)
	return context.AfterFunc(req.gate.leaving, func() { _ = control.SetReadDeadline(longAgo) })
}
