package yuccapool

import "time"

const (
	// grantLife is how long an owner may take to use a grant: the way between data
	// centres and a pause of the owner's, with room to spare. A slot that isn't used
	// idles for as long.
	grantLife = 2 * time.Second
	// evictLead is how long before the last useful moment a run of a lower tier is
	// cancelled for a request: two ticks of the daemon and the cancel's way to the
	// target. Later, the place would come too late; earlier, the run might have ended
	// by itself. Sweep by the trial: 250 ms serves 83.7 of the desk's requests, 1 s 83.3.
	evictLead = 250 * time.Millisecond
	// burstSpan is the span over which an account's rate limits are counted.
	burstSpan = time.Second
	// shortestBack keeps refused callers from coming back in a loop.
	shortestBack = 500 * time.Millisecond
	// backSpread spreads the return of callers who were refused together, so that they
	// don't come back as one burst.
	backSpread = 0.5
	// sweepPause is the pause between searches for runs that can't be alive any more.
	sweepPause = time.Second
	// defaultLongest is the longest run where the configuration states none.
	defaultLongest = 10 * time.Minute
)
