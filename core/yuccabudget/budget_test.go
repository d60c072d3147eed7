package yuccabudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccabudget"
)

var bounds = yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 0.2, Allowance: 54}

// newBudget returns the budget of a daemon that knows a number of daemons, itself included.
func newBudget(now time.Time, bounds yuccabudget.Bounds, daemons int) *yuccabudget.Budget {
	bud := yuccabudget.New(bounds)
	bud.SetFleet(now, yuccabudget.Fleet{Daemons: daemons})
	return bud
}

var _ = Describe("the budget of resends", func() {
	// Every target of a pool fails every request. Without a limit each daemon would resend each
	// request, which doubles the load on targets that are overloaded already.
	It("holds over all daemons and every window", func() {
		const daemons, requestsPerSecond = 7, 5
		now := time.Unix(1_700_000_000, 0)
		arrivals := yuccabudget.NewArrivals(bounds)
		var budgets []*yuccabudget.Budget
		for range daemons {
			budgets = append(budgets, newBudget(now, bounds, daemons))
		}
		for range 40 * requestsPerSecond {
			now = now.Add(time.Second / requestsPerSecond)
			for _, bud := range budgets {
				arrivals.RecordRequest(now)
				bud.CountRequest(now, "desk")
				for bud.DecideResend(now, "desk").Allowed {
					bud.Arrived(now, "desk")
					arrivals.RecordResent(now)
				}
			}
		}
		Expect(arrivals.Worst(time.Time{}).Share()).To(And(BeNumerically("<=", 1), BeNumerically(">", 0)))
	})

	It("allows only the allowance without traffic, and allows it again after the window", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 7)
		resend := func() int {
			sent := 0
			for bud.DecideResend(now, "desk").Allowed {
				bud.Arrived(now, "desk")
				sent++
			}
			return sent
		}
		// The part of one of 7 daemons is 0.85 * 54 / 7, which is 6.6.
		Expect(resend()).To(Equal(6))
		now = now.Add(5 * time.Second)
		Expect(resend()).To(Equal(0))
		now = now.Add(time.Minute)
		Expect(resend()).To(Equal(6))
	})

	// An operator sees from a daemon's log why a request wasn't sent again.
	It("tells what a decision was made from", func() {
		bud := yuccabudget.New(bounds)
		now := time.Unix(1_700_000_000, 0)
		bud.SetFleet(now, yuccabudget.Fleet{Daemons: 6, Seeds: 2, ReachedSeeds: 1})
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		bud.DecideResend(now, "desk")
		dec := bud.DecideResend(now, "desk")
		Expect(dec.Limit).To(BeNumerically("~", 0.5*0.2*10+0.85*54/12, 1e-9))
		Expect(dec).To(Equal(yuccabudget.Decision{Allowed: true, Used: 1, Limit: dec.Limit, Share: 1.0 / 12, Daemons: 6}))
	})

	// Guards against the failure that each process which starts has the allowance anew, though the one before
	// it has used it within the same window.
	It("has no allowance until what was resent before its start has left the window", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := yuccabudget.New(bounds)
		bud.MarkCountsLost(now)
		bud.SetFleet(now, yuccabudget.Fleet{Daemons: 1})
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeFalse())
		Expect(bud.DecideResend(now.Add(bounds.Window), "desk").Allowed).To(BeFalse(), "the others may not divide by one more yet")
		Expect(bud.DecideResend(now.Add(bounds.Window+2*time.Second), "desk").Allowed).To(BeTrue())
	})

	It("sends a share of its own requests again right after its start", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 7)
		bud.MarkCountsLost(now)
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeFalse())
	})

	// Guards against the failure that a reload of the settings file with another window empties the counts.
	It("has no allowance until the new window has passed if the window changes", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 1)
		wider := bounds
		wider.Window = 12 * time.Second
		bud.SetBounds(now, wider)
		bud.SetFleet(now, yuccabudget.Fleet{Daemons: 1})
		Expect(bud.DecideResend(now.Add(11*time.Second), "desk").Allowed).To(BeFalse())
		bud.SetBounds(now.Add(12*time.Second), wider)
		Expect(bud.DecideResend(now.Add(15*time.Second), "desk").Allowed).To(BeTrue())
	})

	// Guards against the failure that survivors take over the parts of the allowance that daemons have used
	// which were killed since, or go on using because they were only cut off.
	It("divides the allowance among all daemons that it knew within the last minutes", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 7)
		for range 5 * 60 {
			now = now.Add(time.Second)
			bud.SetFleet(now, yuccabudget.Fleet{Daemons: 2})
		}
		Expect(bud.DecideResend(now, "desk").Daemons).To(Equal(7))
		for range 20 * 60 {
			now = now.Add(time.Second)
			bud.SetFleet(now, yuccabudget.Fleet{Daemons: 2})
		}
		Expect(bud.DecideResend(now, "desk").Daemons).To(Equal(2))
	})

	It("has its part of the allowance while all others are down", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 2)
		alone := yuccabudget.Fleet{Daemons: 1, Isolated: true}
		bud.SetFleet(now.Add(time.Second), alone)
		Expect(bud.DecideResend(now.Add(time.Second), "desk").Limit).To(Equal(0.85 * 54 / 2))
		bud.SetFleet(now.Add(10*time.Minute), alone)
		Expect(bud.DecideResend(now.Add(10*time.Minute), "desk").Limit).To(BeZero(), "others may have joined that it doesn't know")
	})

	// Guards against the failure that daemons which know nobody, because they are cut off from one another,
	// each have the allowance to themselves.
	It("has no allowance until it has reached another daemon, but a share of its own requests", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := yuccabudget.New(bounds)
		bud.SetFleet(now, yuccabudget.Fleet{Daemons: 3, Isolated: true})
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeFalse())
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
	})

	// Guards against the failure that parts of a fleet which are cut off from one another, and have started since,
	// each have the whole allowance.
	It("has the share of the allowance for which the seeds stand that it reaches", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := yuccabudget.New(bounds)
		bud.MarkCountsLost(now)
		for second := range 13 {
			bud.SetFleet(now.Add(time.Duration(second)*time.Second), yuccabudget.Fleet{Daemons: 2, Seeds: 3, ReachedSeeds: 1})
		}
		Expect(bud.DecideResend(now.Add(12*time.Second), "desk").Limit).To(BeNumerically("~", 0.85*54/3/2, 1e-9))
	})

	// Guards against the failure that a daemon which joins others has its part at once, while they have used the whole
	// allowance within the window.
	It("has the smallest part that it had within the last window", func() {
		now := time.Unix(1_700_000_000, 0)
		at := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
		bud := yuccabudget.New(bounds)
		limit := func(second, daemons, reached int) float64 {
			bud.SetFleet(at(second), yuccabudget.Fleet{Daemons: daemons, Seeds: 3, ReachedSeeds: reached})
			return bud.DecideResend(at(second), "desk").Limit
		}
		Expect(limit(0, 2, 3)).To(Equal(0.85 * 54 / 2))
		Expect(limit(5, 2, 0)).To(BeZero())
		Expect(limit(6, 4, 3)).To(BeZero())
		Expect(limit(16, 4, 3)).To(BeZero(), "what others have used since it reached no seed is still in the window")
		Expect(limit(18, 4, 3)).To(Equal(0.85 * 54 / 4))
	})

	// Guards against the failure that resends which wait for a target, or are held up on their way, arrive together
	// with those of the next window.
	It("counts a resend from the decision until a window after its arrival", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, yuccabudget.Bounds{Window: 10 * time.Second, Allowance: 2}, 1)
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
		now = now.Add(time.Minute)
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeFalse(), "it still waits")
		bud.Arrived(now, "desk")
		now = now.Add(9 * time.Second)
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeFalse(), "it has arrived within the window")
		now = now.Add(2 * time.Second)
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
	})

	// Guards against the failure that a resend is sent long after the requests that allowed it.
	It("sends a resend only as long as the limit allows it", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 1}, 1)
		bud.CountRequest(now, "desk")
		bud.CountRequest(now, "desk")
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
		Expect(bud.MaySend(now.Add(5*time.Second), "desk")).To(BeTrue())
		Expect(bud.MaySend(now.Add(11*time.Second), "desk")).To(BeFalse())
		Expect(bud.DecideResend(now.Add(11*time.Second), "desk").Used).To(BeZero())
	})

	It("doesn't count a resend that isn't sent", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, yuccabudget.Bounds{Window: 10 * time.Second, Allowance: 2}, 1)
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
		bud.Drop(now, "desk")
		Expect(bud.DecideResend(now, "desk").Allowed).To(BeTrue())
	})

	// Guards against the failure that a process which was frozen reads what callers sent meanwhile, and resends for it
	// in a window in which nobody sent it.
	It("doesn't count requests that may have been sent before a pause ended", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 1}, 1)
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		bud.MarkResumed(now, time.Second)
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		Expect(bud.DecideResend(now, "desk").Limit).To(BeZero())
		now = now.Add(time.Second)
		bud.CountRequest(now, "desk")
		Expect(bud.DecideResend(now, "desk").Limit).To(Equal(0.5))
	})

	// Guards against the failure that a process which was frozen has its part of the allowance when it wakes, though those
	// that have started meanwhile divide all of it.
	It("has no allowance after a pause of a window until a window has passed", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 4)
		bud.MarkResumed(now.Add(time.Minute), 9*time.Second)
		Expect(bud.DecideResend(now.Add(time.Minute), "desk").Allowed).To(BeTrue())
		bud.MarkResumed(now.Add(2*time.Minute), 10*time.Second)
		bud.SetFleet(now.Add(2*time.Minute), yuccabudget.Fleet{Daemons: 4})
		Expect(bud.DecideResend(now.Add(2*time.Minute), "desk").Allowed).To(BeFalse())
		Expect(bud.DecideResend(now.Add(2*time.Minute+12*time.Second), "desk").Allowed).To(BeTrue())
	})

	It("counts each pool separately", func() {
		now := time.Unix(1_700_000_000, 0)
		bud := newBudget(now, bounds, 1)
		for bud.DecideResend(now, "desk").Allowed {
		}
		Expect(bud.DecideResend(now, "draft").Allowed).To(BeTrue())
	})
})
