package yuccaspace_test

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

func ExampleBoundsOf() {
	bounds := yuccaspace.BoundsOf(yuccaspace.ProcessLimits{Memory: 284 << 20, Descriptors: 4100})
	fmt.Println(bounds.RequestMemory>>20, "MB for requests,", bounds.CallerConnections, "callers,", bounds.IdleConnections, "unused connections to targets")
	// Output: 113 MB for requests, 1560 callers, 312 unused connections to targets
}

var _ = Describe("a machine", func() {
	DescribeTable("is divided so that everything fits",
		func(memory yuccaid.Bytes, descriptors int) {
			bounds := yuccaspace.BoundsOf(yuccaspace.ProcessLimits{Memory: memory, Descriptors: descriptors})
			Expect(bounds.RequestMemory).To(BeNumerically("<", memory/2))
			Expect(bounds.RequestMemory / yuccaspace.RequestOverhead).To(BeNumerically(">", 500))
			// Each caller's request may hold a connection to a target.
			Expect(2*bounds.CallerConnections + bounds.IdleConnections).To(BeNumerically("<", descriptors-300))
		},
		Entry("of the usual size", 284*yuccaid.Bytes(1<<20), 4100),
		Entry("that is the smallest", 184*yuccaid.Bytes(1<<20), 4100),
		Entry("that is large", 536*yuccaid.Bytes(1<<20), 8192),
	)

	It("without a size has no bounds", func() {
		Expect(yuccaspace.BoundsOf(yuccaspace.ProcessLimits{})).To(Equal(yuccaspace.Bounds{}))
		Expect(new(yuccaspace.MemoryLimiter).Reserve(9, 1<<40)).To(BeTrue())
	})
})

var _ = Describe("memory lent to requests", func() {
	// Long prompts of letters come in a burst and fill what there is. An urgent note that
	// comes then must not be turned away while they are served.
	It("has room for urgent requests when the others have filled theirs", func() {
		space := yuccaspace.New(100 << 20)
		letters := 0
		for space.Reserve(2, 1<<20) {
			letters++
		}
		Expect(letters).To(Equal(80))
		Expect(space.Reserve(1, 1<<20)).To(BeTrue())
		notes := 0
		for space.Reserve(0, 1<<20) {
			notes++
		}
		Expect(notes).To(Equal(19))
		space.Release(1 << 20)
		Expect(space.Reserve(2, 1<<20)).To(BeFalse())
		Expect(space.Reserve(0, 1<<20)).To(BeTrue())
	})

	It("never exceeds its limit, and never refuses a rank what a lower one gets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 1000
			space := yuccaspace.New(limit)
			var lent []yuccaid.Bytes
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				size := yuccaid.Bytes(rapid.IntRange(1, 300).Draw(t, "size"))
				rank := rapid.IntRange(0, 6).Draw(t, "rank")
				if len(lent) > 0 && rapid.Bool().Draw(t, "give") {
					space.Release(lent[0])
					lent = lent[1:]
					continue
				}
				if space.Reserve(rank, size) {
					lent = append(lent, size)
					continue
				}
				if space.Reserve(rank+1, size) {
					t.Fatalf("rank %d was refused %d bytes that rank %d gets", rank, size, rank+1)
				}
			}
			if space.Reserved() > limit {
				t.Fatalf("%d bytes are lent", space.Reserved())
			}
		})
	})
})
