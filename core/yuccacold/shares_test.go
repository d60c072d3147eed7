package yuccacold_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
)

var _ = Describe("the bound of a cold target", func() {
	limit := yuccacold.Limit{Duration: 3 * time.Second, Rate: 5.2}

	DescribeTable("is a whole number of requests in any second",
		func(bound yuccacold.Bound, expected int) {
			Expect(bound.PerSecond(limit)).To(Equal(expected))
		},
		Entry("the rate, exceeded by the factor and the allowance", yuccacold.Bound{Factor: 1.5, Allowance: 5}, 12),
		Entry("the rate if nothing else is configured", yuccacold.Bound{}, 5),
		Entry("less than the rate if the factor says so", yuccacold.Bound{Factor: 0.5}, 2),
		Entry("at least one, since a target that gets nothing never warms", yuccacold.Bound{Factor: 0.01}, 1),
	)

	It("is never exceeded by all shares together", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			perSecond := rapid.IntRange(1, 1000).Draw(t, "perSecond")
			shares := yuccacold.Divide(perSecond, rapid.IntRange(0, 14).Draw(t, "otherCentres"))
			Expect(shares.Leader + shares.Others + shares.Alone).To(Equal(perSecond))
			Expect(shares.Leader).To(BeNumerically(">=", 1))
		})
	})

	It("leaves nothing to leaders elsewhere if there are none", func() {
		Expect(yuccacold.Divide(12, 0)).To(Equal(yuccacold.Shares{Leader: 9, Alone: 3}))
	})

	// Guards against the failure that the sides of a split data centre exceed the share of daemons that decide alone, or that
	// a side left with few daemons uses none of it.
	It("is used in part by the smaller sides of a data centre that has split", func() {
		shares := yuccacold.Divide(12, 5)
		Expect(shares.Minority(5, 15)).To(Equal(2))
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			shares := yuccacold.Divide(rapid.IntRange(1, 100).Draw(t, "perSecond"), 5)
			expected := rapid.IntRange(2, 40).Draw(t, "expected")
			sum, left := 0, expected/2
			for left > 0 {
				side := rapid.IntRange(1, left).Draw(t, "side")
				sum += shares.Minority(side, expected)
				left -= side
			}
			Expect(sum).To(BeNumerically("<=", shares.Alone))
		})
	})

	// Guards against the failure that more daemons than their share send a target requests without the leader.
	It("is used by as many of the chosen daemons as its share says", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			count := rapid.IntRange(0, 6).Draw(t, "count")
			var names []string
			for number := range rapid.IntRange(1, 30).Draw(t, "names") {
				names = append(names, fmt.Sprintf("entry-%d", number))
			}
			target := yuccaid.Target(rapid.StringMatching("i-[0-9a-f]{6}").Draw(t, "target"))
			chosen := 0
			for _, name := range names {
				if yuccacold.AmongFirst(count, target, name, names) {
					chosen++
				}
			}
			Expect(chosen).To(Equal(min(count, len(names))))
			Expect(yuccacold.AmongFirst(count, target, "stranger", names)).To(BeFalse())
		})
	})
})
