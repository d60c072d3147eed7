package yuccagate

import "time"

// idleLimit bounds how long callers' connections may be idle while configurations change that bound.
//
// A caller may use a connection again within the limit that it knows, which may be a former one. If a lower limit
// applied at once, all connections that have been idle for longer would be closed just when callers use some of them.
type idleLimit struct {
	limit time.Duration
	// lowerSince is when the configuration began to allow less than the limit, zero if it doesn't.
	lowerSince time.Time
}

// update returns the limit that applies now, given the one that is configured. A lower limit applies once the former one
// has passed, when no connection is left that became idle under it.
func (lim *idleLimit) update(now time.Time, configured time.Duration) time.Duration {
	switch {
	case configured >= lim.limit:
		lim.limit, lim.lowerSince = configured, time.Time{}
	case lim.lowerSince.IsZero():
		lim.lowerSince = now
	case now.Sub(lim.lowerSince) >= lim.limit:
		lim.limit, lim.lowerSince = configured, time.Time{}
	}
	return lim.limit
}
