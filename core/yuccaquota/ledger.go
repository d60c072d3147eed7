package yuccaquota

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
)

const (
	// deepest is how far below empty a bucket may get, in seconds of the account's rate.
	// Reports come late, so several daemons may take the last of a bucket at once, and what
	// was let in too much has to be paid back. With 0.5 s, seven daemons that report each
	// 400 ms let a pressing account in for 1.7 times its quota; without a bound it would be
	// refused long after a mistake.
	deepest = 3.0
	// leastBack keeps refused callers from coming back in a loop.
	leastBack = 200 * time.Millisecond
)

// Spent is what one account was let in for since the last report, in the units of its
// quota. It is negative where requests that had been let in didn't run.
type Spent struct {
	Account yuccaid.Account
	Amount  int64
}

// Ledger counts what accounts are let in for. It isn't safe for concurrent use.
type Ledger struct {
	buckets map[yuccaid.Account]*bucket
	part    float64
}

// bucket is one account's quota as this daemon knows it.
type bucket struct {
	quota yuccaroute.Quota
	level float64
	at    time.Time
	// own is what this daemon let in and hasn't reported to those of its data centre yet,
	// centre what its data centre let in and hasn't reported to the others yet.
	own    int64
	centre int64
}

// New returns a ledger without quotas.
func New() *Ledger {
	return &Ledger{buckets: make(map[yuccaid.Account]*bucket), part: 1}
}

// Configure sets the accounts' quotas. A bucket keeps what it holds, at most its new burst.
func (led *Ledger) Configure(now time.Time, accounts []yuccaroute.Account) {
	known := make(map[yuccaid.Account]bool, len(accounts))
	for _, account := range accounts {
		if !account.Quota.Limited() {
			continue
		}
		known[account.Name] = true
		bkt := led.buckets[account.Name]
		if bkt == nil {
			bkt = &bucket{level: account.Quota.Burst * led.part, at: now}
			led.buckets[account.Name] = bkt
		}
		led.fill(now, bkt)
		bkt.quota = account.Quota
		bkt.level = min(bkt.level, bkt.quota.Burst)
	}
	for name := range led.buckets {
		if !known[name] {
			delete(led.buckets, name)
		}
	}
}

// SetPart sets the part of every quota that this daemon may use: 1 while it hears from most
// of the others.
func (led *Ledger) SetPart(now time.Time, part float64) {
	if part == led.part {
		return
	}
	for _, bkt := range led.buckets {
		led.fill(now, bkt)
	}
	led.part = part
}

// Part returns the part that was set.
func (led *Ledger) Part() float64 { return led.part }

// Take lets an account in for a cost if its bucket holds as much, and else returns when it
// will.
//
// A request that costs more than the whole burst is let in by a full bucket: it would
// never be otherwise.
func (led *Ledger) Take(now time.Time, account yuccaid.Account, cost float64) (back time.Duration, taken bool) {
	bkt := led.buckets[account]
	if bkt == nil {
		return 0, true
	}
	led.fill(now, bkt)
	need := min(cost, bkt.quota.Burst*led.part)
	if bkt.level < need {
		wait := (need - bkt.level) / (bkt.quota.Rate * led.part)
		return max(time.Duration(wait*float64(time.Second)), leastBack), false
	}
	led.spend(bkt, int64(cost))
	bkt.own += int64(cost)
	return 0, true
}

// Return gives back what a request was let in for that did not run.
func (led *Ledger) Return(now time.Time, account yuccaid.Account, cost float64) {
	if bkt := led.buckets[account]; bkt != nil {
		led.fill(now, bkt)
		led.spend(bkt, -int64(cost))
		bkt.own -= int64(cost)
	}
}

// Heard takes a report of a daemon of this data centre.
func (led *Ledger) Heard(now time.Time, spent []Spent) {
	for _, each := range spent {
		if bkt := led.buckets[each.Account]; bkt != nil {
			led.fill(now, bkt)
			led.spend(bkt, each.Amount)
		}
	}
}

// HeardAway takes a report of another data centre.
func (led *Ledger) HeardAway(now time.Time, spent []Spent) {
	for _, each := range spent {
		if bkt := led.buckets[each.Account]; bkt != nil {
			led.fill(now, bkt)
			led.spend(bkt, each.Amount)
			bkt.centre -= each.Amount
		}
	}
}

// Report returns what this daemon let in since the last report.
func (led *Ledger) Report() []Spent {
	return led.collect(func(bkt *bucket) *int64 { return &bkt.own })
}

// ReportAway returns what this data centre let in since the last such report, for the one
// daemon that reports to the others.
func (led *Ledger) ReportAway() []Spent {
	return led.collect(func(bkt *bucket) *int64 { return &bkt.centre })
}

func (led *Ledger) collect(of func(*bucket) *int64) []Spent {
	var list []Spent
	for name, bkt := range led.buckets {
		if amount := of(bkt); *amount != 0 {
			list = append(list, Spent{Account: name, Amount: *amount})
			*amount = 0
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Levels returns what the buckets hold that are not full, for a daemon that has just
// started or was cut off.
func (led *Ledger) Levels(now time.Time) []Spent {
	var list []Spent
	for name, bkt := range led.buckets {
		led.fill(now, bkt)
		if bkt.level < bkt.quota.Burst*led.part {
			list = append(list, Spent{Account: name, Amount: int64(bkt.level)})
		}
	}
	slices.SortFunc(list, compareSpent)
	return list
}

// Lower takes over another daemon's levels where they are lower. A daemon that has just
// started knows of nothing that was let in before, and full buckets after each restart
// would let an account in again and again.
func (led *Ledger) Lower(now time.Time, levels []Spent) {
	for _, each := range levels {
		if bkt := led.buckets[each.Account]; bkt != nil {
			led.fill(now, bkt)
			bkt.level = max(min(bkt.level, float64(each.Amount)), -deepest*bkt.quota.Rate)
		}
	}
}

// fill adds what has come in since the last look.
func (led *Ledger) fill(now time.Time, bkt *bucket) {
	span := now.Sub(bkt.at).Seconds()
	if span <= 0 {
		return
	}
	bkt.at = now
	bkt.level = min(bkt.level+span*bkt.quota.Rate*led.part, bkt.quota.Burst*led.part)
}

func (led *Ledger) spend(bkt *bucket, amount int64) {
	bkt.level = min(max(bkt.level-float64(amount), -deepest*bkt.quota.Rate), bkt.quota.Burst*led.part)
	bkt.centre += amount
}

func compareSpent(a, b Spent) int {
	return cmp.Compare(a.Account, b.Account)
}
