package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// overdueGrace is how long the outcome of a request is kept that was closed after its
// id's lifetime. Its caller is waiting for it, so it retries a lost answer within
// moments.
const overdueGrace = time.Minute

// lateClose is a record that was closed after its id's lifetime, and the time of that.
type lateClose struct {
	rec *record
	at  time.Time
}

// accountUsage counts the ids that the owner stores for one account. first and last are
// the counters of the account's oldest and newest record; record.next links the records
// between them.
type accountUsage struct {
	records     int
	unsubmitted int
	first, last uint64
}

func (usage *accountUsage) add(own *Owner, counter uint64) {
	if usage.records == 0 {
		usage.first = counter
	} else {
		own.records.at(usage.last).next = counter
	}
	usage.last = counter
	usage.records++
	usage.unsubmitted++
}

func (own *Owner) accountUsage(acc yuccaid.Account) *accountUsage {
	usage := own.accounts[acc]
	if usage == nil {
		usage = new(accountUsage)
		own.accounts[acc] = usage
	}
	return usage
}

// checkLimits refuses to open a request if a limit on stored ids is reached. The
// retry-after is the time until the oldest id concerned expires.
func (own *Owner) checkLimits(reading time.Time, acc yuccaid.Account) error {
	if own.records.len()+len(own.overdue) >= own.limits.Total {
		return own.limitError(reading, acc, "total", own.limits.Total, own.records.first)
	}
	usage := own.accounts[acc]
	if usage == nil {
		return nil
	}
	if usage.records >= own.limits.PerAccount {
		return own.limitError(reading, acc, "perAccount", own.limits.PerAccount, usage.first)
	}
	if usage.unsubmitted >= own.limits.Unsubmitted {
		return own.limitError(reading, acc, "unsubmitted", own.limits.Unsubmitted, usage.first)
	}
	return nil
}

func (own *Owner) limitError(reading time.Time, acc yuccaid.Account, limit string, value int, oldest uint64) error {
	retryAfter := own.lifetime
	if rec := own.records.find(oldest); rec != nil {
		retryAfter = own.expiry(rec.issued).Sub(reading)
	}
	return &LimitError{Account: acc, Limit: limit, Value: value, RetryAfter: retryAfter}
}

// expiry returns when an id expires. It computes in milliseconds, as the id carries
// them, so that record and id expire at once.
func (own *Owner) expiry(issued int64) time.Time {
	return time.UnixMilli(issued).Add(own.lifetime)
}

func (own *Owner) expired(reading time.Time, issued int64) bool {
	return !reading.Before(own.expiry(issued))
}

// advance reads the clock and removes expired records. Every call begins with it, so
// that an id is refused from the very moment at which its record may be removed.
func (own *Owner) advance(now time.Time) time.Time {
	reading := own.clock.read(now)
	for own.records.len() > 0 && own.expired(reading, own.records.at(own.records.first).issued) {
		own.expireOldest()
	}
	for len(own.lateCloses) > 0 && !reading.Before(own.lateCloses[0].at.Add(overdueGrace)) {
		own.uncount(own.lateCloses[0].rec)
		delete(own.overdue, own.lateCloses[0].rec.counter)
		own.lateCloses = own.lateCloses[1:]
	}
	return reading
}

// expireOldest removes the oldest record. A record that is still waiting or dispatched
// is moved to overdue until it is closed, because its outcome is not known yet.
func (own *Owner) expireOldest() {
	counter := own.records.first
	rec := own.records.at(counter)
	usage := own.accounts[rec.account]
	usage.records--
	usage.first = rec.next
	if rec.stage == waiting || rec.stage == dispatched {
		overdue := *rec
		overdue.counter = counter
		own.overdue[counter] = &overdue
	} else {
		own.uncount(rec)
	}
	if usage.records == 0 {
		delete(own.accounts, rec.account)
	}
	own.records.drop()
}

func (own *Owner) uncount(rec *record) {
	own.stages[rec.stage]--
	if rec.stage == opened {
		own.accounts[rec.account].unsubmitted--
	}
}
