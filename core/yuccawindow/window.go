// Package yuccawindow sums amounts over a sliding time window.
package yuccawindow

import "time"

// Buckets is the number of equal buckets that a window is divided into. The oldest bucket expires
// as a whole, so a sum covers between Buckets-1 and Buckets times the span of one bucket.
const Buckets = 32

// buckets is the name of Buckets within this package.
const buckets = Buckets

// Sum is the sum of the amounts that were added within a window. The zero value is empty; call
// Advance before reading it.
//
// A Sum measures time as the difference between the current time and started. Package time computes
// this difference from the monotonic clock, so a step of the wall clock neither empties the window
// nor keeps amounts in it for longer.
type Sum struct {
	// started is the time of the first call of Advance with the present span.
	started time.Time
	span    time.Duration
	// amounts holds the amount of each bucket. It is a ring: buckets are numbered from started, and
	// bucket n is at index n%buckets.
	amounts [buckets]int64
	// current is the number of the newest bucket.
	current int64
	total   int64
}

// Advance moves a window of the given span to now and drops the buckets that have left it. A call
// with another span than the previous call empties the sum.
func (sum *Sum) Advance(now time.Time, span time.Duration) {
	if sum.started.IsZero() || sum.span != span {
		*sum = Sum{started: now, span: span}
	}
	newest := int64(now.Sub(sum.started) / max(span/buckets, 1))
	if newest-sum.current >= buckets {
		sum.amounts, sum.current, sum.total = [buckets]int64{}, newest, 0
	}
	for sum.current < newest {
		sum.current++
		sum.total -= sum.amounts[sum.current%buckets]
		sum.amounts[sum.current%buckets] = 0
	}
}

// Add adds an amount at the time of the last call of Advance. A negative amount is subtracted, but
// the total doesn't drop below zero.
//
// It is subtracted from the oldest amounts. It takes back one that was added before, at a time that isn't known. If it were
// counted now, the total would be too low once that amount has left the window.
func (sum *Sum) Add(amount int64) {
	if amount < 0 {
		sum.subtract(min(-amount, sum.total))
		return
	}
	sum.amounts[sum.current%buckets] += amount
	sum.total += amount
}

// subtract takes an amount from the oldest buckets.
func (sum *Sum) subtract(amount int64) {
	for bucketsAgo := int64(buckets - 1); bucketsAgo >= 0 && amount > 0; bucketsAgo-- {
		bucket := &sum.amounts[(sum.current-bucketsAgo+buckets)%buckets]
		taken := min(amount, max(*bucket, 0))
		*bucket -= taken
		sum.total -= taken
		amount -= taken
	}
}

// AddHalfWindowAgo adds an amount as if it had been added half a window before the last call of
// Advance.
func (sum *Sum) AddHalfWindowAgo(amount int64) {
	sum.amounts[(sum.current-buckets/2+buckets)%buckets] += amount
	sum.total += amount
}

// AgeGroups is the number of age groups. An age group holds the amounts whose age, which is the
// time since they were added, lies in one of AgeGroups equal parts of the window.
const AgeGroups = buckets / 2

// Ages returns the sum of each age group, the most recent group first.
func (sum *Sum) Ages() [AgeGroups]int64 {
	var ages [AgeGroups]int64
	for bucketsAgo := range int64(buckets) {
		ages[bucketsAgo/(buckets/AgeGroups)] += sum.amounts[(sum.current-bucketsAgo+buckets)%buckets]
	}
	return ages
}

// AddAtAge adds an amount, which may be negative, to the oldest bucket of an age group. The oldest
// bucket is used because an amount that daemons copy from one another's windows must never become
// younger by being copied.
func (sum *Sum) AddAtAge(group int, amount int64) {
	bucketsAgo := int64(group+1)*(buckets/AgeGroups) - 1
	sum.amounts[(sum.current-bucketsAgo+buckets)%buckets] += amount
	sum.total += amount
}

// Total returns the sum over the whole window.
func (sum *Sum) Total() int64 { return sum.total }

// Recent returns the sum over the given most recent part of the window, rounded up to whole
// buckets. One more bucket is included, because the newest bucket has not ended yet and so covers
// less time than a whole bucket.
func (sum *Sum) Recent(part time.Duration) int64 {
	bucketSpan := max(sum.span/buckets, 1)
	count := min(int64((part+bucketSpan-1)/bucketSpan)+1, buckets)
	recent := int64(0)
	for bucketsAgo := range count {
		recent += sum.amounts[(sum.current-bucketsAgo+buckets)%buckets]
	}
	return recent
}

// ExpiresIn returns how long it takes until at least the given amount has left the window, rounded up
// to whole buckets and at most the span of the window.
func (sum *Sum) ExpiresIn(amount int64) time.Duration {
	bucketSpan := sum.span / buckets
	wait := time.Duration(0)
	for number := sum.current + 1; number <= sum.current+buckets && amount > 0; number++ {
		amount -= sum.amounts[number%buckets]
		wait += bucketSpan
	}
	return wait
}
