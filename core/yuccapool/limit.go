package yuccapool

import "time"

// bucket is a token bucket that may be overdrawn once: a request larger than the burst
// passes if the bucket is not empty, and the debt is refilled before the next request
// passes. Otherwise a limit below the longest prompt would refuse that prompt for ever.
type bucket struct {
	rate     float64
	level    float64
	filledAt time.Time
}

// setRate changes the rate. It keeps the level, unless that exceeds the new burst, so that
// a new configuration does not allow a second burst. A bucket that had no rate until now
// starts full.
func (bk *bucket) setRate(now time.Time, rate float64) {
	bk.fill(now)
	if bk.filledAt.IsZero() || bk.rate <= 0 {
		bk.level = bk.burst(rate)
	}
	bk.rate = rate
	bk.filledAt = now
	bk.level = min(bk.level, bk.burst(rate))
}

// burst returns the level of a full bucket.
func (bk *bucket) burst(rate float64) float64 {
	return max(rate*burstSpan.Seconds(), 1)
}

// fill adds what the rate has given since filledAt, up to the burst.
func (bk *bucket) fill(now time.Time) {
	if bk.filledAt.IsZero() || bk.rate <= 0 {
		return
	}
	if elapsed := now.Sub(bk.filledAt).Seconds(); elapsed > 0 {
		bk.level = min(bk.level+elapsed*bk.rate, bk.burst(bk.rate))
		bk.filledAt = now
	}
}

// wait returns how long it takes until the bucket reaches the given level. It returns zero
// if the bucket has already reached the level or has no rate, which means no limit.
func (bk *bucket) wait(now time.Time, level float64) time.Duration {
	if bk.rate <= 0 {
		return 0
	}
	bk.fill(now)
	if bk.level >= level {
		return 0
	}
	return time.Duration((level - bk.level) / bk.rate * float64(time.Second))
}

func (bk *bucket) charge(amount float64) {
	if bk.rate > 0 {
		bk.level -= amount
	}
}

// account is the leader's state of one client account.
//
// The leader sees every request of the account to this pool, so it enforces the limits
// exactly. If a grant is not used, what the account was charged for it is refunded.
type account struct {
	// targetSet is the index in Leader.targetSets of the targets that the account may use.
	targetSet int
	limits    Limits
	requests  bucket
	tokens    bucket
	running   int
}

// levelTolerance, in requests or tokens, absorbs the rounding errors of a bucket that was
// filled in many small steps.
const levelTolerance = 1e-6

// rateLimitWait returns how long the account has to wait until its rate limits allow
// another request, or zero.
func (acc *account) rateLimitWait(now time.Time) time.Duration {
	return max(acc.requests.wait(now, 1-levelTolerance), acc.tokens.wait(now, levelTolerance))
}

func (acc *account) charge(req *Request) {
	acc.requests.charge(1)
	acc.tokens.charge(float64(req.Tokens()))
}

func (acc *account) refund(req *Request) {
	acc.requests.charge(-1)
	acc.tokens.charge(-float64(req.Tokens()))
}

func (acc *account) atRunningLimit() bool {
	return acc.limits.Running > 0 && acc.running >= acc.limits.Running
}
