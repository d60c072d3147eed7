package yuccapool

import "time"

const (
	// grantTTL is how long an owner may take to use a grant. It is longer than the
	// delay between data centres and a pause of the owner's process together; the slot
	// of an unused grant stays idle for this time.
	grantTTL = 2 * time.Second
	// evictionLead is the safety margin of a cancellation. There is a last moment at which
	// cancelling a run of a lower tier still helps a waiting request; the run is cancelled
	// evictionLead before that moment. The margin covers two ticks of the daemon and the
	// delay of the cancel message on its way to the target. With a shorter margin, the slot
	// would be free too late. With a longer margin, runs would be cancelled that might have
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
