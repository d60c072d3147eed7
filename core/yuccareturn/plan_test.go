package yuccareturn_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccareturn"
)

func TestYuccareturn(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccareturn")
}

var _ = Describe("a plan of returns", func() {
	const latest = 8 * time.Second
	urgent, other := yuccareturn.Urgency{Rank: 0}, yuccareturn.Urgency{Rank: 1}
	now := time.Unix(1_700_000_000, 0)

	// Guards against the failure that all callers refused in an overload come back at the same time.
	It("has callers of the same urgency come back one after the other", func() {
		plan := yuccareturn.New(latest)
		Expect(plan.Next(now, urgent, time.Second, 300*time.Millisecond)).To(Equal(time.Second))
		Expect(plan.Next(now, urgent, time.Second, 300*time.Millisecond)).To(Equal(1300 * time.Millisecond))
		Expect(plan.Next(now.Add(time.Second), urgent, 0, 300*time.Millisecond)).To(Equal(600 * time.Millisecond))
	})

	// Guards against the failure that callers wait for others who have come back long ago.
	It("forgets callers whose time has passed", func() {
		plan := yuccareturn.New(latest)
		plan.Next(now, urgent, time.Second, 300*time.Millisecond)
		Expect(plan.Next(now.Add(5*time.Second), urgent, time.Second, 300*time.Millisecond)).To(Equal(time.Second))
	})

	// Guards against the failure that a long overload tells callers to come back in minutes.
	It("tells nobody to come back later than the latest time", func() {
		plan := yuccareturn.New(latest)
		for range 100 {
			Expect(plan.Next(now, urgent, time.Second, time.Second)).To(BeNumerically("<=", latest))
		}
		Expect(plan.Next(now, urgent, time.Minute, time.Second)).To(Equal(latest))
	})

	// Guards against the failure that many callers who aren't urgent delay one who is.
	It("plans callers of each urgency apart", func() {
		plan := yuccareturn.New(latest)
		plan.Next(now, other, time.Second, 2*time.Second)
		Expect(plan.Next(now, urgent, time.Second, time.Second)).To(Equal(time.Second))
		Expect(plan.Next(now, yuccareturn.Urgency{Tier: 1}, time.Second, time.Second)).To(Equal(time.Second))
	})
})
