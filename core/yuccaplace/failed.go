package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// RecordFailure notes that a target could not be reached, refused a request, or broke off.
//
// A dead target ends each request at once and so always looks idle: it would draw
// every request of the pool and fail it. Callers would see their requests refused one
// after the other beside engines that work. So one failure leaves the target to
// probes, whose pause grows while they fail.
func (fleet *Placer) RecordFailure(now time.Time, name yuccaid.Target) {
	node, found := fleet.byName[name]
	if !found {
		return
	}
	node.newsAt = now
	node.failing = true
	node.startProbing(now)
}
