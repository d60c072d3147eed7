package yuccaspace_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

var _ = Describe("the memory of heads", func() {
	It("isn't counted for an ordinary head", func() {
		Expect(yuccaspace.HeadMemory(900, 14)).To(BeZero())
	})

	// Guards against the failure that a head of short fields is taken for its bytes.
	It("grows with the fields more than with the bytes", func() {
		Expect(yuccaspace.HeadMemory(16<<10, 4096)).To(BeNumerically(">", 1<<20))
		Expect(yuccaspace.HeadMemory(16<<10, 1)).To(BeNumerically("<", 32<<10))
	})

	It("lets a head through that is read alone, whatever its size", func() {
		limiter := yuccaspace.NewHeadLimiter(1000)
		Expect(limiter.Grow(0, 5000)).To(BeTrue())
		Expect(limiter.Grow(5000, 6000)).To(BeTrue())
		Expect(limiter.Grow(0, 1)).To(BeFalse())
		Expect(limiter.Grow(6000, 0)).To(BeTrue())
		Expect(limiter.Grow(0, 1000)).To(BeTrue())
	})

	It("never exceeds its limit while several heads are read, and is whole once all have ended", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 1000
			limiter := yuccaspace.NewHeadLimiter(limit)
			heads := make([]yuccaid.Bytes, 5)
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				at := rapid.IntRange(0, len(heads)-1).Draw(t, "head")
				to := yuccaid.Bytes(rapid.IntRange(0, 1500).Draw(t, "to"))
				if !limiter.Grow(heads[at], to) {
					continue
				}
				grew := to > heads[at]
				heads[at] = to
				if grew && limiter.Reserved() != to && limiter.Reserved() > limit {
					t.Fatalf("%d bytes are reserved, above the limit", limiter.Reserved())
				}
			}
			for _, head := range heads {
				limiter.Grow(head, 0)
			}
			if limiter.Reserved() != 0 {
				t.Fatalf("%d bytes are reserved by no head", limiter.Reserved())
			}
		})
	})
})
