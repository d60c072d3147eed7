package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// RecordFailure records that a target could not be reached, refused a request, or ended
// an answer before it was complete.
//
// A target that is down fails each request at once and so always looks idle. Without
// backoff it would attract and fail every request of the pool, although other targets
// work. After one failure the target therefore gets only probes, at an interval that
// grows while the probes fail.
func (placer *Placer) RecordFailure(now time.Time, name yuccaid.Target) {
	state, found := placer.byName[name]
	if !found {
		return
	}
	state.observedAt = now
	state.failing = true
	state.startProbing(now)
}
