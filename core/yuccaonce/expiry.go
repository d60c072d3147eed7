package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// overdueGrace is how long the outcome of a request is kept if the request was closed
// after its id's lifetime. The caller is still waiting for the outcome, so if the
// answer is lost, the caller retries within seconds.
const overdueGrace = time.Minute

// lateClose is a record that was closed after its id's lifetime, and the time when it
// was closed.
type lateClose struct {
	rec *record
	at  time.Time
}

// accountIDs counts the ids that the owner stores for one account. Overdue ids count
// only towards the total of all accounts. first and last are the counters of the
// account's oldest and newest record; record.next links the records between them.
type accountIDs struct {
	records     int
	unsubmitted int
	first, last uint64
}

// add counts a new record and links it to the account's newest record before it.
func (ids *accountIDs) add(own *Owner, counter uint64) {
	if ids.records == 0 {
		ids.first = counter
	} else {
		own.records.at(ids.last).next = counter
	}
	ids.last = counter
	ids.records++
	ids.unsubmitted++
}

// accountIDs returns the counts of an account; an account without counts gets new ones.
func (own *Owner) accountIDs(acc yuccaid.Account) *accountIDs {
	ids := own.accounts[acc]
	if ids == nil {
		ids = new(accountIDs)
		own.accounts[acc] = ids
	}
	return ids
}

// checkLimits refuses to open a request if a limit on stored ids is reached. The
// error's RetryAfter is the time until the oldest stored id expires, of all accounts
// for the total and of the account for its own limits. The account's oldest id is taken
// even if it was submitted and the limit counts only unsubmitted ids.
func (own *Owner) checkLimits(reading time.Time, acc yuccaid.Account) error {
	if own.records.len()+len(own.overdue) >= own.limits.Total {
		return own.limitError(reading, acc, "total", own.limits.Total, own.records.first)
	}
	ids := own.accounts[acc]
	if ids == nil {
		return nil
	}
	if ids.records >= own.limits.PerAccount {
		return own.limitError(reading, acc, "perAccount", own.limits.PerAccount, ids.first)
	}
	if ids.unsubmitted >= own.limits.Unsubmitted {
		return own.limitError(reading, acc, "unsubmitted", own.limits.Unsubmitted, ids.first)
	}
	return nil
}

// limitError returns the error for a limit that is reached. oldest is the counter of
// the record at whose expiry a retry may succeed. If this record is not stored,
// RetryAfter is a whole lifetime.
func (own *Owner) limitError(reading time.Time, acc yuccaid.Account, limit string, value int, oldest uint64) error {
	retryAfter := own.lifetime
	if rec := own.records.find(oldest); rec != nil {
		retryAfter = own.expiry(rec.issued).Sub(reading)
	}
	return &LimitError{Account: acc, Limit: limit, Value: value, RetryAfter: retryAfter}
}

// expiry returns when an id expires. The issue time is in milliseconds in the record,
// as in the id, so that both expire at the same moment.
func (own *Owner) expiry(issued int64) time.Time {
	return time.UnixMilli(issued).Add(own.lifetime)
}

func (own *Owner) expired(reading time.Time, issued int64) bool {
	return !reading.Before(own.expiry(issued))
}

// advance reads the clock, removes or moves to overdue the records that have expired,
// and removes overdue records that were closed overdueGrace ago. Every call that opens
// or looks up an id begins with advance, so that an id is refused from the very moment
// at which its record may be removed.
func (own *Owner) advance(now time.Time) time.Time {
	reading := own.clock.read(now)
	for own.records.len() > 0 && own.expired(reading, own.records.at(own.records.first).issued) {
		own.expireOldest()
	}
	for len(own.lateCloses) > 0 && !reading.Before(own.lateCloses[0].at.Add(overdueGrace)) {
		own.removeFromCounts(own.lateCloses[0].rec)
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
	ids := own.accounts[rec.account]
	ids.records--
	ids.first = rec.next
	if rec.stage == waiting || rec.stage == dispatched {
		overdue := *rec
		overdue.counter = counter
		own.overdue[counter] = &overdue
	} else {
		own.removeFromCounts(rec)
	}
	if ids.records == 0 {
		delete(own.accounts, rec.account)
	}
	own.records.dropOldest()
}

// removeFromCounts subtracts a record that is no longer stored from the counts by stage
// and by account.
func (own *Owner) removeFromCounts(rec *record) {
	own.stages[rec.stage]--
	if rec.stage == opened {
		own.accounts[rec.account].unsubmitted--
	}
}
