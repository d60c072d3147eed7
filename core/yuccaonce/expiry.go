package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// overdueGrace keeps the outcome of a request that ended past its lifetime. Its
// caller waits for it now, so a lost answer is asked for again within moments.
const overdueGrace = time.Minute

// ending is the late end of an overdue request.
type ending struct {
	rec *record
	at  time.Time
}

// ledger counts what one account makes the owner hold; first and last are the ends
// of the chain through record.next.
type ledger struct {
	held        int
	unsubmitted int
	first, last uint64
}

func (led *ledger) add(own *Owner, counter uint64) {
	if led.held == 0 {
		led.first = counter
	} else {
		own.held.at(led.last).next = counter
	}
	led.last = counter
	led.held++
	led.unsubmitted++
}

func (own *Owner) ledger(acc yuccaid.Account) *ledger {
	led := own.accounts[acc]
	if led == nil {
		led = new(ledger)
		own.accounts[acc] = led
	}
	return led
}

// checkLimits refuses an open when memory is used up. The time to come back is that
// at which the oldest id concerned is forgotten.
func (own *Owner) checkLimits(reading time.Time, acc yuccaid.Account) error {
	if own.held.len()+len(own.overdue) >= own.limits.Total {
		return own.limitError(reading, acc, "total", own.limits.Total, own.held.first)
	}
	led := own.accounts[acc]
	if led == nil {
		return nil
	}
	if led.held >= own.limits.PerAccount {
		return own.limitError(reading, acc, "perAccount", own.limits.PerAccount, led.first)
	}
	if led.unsubmitted >= own.limits.Unsubmitted {
		return own.limitError(reading, acc, "unsubmitted", own.limits.Unsubmitted, led.first)
	}
	return nil
}

func (own *Owner) limitError(reading time.Time, acc yuccaid.Account, limit string, value int, oldest uint64) error {
	back := own.lifetime
	if rec := own.held.find(oldest); rec != nil {
		back = own.expiry(rec.issued).Sub(reading)
	}
	return &LimitError{Account: acc, Limit: limit, Value: value, RetryAfter: back}
}

// expiry compares milliseconds as the id carries them: record and id expire at once.
func (own *Owner) expiry(issued int64) time.Time {
	return time.UnixMilli(issued).Add(own.lifetime)
}

func (own *Owner) expired(reading time.Time, issued int64) bool {
	return !reading.Before(own.expiry(issued))
}

// advance reads the clock and forgets what has expired. Every call begins with it:
// an id is refused from the same instant on at which it may be forgotten.
func (own *Owner) advance(now time.Time) time.Time {
	reading := own.clock.read(now)
	for own.held.len() > 0 && own.expired(reading, own.held.at(own.held.first).issued) {
		own.forget()
	}
	for len(own.ended) > 0 && !reading.Before(own.ended[0].at.Add(overdueGrace)) {
		own.drop(own.ended[0].rec)
		delete(own.overdue, own.ended[0].rec.counter)
		own.ended = own.ended[1:]
	}
	return reading
}

// forget drops the oldest record. One that still waits or runs is set aside until it
// ends, since its outcome is not known yet.
func (own *Owner) forget() {
	counter := own.held.first
	rec := own.held.at(counter)
	led := own.accounts[rec.account]
	led.held--
	led.first = rec.next
	if rec.stage == waiting || rec.stage == dispatched {
		kept := *rec
		kept.counter = counter
		own.overdue[counter] = &kept
	} else {
		own.drop(rec)
	}
	if led.held == 0 {
		delete(own.accounts, rec.account)
	}
	own.held.drop()
}

func (own *Owner) drop(rec *record) {
	own.stages[rec.stage]--
	if rec.stage == opened {
		own.accounts[rec.account].unsubmitted--
	}
}
