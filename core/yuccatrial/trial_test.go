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

// seeds are several, since one minute of one seed says little: a change of policy
// moves it by three points either way.
const seeds = 3

// mean is what a policy reached over all seeds.
type mean struct{ urgent, all, waste, shed float64 }

func meanOf(scn yuccatrial.Scenario, bounds []yuccatrial.Result, policy func(seed uint64) yuccatrial.Policy) mean {
	var sum mean
	for i, bound := range bounds {
		seed := uint64(i)
		res := yuccatrial.Run(seed, scn, policy(seed))
		Expect(res.TierGoodput(0)).To(BeNumerically("<=", bound.TierGoodput(0)), res.Policy)
		Expect(res.Goodput()).To(BeNumerically("<=", bound.Goodput()), res.Policy)
		sum.urgent += res.TierGoodput(0) / seeds
		sum.all += res.Goodput() / seeds
		sum.waste += res.WasteShare() / seeds
		sum.shed += float64(res.Shed) / float64(res.Offered()) / seeds
	}
	return sum
}

func boundsOf(scn yuccatrial.Scenario) []yuccatrial.Result {
	var bounds []yuccatrial.Result
	for seed := range uint64(seeds) {
		bounds = append(bounds, yuccatrial.Bound(seed, scn))
	}
	return bounds
}

// shedShare allows for requests that are given up while the cancel of a lower one is
// on its way.
const shedShare = 0.01

// The load rises or a target fails, and some requests can't be served in time. Callers
// of the urgent tier see it first if the order is wrong. The bounds lie three points
// from what was measured when they were set, in per cent, and for waste a tenth more.
var _ = DescribeTable("the leaders against the bound and the baselines",
	func(dep yuccatrial.Deployment, name string, urgent, all, waste float64) {
		scn := short(dep, name)
		bounds := boundsOf(scn)
		lead := meanOf(scn, bounds, yuccatrial.Leaders)
		Expect(100 * lead.urgent).To(BeNumerically(">=", urgent))
		Expect(100 * lead.all).To(BeNumerically(">=", all))
		Expect(100 * lead.waste).To(BeNumerically("<=", waste))
		Expect(lead.shed).To(BeNumerically("<=", shedShare))
		for _, policy := range []func(uint64) yuccatrial.Policy{
			func(uint64) yuccatrial.Policy { return yuccatrial.RoundRobin() },
			func(uint64) yuccatrial.Policy { return yuccatrial.LeastOutstanding() },
			yuccatrial.PowerOfTwo,
		} {
			other := meanOf(scn, bounds, policy)
			Expect(lead.urgent).To(BeNumerically(">=", other.urgent))
			Expect(lead.all).To(BeNumerically(">=", other.all))
			Expect(lead.waste).To(BeNumerically("<=", other.waste))
		}
	},
	Entry("hotline, usual", yuccatrial.Hotline(), "usual", 91.8, 94.8, 8.4),
	Entry("hotline, burst", yuccatrial.Hotline(), "hotline burst", 81.2, 80.9, 27.6),
	Entry("hotline, slow target", yuccatrial.Hotline(), "slow target", 89.7, 93.7, 9.4),
	Entry("hotline, stalled target", yuccatrial.Hotline(), "stalled target", 88.7, 92.9, 9.8),
	Entry("hotline, saturation", yuccatrial.Hotline(), "saturation", 82.3, 76.8, 31.5),
	Entry("hotline, leader lost", yuccatrial.Hotline(), "leader lost in burst", 78.8, 82.9, 25.6),
	Entry("hotline, skewed centre", yuccatrial.Hotline(), "skewed centre", 87.6, 92.3, 9.6),
	Entry("desk, usual", yuccatrial.Desk(), "usual", 88.1, 91.1, 51.9),
	Entry("desk, skewed account", yuccatrial.Desk(), "skewed account", 79.6, 82.1, 72.7),
	Entry("desk, long and short", yuccatrial.Desk(), "long and short", 83.3, 88.8, 44.1),
	Entry("desk, saturation", yuccatrial.Desk(), "saturation", 76.8, 73.3, 81.8),
	Entry("desk, centre cut off", yuccatrial.Desk(), "cut off", 84.9, 91.6, 52.9),
)
