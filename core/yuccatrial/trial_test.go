package yuccatrial_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccatrial"
)

var _ = It("depends on the seed alone", func() {
	scn := short(yuccatrial.Desk(), "leader lost in burst")
	first := yuccatrial.Run(3, scn, yuccatrial.Leaders(3))
	Expect(yuccatrial.Run(3, scn, yuccatrial.Leaders(3))).To(Equal(first))
	Expect(yuccatrial.Run(4, scn, yuccatrial.Leaders(4))).NotTo(Equal(first))
})

// shedPart allows for requests that are given up while the cancel of a lower one is on
// its way.
const shedPart = 30

// The bounds lie three points below, and for waste six above, what was measured when
// they were set. The load rises or a target fails, and some requests can't be served in time. Callers
// of the urgent tier see it first if the order is wrong.
var _ = DescribeTable("the leaders against the bound and the baselines",
	func(dep yuccatrial.Deployment, name string, urgent, all, waste float64) {
		scn := short(dep, name)
		bound := yuccatrial.Bound(1, scn)
		res := yuccatrial.Run(1, scn, yuccatrial.Leaders(1))
		Expect(res.TierGoodput(0)).To(BeNumerically(">=", urgent))
		Expect(res.Goodput()).To(BeNumerically(">=", all))
		Expect(res.WasteShare()).To(BeNumerically("<=", waste))
		Expect(res.Shed).To(BeNumerically("<=", res.Offered()/shedPart))
		for _, other := range append(baselines(scn)[:3], res) {
			Expect(other.TierGoodput(0)).To(BeNumerically("<=", bound.TierGoodput(0)), other.Policy)
			Expect(other.Goodput()).To(BeNumerically("<=", bound.Goodput()), other.Policy)
			Expect(res.TierGoodput(0)).To(BeNumerically(">=", other.TierGoodput(0)), other.Policy)
			Expect(res.Goodput()).To(BeNumerically(">=", other.Goodput()), other.Policy)
		}
	},
	Entry("hotline, usual", yuccatrial.Hotline(), "usual", 0.96, 0.96, 0.08),
	Entry("hotline, burst", yuccatrial.Hotline(), "hotline burst", 0.84, 0.88, 0.25),
	Entry("hotline, slow target", yuccatrial.Hotline(), "slow target", 0.92, 0.95, 0.10),
	Entry("hotline, stalled target", yuccatrial.Hotline(), "stalled target", 0.92, 0.95, 0.12),
	Entry("hotline, saturation", yuccatrial.Hotline(), "saturation", 0.83, 0.80, 0.43),
	Entry("hotline, leader lost", yuccatrial.Hotline(), "leader lost in burst", 0.80, 0.85, 0.24),
	Entry("hotline, skewed centre", yuccatrial.Hotline(), "skewed centre", 0.92, 0.93, 0.11),
	Entry("desk, usual", yuccatrial.Desk(), "usual", 0.86, 0.87, 0.33),
	Entry("desk, skewed account", yuccatrial.Desk(), "skewed account", 0.83, 0.84, 0.42),
	Entry("desk, long and short", yuccatrial.Desk(), "long and short", 0.87, 0.88, 0.28),
	Entry("desk, saturation", yuccatrial.Desk(), "saturation", 0.80, 0.76, 0.66),
	Entry("desk, centre cut off", yuccatrial.Desk(), "cut off", 0.85, 0.92, 0.24),
)
