package yuccapool

import "time"

// bucket is a token bucket that may be overdrawn once: a request larger than the
// burst passes when the bucket isn't empty and is paid off before the next one. Else
// a limit below the longest prompt would shut that prompt out for good.
type bucket struct {
	rate  float64
	level float64
	at    time.Time
}

// set changes the rate and keeps what was drawn, so that a new configuration doesn't
// hand out a fresh burst.
func (bk *bucket) set(now time.Time, rate float64) {
	bk.fill(now)
	if bk.at.IsZero() || bk.rate <= 0 {
		bk.level = bk.burst(rate)
	}
	bk.rate = rate
	bk.at = now
	bk.level = min(bk.level, bk.burst(rate))
}

func (bk *bucket) burst(rate float64) float64 {
	return max(rate*burstSpan.Seconds(), 1)
}

func (bk *bucket) fill(now time.Time) {
	if bk.at.IsZero() || bk.rate <= 0 {
		return
	}
	if gone := now.Sub(bk.at).Seconds(); gone > 0 {
		bk.level = min(bk.level+gone*bk.rate, bk.burst(bk.rate))
		bk.at = now
	}
}

// wait returns how long until the given level is there; zero when it is.
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

func (bk *bucket) take(amount float64) {
	if bk.rate > 0 {
		bk.level -= amount
	}
}

// account is a client account as the leader counts it.
//
// The leader sees every request of the account in this pool, so the limits are exact
// here. A grant that wasn't used gives back what it took.
type account struct {
	reach    int
	limits   Limits
	requests bucket
	tokens   bucket
	running  int
}

// epsilon absorbs the rounding of a bucket that was filled in many small steps.
const epsilon = 1e-6

// refusal returns how long the account has to wait for its rate limits.
func (acc *account) refusal(now time.Time) time.Duration {
	return max(acc.requests.wait(now, 1-epsilon), acc.tokens.wait(now, epsilon))
}

func (acc *account) take(ask *Ask) {
	acc.requests.take(1)
	acc.tokens.take(float64(ask.Tokens()))
}

func (acc *account) giveBack(ask *Ask) {
	acc.requests.take(-1)
	acc.tokens.take(-float64(ask.Tokens()))
}

func (acc *account) full() bool {
	return acc.limits.Running > 0 && acc.running >= acc.limits.Running
}
