package yuccaroster

import "time"

// beatsBeforeExpiry is how many heartbeats in a row a target misses before its registration expires.
const beatsBeforeExpiry = 3

// Outages tells whether registrations may have expired because targets that work couldn't reach the platform. It isn't
// safe for concurrent use.
//
// If every missing registration were doubted after any failed call, requests would go on to targets that have left for as
// long as those are expected back. If none were, a pool would lose all its targets after a long outage.
type Outages struct {
	// expiry is the shortest outage in which the registration of a target that works may expire.
	expiry time.Duration
	// answeredAt is when the platform last answered this daemon or another one that has told so.
	answeredAt time.Time
	// beganAt is when the platform last answered before the present or last outage. failedAt is when the first call
	// failed after the last answer, and returnedAt when the platform answered again.
	beganAt, failedAt, returnedAt time.Time
	// known is set once there has been an outage, and failing while no answer has come after a failed call.
	known, failing bool
}

// NewOutages returns the record of a platform whose targets renew their registrations once in the given interval. If the
// interval isn't known, registrations may expire in any outage.
func NewOutages(heartbeat time.Duration) *Outages {
	// A target may have renewed its registration up to one interval before the outage.
	return &Outages{expiry: (beatsBeforeExpiry - 1) * heartbeat}
}

// Answered records that the platform has answered a daemon at a time.
func (out *Outages) Answered(at time.Time) {
	if !at.After(out.answeredAt) {
		return
	}
	out.answeredAt = at
	if out.failing && at.After(out.failedAt) {
		out.failing, out.returnedAt = false, at
	}
}

// Failed records that a call has failed. Outages with less than removalGrace between them count as one, because
// a target may have missed its heartbeats in each of them.
func (out *Outages) Failed(now time.Time) {
	if out.failing {
		return
	}
	if !out.known || now.Sub(out.returnedAt) >= removalGrace {
		out.beganAt = out.answeredAt
	}
	out.known, out.failing, out.failedAt = true, true, now
}

// MayHaveExpired reports whether a missing registration may be that of a target that works and registers again: during
// an outage that lasts long enough, and for removalGrace after it.
func (out *Outages) MayHaveExpired(now time.Time) bool {
	switch {
	case !out.known:
		return false
	case out.failing:
		return out.beganAt.IsZero() || now.Sub(out.beganAt) >= out.expiry
	case now.Sub(out.returnedAt) >= removalGrace:
		return false
	}
	return out.beganAt.IsZero() || out.returnedAt.Sub(out.beganAt) >= out.expiry
}
