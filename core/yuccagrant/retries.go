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

// retries plans when refused callers are to retry, so that they come as fast as they can be served.
//
// If each were told how long the queue lasts now, all that are refused in an overload would come back
// within the same second, and most would be refused again.
type retries struct {
	// servedUntil holds, by urgency, until when the targets are busy with the retries planned so far.
	servedUntil map[urgency]time.Time
}

// urgency is a tier and an effective rank within it.
type urgency struct{ tier, rank int }

func newRetries() retries { return retries{servedUntil: make(map[urgency]time.Time)} }

// plan returns the time after which a refused caller should retry. takes is how long all targets together
// need for the request, and earliest is the time until the requests that wait now are served.
func (ret *retries) plan(now time.Time, urg urgency, earliest, takes time.Duration) time.Duration {
	at, latest := now.Add(earliest), now.Add(maxRetryAfter)
	if until := ret.servedUntil[urg]; until.After(at) {
		at = until
	}
	if at.After(latest) {
		at = latest
	}
	ret.servedUntil[urg] = at.Add(takes)
	return at.Sub(now)
}
