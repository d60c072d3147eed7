package yuccaonce

import "time"

const (
	// defaultLifetime covers the longest run and a caller's retries after an
	// interruption of some minutes. A longer lifetime would cost more memory, because
	// each id is stored for this long.
	defaultLifetime = 15 * time.Minute

	// defaultTotal bounds the owner's memory to about 40 MB at 200 bytes an id, which a
	// small VM can spare. With a lifetime of 15 minutes it allows 220 requests a
	// second.
	defaultTotal = 200_000

	// defaultPerAccount keeps one account's burst from using up the ids of all
	// accounts. It is a quarter of the total, since a few accounts are large.
	defaultPerAccount = defaultTotal / 4

	// defaultUnsubmitted bounds ids of an account that were opened but not submitted. A
	// caller opens an id right before submitting, so an account with more unsubmitted
	// ids has a faulty caller.
	defaultUnsubmitted = 2_000
)

// Limits bounds the number of ids that an owner stores; a zero field means the default.
type Limits struct {
	Total       int // ids of all accounts
	PerAccount  int // ids of one account
	Unsubmitted int // ids of one account that were opened but not submitted
}

func (lim Limits) withDefaults() Limits {
	if lim.Total == 0 {
		lim.Total = defaultTotal
	}
	if lim.PerAccount == 0 {
		lim.PerAccount = defaultPerAccount
	}
	if lim.Unsubmitted == 0 {
		lim.Unsubmitted = defaultUnsubmitted
	}
	return lim
}

// Option changes a setting of an Owner.
type Option func(*Owner)

// WithLifetime sets how long after an id's issue the id may be submitted and its
// outcome queried.
func WithLifetime(lifetime time.Duration) Option {
	return func(own *Owner) { own.lifetime = lifetime }
}

// WithLimits sets the bounds on the number of stored ids.
func WithLimits(limits Limits) Option {
	return func(own *Owner) { own.limits = limits.withDefaults() }
}
