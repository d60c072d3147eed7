// Package yuccawindow sums amounts over a sliding time window.
package yuccawindow

import "time"

// Parts is the number of equal buckets that a window is divided into. The oldest bucket
// expires as a whole, so a sum covers between Parts-1 and Parts buckets.
const Parts = 32

const buckets = Parts

// Sum is the sum of the amounts that were added within a window. The zero value is empty; call
// Advance before reading it.
//
// Time is measured from the first call of Advance, so that a step of the wall clock neither
// empties the window nor keeps amounts in it for longer.
type Sum struct {
	started time.Time
	span    time.Duration
	// bucket is a ring: the bucket with number n since the start is at index n%buckets.
	bucket [buckets]int64
	// current is the number of the newest bucket.
	current int64
	total   int64
}

// Advance moves a window of the given span to now and drops the buckets that have left it. A
// span that differs from the one of the previous call empties the sum.
func (sum *Sum) Advance(now time.Time, span time.Duration) {
	if sum.started.IsZero() || sum.span != span {
		*sum = Sum{started: now, span: span}
	}
	bucket := int64(now.Sub(sum.started) / max(span/buckets, 1))
	if bucket-sum.current >= buckets {
		sum.bucket, sum.current, sum.total = [buckets]int64{}, bucket, 0
	}
	for sum.current < bucket {
		sum.current++
		sum.total -= sum.bucket[sum.current%buckets]
		sum.bucket[sum.current%buckets] = 0
	}
}

// Add adds an amount at the current time. A negative amount is subtracted, but the total
// doesn't drop below zero.
func (sum *Sum) Add(amount int64) {
	amount = max(amount, -sum.total)
	sum.bucket[sum.current%buckets] += amount
	sum.total += amount
}

// AddHalfWindowAgo adds an amount with an age of half the window.
func (sum *Sum) AddHalfWindowAgo(amount int64) {
	sum.bucket[(sum.current-buckets/2+buckets)%buckets] += amount
	sum.total += amount
}

// AgeGroups is the number of equal parts of the window by which Ages groups amounts.
const AgeGroups = buckets / 2

// Ages returns the sum of each age group, the most recent group first.
func (sum *Sum) Ages() [AgeGroups]int64 {
	var ages [AgeGroups]int64
	for offset := range int64(buckets) {
		ages[offset/(buckets/AgeGroups)] += sum.bucket[(sum.current-offset+buckets)%buckets]
	}
	return ages
}

// AddAtAge adds an amount, which may be negative, to the oldest bucket of an age group. Because
// the oldest bucket is used, an amount that daemons copy from one another's windows never
// becomes younger.
func (sum *Sum) AddAtAge(group int, amount int64) {
	offset := int64(group+1)*(buckets/AgeGroups) - 1
	sum.bucket[(sum.current-offset+buckets)%buckets] += amount
	sum.total += amount
}

// Total returns the sum over the whole window.
func (sum *Sum) Total() int64 { return sum.total }

// Recent returns the sum over the last part of the window, which has the length of within
// rounded up to whole buckets.
func (sum *Sum) Recent(within time.Duration) int64 {
	width := max(sum.span/buckets, 1)
	count := min(int64((within+width-1)/width)+1, buckets)
	recent := int64(0)
	for offset := range count {
		recent += sum.bucket[(sum.current-offset+buckets)%buckets]
	}
	return recent
}

// ExpiresIn returns how long it takes until at least the given amount has left the window.
func (sum *Sum) ExpiresIn(amount int64) time.Duration {
	width := sum.span / buckets
	wait := width
	for number := sum.current + 1; number < sum.current+buckets && amount > 0; number++ {
		amount -= sum.bucket[number%buckets]
		wait += width
	}
	return wait
}
