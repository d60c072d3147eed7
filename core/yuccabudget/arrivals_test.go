package yuccabudget_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccabudget"
)

var _ = Describe("the arrivals at a pool", func() {
	start := time.Unix(1_700_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	It("are compared with the requests of the window, the one before, or the one half a window earlier", func() {
		arrivals := yuccabudget.NewArrivals(yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 0.5, Allowance: 2})
		for _, second := range []float64{1, 2, 12, 13, 14, 15, 18} {
			arrivals.RecordRequest(at(second))
		}
		arrivals.RecordResent(at(11))
		Expect(arrivals.Window(at(10))).To(Equal(yuccabudget.WindowUse{Start: at(10), Resent: 1, Allowed: 0.5*5 + 2}))
		Expect(arrivals.Window(at(16))).To(Equal(yuccabudget.WindowUse{Start: at(16), Allowed: 0.5*5 + 2}), "half a window earlier, 11 to 21, has 12, 13, 14, 15 and 18")
		Expect(arrivals.Window(at(28))).To(Equal(yuccabudget.WindowUse{Start: at(28), Allowed: 0.5*1 + 2}), "the one before, 18 to 28, has 18")
	})

	It("are at their worst in a window that begins or ends with one of them", func() {
		arrivals := yuccabudget.NewArrivals(yuccabudget.Bounds{Window: 10 * time.Second, Allowance: 2})
		for _, second := range []float64{0, 4, 9.9, 10, 30} {
			arrivals.RecordResent(at(second))
		}
		Expect(arrivals.Worst(start).Resent).To(Equal(3))
		Expect(arrivals.Worst(start).Share()).To(Equal(1.5))
		Expect(arrivals.Worst(at(20)).Resent).To(Equal(1))
	})

	It("are a large share of a budget of nothing", func() {
		arrivals := yuccabudget.NewArrivals(yuccabudget.Bounds{Window: time.Second})
		Expect(arrivals.Worst(start).Share()).To(BeZero())
		arrivals.RecordResent(start)
		Expect(arrivals.Worst(start).Share()).To(BeNumerically(">", 1))
	})

	It("are forgotten once no window needs them", func() {
		arrivals := yuccabudget.NewArrivals(yuccabudget.Bounds{Window: 10 * time.Second, Ratio: 1})
		arrivals.RecordRequest(at(1))
		arrivals.RecordRequest(at(12))
		arrivals.RecordResent(at(13))
		arrivals.Forget(at(20))
		Expect(arrivals.Window(at(20))).To(Equal(yuccabudget.WindowUse{Start: at(20), Allowed: 1}))
		Expect(arrivals.Window(at(9)).Resent).To(BeZero())
	})
})
