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
		const daemons, perSecond = 7, 5
		now := time.Unix(1_700_000_000, 0)
		var resent []time.Time
		var all []*yuccabudget.Budget
		for range daemons {
			all = append(all, yuccabudget.New(bounds))
		}
		for range 40 * perSecond {
			now = now.Add(time.Second / perSecond)
			for _, bud := range all {
				bud.CountRequest(now, "desk")
				for bud.AllowResend(now, "desk", daemons) {
					resent = append(resent, now)
				}
			}
		}
		for from := range resent {
			count := 0
			for _, at := range resent[from:] {
				if at.Sub(resent[from]) < bounds.Window {
					count++
				}
			}
			allowed := bounds.Ratio*daemons*perSecond*bounds.Window.Seconds() + bounds.Allowance
			Expect(float64(count)).To(BeNumerically("<=", allowed))
		}
		Expect(resent).NotTo(BeEmpty())
	})

	It("allows only the allowance without traffic, and allows it again after the window", func() {
		bud := yuccabudget.New(bounds)
		now := time.Unix(1_700_000_000, 0)
		count := func() int {
			sent := 0
			for bud.AllowResend(now, "desk", 7) {
				sent++
			}
			return sent
		}
		Expect(count()).To(Equal(6))
		now = now.Add(5 * time.Second)
		Expect(count()).To(Equal(0))
		now = now.Add(time.Minute)
		Expect(count()).To(Equal(6))
	})

	It("counts each pool separately", func() {
		bud := yuccabudget.New(bounds)
		now := time.Unix(1_700_000_000, 0)
		for bud.AllowResend(now, "desk", 7) {
		}
		Expect(bud.AllowResend(now, "draft", 7)).To(BeTrue())
	})
})
