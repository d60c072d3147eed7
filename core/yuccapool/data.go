package yuccapool

import "time"

const (
	// grantTTL is how long an owner may take to use a grant. It is longer than the
	// delay between data centres and a pause of the owner's process together; the slot
	// of an unused grant stays idle for this time.
	grantTTL = 2 * time.Second
	// evictionLead is how long before the last moment at which it still helps a request
	// a run of a lower tier is cancelled. It covers two ticks of the daemon and the
	// delay of the cancel on its way to the target. If it were shorter, the slot would
	// be free too late; if it were longer, runs would be cancelled that might have
	// finished by themselves.
	evictionLead = 250 * time.Millisecond
	// burstSpan is the time over which an account's rate limits allow bursts: a bucket
	// holds what its rate gives in that time.
	burstSpan = time.Second
	// minRetryAfter keeps refused callers from retrying in a tight loop.
	minRetryAfter = 500 * time.Millisecond
	// retryJitter is the largest fraction by which a retry-after time is extended at
	// random, so that callers who were refused together do not retry in one burst.
	retryJitter = 0.5
	// overdueInterval is the time between searches for runs that have lasted longer
	// than LongestRun allows; each search scans all runs.
	overdueInterval = time.Second
	// defaultLongestRun is used where the configuration does not set
	// PoolConfig.LongestRun.
	defaultLongestRun = 10 * time.Minute
)
