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

var _ = Describe("the limits of a process", func() {
	DescribeTable("are divided so that everything fits",
		func(memory yuccaid.Bytes, descriptors int) {
			bounds := yuccaspace.BoundsOf(yuccaspace.ProcessLimits{Memory: memory, Descriptors: descriptors})
			Expect(bounds.RequestMemory).To(BeNumerically("<", memory/2))
			Expect(bounds.RequestMemory / yuccaspace.RequestOverhead).To(BeNumerically(">", 500))
			// Each caller's request may use a connection to a target. More than 300 descriptors must remain
			// for peers, the platform, operators and files.
			Expect(2*bounds.CallerConnections + bounds.IdleConnections).To(BeNumerically("<", descriptors-300))
		},
		Entry("of the usual size", 284*yuccaid.Bytes(1<<20), 4100),
		Entry("of the smallest size", 184*yuccaid.Bytes(1<<20), 4100),
		Entry("of a large size", 536*yuccaid.Bytes(1<<20), 8192),
	)

	It("give no bounds if they are zero", func() {
		Expect(yuccaspace.BoundsOf(yuccaspace.ProcessLimits{})).To(Equal(yuccaspace.Bounds{}))
		Expect(new(yuccaspace.MemoryLimiter).Reserve(9, 1<<40)).To(BeTrue())
	})
})

var _ = Describe("the memory limiter", func() {
	// A burst of requests of rank 2 with long prompts uses all memory that this rank may use. An
	// urgent request that arrives while these requests run must not be refused.
	It("has memory left for urgent requests when the other ranks have used theirs", func() {
		limiter := yuccaspace.New(100 << 20)
		lessUrgent := 0
		for limiter.Reserve(2, 1<<20) {
			lessUrgent++
		}
		Expect(lessUrgent).To(Equal(80))
		Expect(limiter.Reserve(1, 1<<20)).To(BeTrue())
		urgent := 0
		for limiter.Reserve(0, 1<<20) {
			urgent++
		}
		Expect(urgent).To(Equal(19))
		limiter.Release(1 << 20)
		Expect(limiter.Reserve(2, 1<<20)).To(BeFalse())
		Expect(limiter.Reserve(0, 1<<20)).To(BeTrue())
	})

	It("never exceeds its limit, and never refuses a size that a less urgent rank gets", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			const limit = 1000
			limiter := yuccaspace.New(limit)
			var sizes []yuccaid.Bytes
			for range rapid.IntRange(1, 200).Draw(t, "steps") {
				size := yuccaid.Bytes(rapid.IntRange(1, 300).Draw(t, "size"))
				rank := rapid.IntRange(0, 6).Draw(t, "rank")
				if len(sizes) > 0 && rapid.Bool().Draw(t, "give") {
					limiter.Release(sizes[0])
					sizes = sizes[1:]
					continue
				}
				if limiter.Reserve(rank, size) {
					sizes = append(sizes, size)
					continue
				}
				if limiter.Reserve(rank+1, size) {
					t.Fatalf("rank %d was refused %d bytes that rank %d got", rank, size, rank+1)
				}
			}
			if limiter.Reserved() > limit {
				t.Fatalf("%d bytes are reserved, above the limit", limiter.Reserved())
			}
		})
	})
})
