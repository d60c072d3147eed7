package yuccagate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
)

var _ = Describe("a daemon that doesn't read the platform", func() {
	// A daemon reads the registrations of the targets a and b. Then b's registration is removed, and
	// only after that the daemon that reads for the data centre reads them for the first time. That
	// daemon never learns that b existed, so it has no removal to forward.
	It("drops a target that the reader has never known", func() {
		first, second := startTwo(4, newEngine("a", nil), newEngine("b", nil))
		reader, other := first, second
		if first.MaySkipPlatformReads() {
			reader, other = second, first
		}
		entry := yuccaroster.Entry{Target: "a", Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: 1}
		reader.OfferTargets([]yuccaroster.Entry{entry}, nil, true, 9, true)
		Eventually(func() int {
			reader.RecordPlatformRevision(9)
			return len(other.Status().Targets)
		}, 5*time.Second, 50*time.Millisecond).Should(Equal(1))
	})
})
