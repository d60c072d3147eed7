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

// TestOracle compares a sum with one that remembers every amount.
func TestOracle(t *testing.T) {
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
			least, most := int64(0), int64(0)
			for _, each := range all {
				if age := now.Sub(each.at); age < span-span/32 {
					least += each.amount
				}
				if now.Sub(each.at) < span {
					most += each.amount
				}
			}
			if sum.Total() < least || sum.Total() > most {
				t.Fatalf("sum %d, want %d to %d", sum.Total(), least, most)
			}
		}
	})
}

var _ = Describe("a sum over a window", func() {
	now := time.Unix(1_700_000_000, 0)

	It("takes back no more than was counted", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, time.Second)
		sum.Add(5)
		sum.Add(-9)
		Expect(sum.Total()).To(BeZero())
	})

	// The time of day of a VM is set back by two seconds. A sum that counted by it would keep
	// what it holds for so much longer, or lose it.
	It("doesn't mind a step of the wall clock", func() {
		real := time.Now()
		var sum yuccawindow.Sum
		sum.Advance(real, 3200*time.Millisecond)
		sum.Add(5)
		sum.Advance(real.Add(time.Second), 3200*time.Millisecond)
		Expect(sum.Total()).To(Equal(int64(5)))
		sum.Advance(real.Add(4*time.Second), 3200*time.Millisecond)
		Expect(sum.Total()).To(BeZero())
	})

	It("begins anew with another span", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, time.Second)
		sum.Add(5)
		sum.Advance(now, time.Minute)
		Expect(sum.Total()).To(BeZero())
	})

	It("says when an amount has left", func() {
		var sum yuccawindow.Sum
		sum.Advance(now, 32*time.Second)
		sum.Add(5)
		Expect(sum.ExpiresIn(5)).To(Equal(32 * time.Second))
		sum.AddHalfWindowAgo(5)
		Expect(sum.ExpiresIn(5)).To(BeNumerically("~", 16*time.Second, time.Second))
	})
})
