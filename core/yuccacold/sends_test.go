package yuccacold_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
)

var _ = Describe("the sends to a target", func() {
	// Guards against the failure that a target gets twice its bound in a second, because requests that were granted a second apart take
	// more and less time to reach it.
	It("count for a second and what the times of their deliveries differ by", func() {
		var sends yuccacold.Sends
		start := time.Unix(1_700_000_000, 0)
		sends.Record(start, start)
		Expect(sends.Count(start.Add(time.Second + 49*time.Millisecond))).To(Equal(1))
		Expect(sends.Count(start.Add(time.Second + 50*time.Millisecond))).To(BeZero())
	})
})
