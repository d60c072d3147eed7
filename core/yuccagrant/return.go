package yuccagrant

import "time"

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller is told to
	// retry. retryJitter is the share of that time by which it is randomly extended, because the
	// leaders of several data centres know nothing of the callers that others have refused.
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 8 * time.Second
	retryJitter   = 0.25
)

// returns plans when refused callers come back, so that they come as fast as they can be served.
//
// If each were told how long the queue lasts now, all that are refused in an overload would come back
// within the same second, and most would be refused again.
type returns struct {
	// next holds, by urgency, when the last refused caller has been served that was told to come back.
	next map[urgency]time.Time
}

// urgency is a tier and an effective rank within it.
type urgency struct{ tier, rank int }

func newReturns() returns { return returns{next: make(map[urgency]time.Time)} }

// plan returns the time until a caller should come back whose request takes the given time of all
// targets. earliest is the time until the requests that wait now are served.
func (ret *returns) plan(now time.Time, urg urgency, earliest, takes time.Duration) time.Duration {
	at, latest := now.Add(earliest), now.Add(maxRetryAfter)
	if next := ret.next[urg]; next.After(at) {
		at = next
	}
	if at.After(latest) {
		at = latest
	}
	ret.next[urg] = at.Add(takes)
	return at.Sub(now)
}
