package yuccawindow_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccawindow"
)

func TestYuccawindow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccawindow")
}

// TestOracle compares a Sum with two exact bounds computed from every single amount: the lower
// bound includes the amounts that certainly lie within the window, and the upper bound includes the
// amounts that may lie within it.
func TestOracle(t *testing.T) {
	// Each of the 32 buckets covers 100 ms.
	const span = 3200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at     time.Time
			amount int64
		}
		var sum yuccawindow.Sum
		var all []entry
		now := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			amount := int64(rapid.IntRange(0, 50).Draw(t, "amount"))
			sum.Advance(now, span)
			sum.Add(amount)
			all = append(all, entry{now, amount})
			lower, upper := int64(0), int64(0)
			for _, each := range all {
				if age := now.Sub(each.at); age < span-span/32 {
					lower += each.amount
				}
				if now.Sub(each.at) < span {
					upper += each.amount
				}
			}
			if sum.Total() < lower || sum.Total() > upper {
				t.Fatalf("sum %d, want %d to %d", sum.Total(), lower, upper)
			}
		}
	})
}

// TestNothingIsForgottenThatWasNotTakenBack guards against the failure that a sum is too low because an amount was taken back later
// than it was added.
func TestNothingIsForgottenThatWasNotTakenBack(t *testing.T) {
	const span = 3200 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		type entry struct {
			at        time.Time
			amount    int64
			takenBack bool
		}
		var sum yuccawindow.Sum
		var all []*entry
		now := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "pause")) * time.Millisecond)
			sum.Advance(now, span)
			if back := rapid.IntRange(0, 2*len(all)).Draw(t, "back"); back < len(all) && !all[back].takenBack {
				all[back].takenBack = true
				// An amount that has left the window isn't in the sum any more.
				if now.Sub(all[back].at) < span-span/32 {
					sum.Add(-all[back].amount)
				}
			} else {
				all = append(all, &entry{at: now, amount: int64(rapid.IntRange(1, 50).Draw(t, "amount"))})
				sum.Add(all[len(all)-1].amount)
			}
			least := int64(0)
			for _, each := range all {
				if !each.takenBack && now.Sub(each.at) < span-span/32 {
					least += each.amount
				}
			}
			if sum.Total() < least {
				t.Fatalf("sum %d, want at least %d", sum.Total(), least)
			}
		}
	})
}

var _ = Describe("a sum over a window", func() {
	now := time.Unix(1_700_000_000, 0)

	It("subtracts no more than was added", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, time.Second)
		sum.Add(5)
		sum.Add(-9)
		Expect(sum.Total()).To(BeZero())
	})

	// The wall clock of a VM steps back by two seconds. A Sum that used the wall clock would keep
	// its amounts for two seconds longer, or drop them early.
	It("isn't affected by a step of the wall clock", func() {
		// Only time.Now returns times with a reading of the monotonic clock.
		monotonic := time.Now()
		var sum yuccawindow.Sum
		sum.Advance(monotonic, 3200*time.Millisecond)
		sum.Add(5)
		sum.Advance(monotonic.Add(time.Second), 3200*time.Millisecond)
		Expect(sum.Total()).To(Equal(int64(5)))
		sum.Advance(monotonic.Add(4*time.Second), 3200*time.Millisecond)
		Expect(sum.Total()).To(BeZero())
	})

	It("is emptied by a change of the span", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, time.Second)
		sum.Add(5)
		sum.Advance(now, time.Minute)
		Expect(sum.Total()).To(BeZero())
	})

	It("returns when an amount will have left the window", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, 32*time.Second)
		sum.Add(5)
		Expect(sum.ExpiresIn(5)).To(Equal(32 * time.Second))
		sum.AddHalfWindowAgo(5)
		Expect(sum.ExpiresIn(5)).To(BeNumerically("~", 16*time.Second, time.Second))
	})

	// Guards against the failure that callers are told to wait for one bucket longer than an amount stays.
	It("returns the time at which an amount leaves, and no later one", func() {
		for age := range 32 {
			var sum yuccawindow.Sum
			sum.Advance(now, 32*time.Second)
			sum.Add(5)
			asked := now.Add(time.Duration(age) * time.Second)
			sum.Advance(asked, 32*time.Second)
			wait := sum.ExpiresIn(5)
			sum.Advance(asked.Add(wait-time.Second), 32*time.Second)
			Expect(sum.Total()).To(Equal(int64(5)), "age %d s", age)
			sum.Advance(asked.Add(wait), 32*time.Second)
			Expect(sum.Total()).To(BeZero(), "age %d s", age)
		}
	})
})
