// Package yuccawindow sums what happened within a sliding window of time.
package yuccawindow

import "time"

// Parts is into how many parts a window is divided. The oldest part leaves as a whole, so
// what is counted lies between the window and one part less.
const Parts = 32

const slots = Parts

// Sum is a sum over a window. Its zero value is empty; Advance it before it is read.
//
// Time is counted from the first call, so that a step of the wall clock neither empties a
// window nor keeps it for ever.
type Sum struct {
	began time.Time
	span  time.Duration
	slot  [slots]int64
	last  int64
	total int64
}

// Advance drops what has left a window of the given span. Another span than last time
// empties the sum.
func (sum *Sum) Advance(now time.Time, span time.Duration) {
	if sum.began.IsZero() || sum.span != span {
		*sum = Sum{began: now, span: span}
	}
	slot := int64(now.Sub(sum.began) / max(span/slots, 1))
	if slot-sum.last >= slots {
		sum.slot, sum.last, sum.total = [slots]int64{}, slot, 0
	}
	for sum.last < slot {
		sum.last++
		sum.total -= sum.slot[sum.last%slots]
		sum.slot[sum.last%slots] = 0
	}
}

// Add counts an amount now. A negative one takes back what was counted, down to nothing.
func (sum *Sum) Add(amount int64) {
	amount = max(amount, -sum.total)
	sum.slot[sum.last%slots] += amount
	sum.total += amount
}

// AddHalfWindowAgo counts an amount as if half a window ago.
func (sum *Sum) AddHalfWindowAgo(amount int64) {
	sum.slot[(sum.last-slots/2+slots)%slots] += amount
	sum.total += amount
}

// AgeGroups is into how many parts AgeGroups divides a window.
const AgeGroups = slots / 2

// Ages returns the sum by how long ago it was counted, the latest first.
func (sum *Sum) Ages() [AgeGroups]int64 {
	var ages [AgeGroups]int64
	for back := range int64(slots) {
		ages[back/(slots/AgeGroups)] += sum.slot[(sum.last-back+slots)%slots]
	}
	return ages
}

// AddAtAge counts an amount, or takes it back, at one of the ages: as old as that part
// reaches. An amount that is passed on again and again never grows younger by it.
func (sum *Sum) AddAtAge(age int, amount int64) {
	back := int64(age+1)*(slots/AgeGroups) - 1
	sum.slot[(sum.last-back+slots)%slots] += amount
	sum.total += amount
}

// Total returns the sum.
func (sum *Sum) Total() int64 { return sum.total }

// Recent returns what was counted within the last of the window, in whole parts.
func (sum *Sum) Recent(ago time.Duration) int64 {
	width := max(sum.span/slots, 1)
	parts := min(int64((ago+width-1)/width)+1, slots)
	recent := int64(0)
	for back := range parts {
		recent += sum.slot[(sum.last-back+slots)%slots]
	}
	return recent
}

// ExpiresIn returns how long it takes until an amount has left the window.
func (sum *Sum) ExpiresIn(amount int64) time.Duration {
	width := sum.span / slots
	wait := width
	for at := sum.last + 1; at < sum.last+slots && amount > 0; at++ {
		amount -= sum.slot[at%slots]
		wait += width
	}
	return wait
}
