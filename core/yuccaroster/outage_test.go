package yuccaroster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
)

// at returns a time that many milliseconds after the start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

var _ = Describe("outages of the platform", func() {
	var outages *yuccaroster.Outages

	BeforeEach(func() {
		outages = yuccaroster.NewOutages(1200 * time.Millisecond)
		outages.Answered(at(0))
	})

	// Guards against the failure that requests go on to a target that has left because a single call has failed.
	It("let no registration expire if they are shorter than targets may be silent", func() {
		outages.Failed(at(1200))
		outages.Failed(at(1300))
		outages.Answered(at(2300))
		Expect(outages.MayHaveExpired(at(2300))).To(BeFalse())
	})

	// Guards against the failure that a pool loses all its targets after a long outage.
	It("may let them expire if they are longer, until targets had the time to register again", func() {
		outages.Failed(at(1200))
		Expect(outages.MayHaveExpired(at(2400))).To(BeTrue())
		outages.Answered(at(2400))
		Expect(outages.MayHaveExpired(at(4399))).To(BeTrue())
		Expect(outages.MayHaveExpired(at(4400))).To(BeFalse())
	})

	// Guards against the failure that a pool loses its targets when the platform comes and goes, so that they miss one heartbeat
	// after the other.
	It("count as one if they follow on each other", func() {
		for _, from := range []int{0, 1000, 2000} {
			outages.Answered(at(from))
			outages.Failed(at(from + 500))
		}
		outages.Answered(at(3000))
		Expect(outages.MayHaveExpired(at(3000))).To(BeTrue())
		outages.Answered(at(5200))
		outages.Failed(at(5500))
		outages.Answered(at(6000))
		Expect(outages.MayHaveExpired(at(6000))).To(BeFalse())
	})

	// Guards against the failure that a daemon which begins to read in the middle of an outage takes its length for the
	// time since it began.
	It("last from the last answer that any daemon had", func() {
		outages.Answered(at(10_000))
		outages.Failed(at(11_700))
		outages.Answered(at(12_400))
		Expect(outages.MayHaveExpired(at(12_400))).To(BeTrue())
	})

	It("have ended once another daemon was answered after the failed call", func() {
		outages.Failed(at(1200))
		outages.Answered(at(1100))
		Expect(outages.MayHaveExpired(at(2400))).To(BeTrue())
		outages.Answered(at(1500))
		Expect(outages.MayHaveExpired(at(2400))).To(BeFalse())
	})

	It("may let registrations expire if nothing was heard before, or if the interval isn't known", func() {
		for _, unknown := range []*yuccaroster.Outages{yuccaroster.NewOutages(1200 * time.Millisecond), yuccaroster.NewOutages(0)} {
			Expect(unknown.MayHaveExpired(at(0))).To(BeFalse())
			unknown.Failed(at(100))
			unknown.Answered(at(200))
			Expect(unknown.MayHaveExpired(at(200))).To(BeTrue())
		}
	})
})
