package yuccabudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccabudget"
)

var bounds = yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 0.2, Allowance: 54}

var _ = Describe("the budget of resends", func() {
	// Every target of a pool fails every request. Without a limit each daemon would resend each
	// request, which doubles the load on targets that are overloaded already.
	It("holds over all daemons and every window", func() {
		const daemons, requestsPerSecond = 7, 5
		now := time.Unix(1_700_000_000, 0)
		var resent []time.Time
		var budgets []*yuccabudget.Budget
		for range daemons {
			budgets = append(budgets, yuccabudget.New(bounds))
		}
		for range 40 * requestsPerSecond {
			now = now.Add(time.Second / requestsPerSecond)
			for _, bud := range budgets {
				bud.CountRequest(now, "desk")
				for bud.DecideResend(now, "desk", daemons).Allowed {
					resent = append(resent, now)
				}
			}
		}
		for first := range resent {
			count := 0
			for _, at := range resent[first:] {
				if at.Sub(resent[first]) < bounds.Window {
					count++
				}
			}
			allowed := bounds.Ratio*daemons*requestsPerSecond*bounds.Window.Seconds() + bounds.Allowance
			Expect(float64(count)).To(BeNumerically("<=", allowed))
		}
		Expect(resent).NotTo(BeEmpty())
	})

	It("allows only the allowance without traffic, and allows it again after the window", func() {
		bud := yuccabudget.New(bounds)
		now := time.Unix(1_700_000_000, 0)
		resend := func() int {
			sent := 0
			for bud.DecideResend(now, "desk", 7).Allowed {
				sent++
			}
			return sent
		}
		// The share of one of 7 daemons is 0.8 * 54 / 7, which is 6.2.
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
		for range 10 {
			bud.CountRequest(now, "desk")
		}
		bud.DecideResend(now, "desk", 6)
		dec := bud.DecideResend(now, "desk", 6)
		Expect(dec.Limit).To(BeNumerically("~", 0.8*(0.2*10+54.0/6), 1e-9))
		Expect(dec).To(Equal(yuccabudget.Decision{Allowed: true, Used: 1, Limit: dec.Limit, Daemons: 6}))
	})

	It("counts each pool separately", func() {
		bud := yuccabudget.New(bounds)
		now := time.Unix(1_700_000_000, 0)
		for bud.DecideResend(now, "desk", 7).Allowed {
		}
		Expect(bud.DecideResend(now, "draft", 7).Allowed).To(BeTrue())
	})
})
