package yuccaramp_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaramp"
)

var _ = Describe("a window", func() {
	const expected = 100 * time.Millisecond
	var (
		start  = time.Unix(1_700_000_000, 0)
		window *yuccaramp.Window
	)
	after := func(span time.Duration) time.Time { return start.Add(span) }

	BeforeEach(func() {
		window = &yuccaramp.Window{}
		window.Begin(start)
	})

	It("doesn't bound a target that neither is new nor has failed", func() {
		Expect((&yuccaramp.Window{}).Allows(start, 1000)).To(BeTrue())
	})

	It("allows one request at first, and twice as many with each round of answers", func() {
		for size := 1; size <= 32; size *= 2 {
			Expect(window.Allows(start, size-1)).To(BeTrue())
			Expect(window.Allows(start, size)).To(BeFalse())
			for range size {
				window.Answer(start, expected, expected, 1000)
			}
		}
	})

	It("ends when the target has its full share", func() {
		for range 4 {
			window.Answer(start, expected, expected, 5)
		}
		Expect(window.Size(start)).To(BeZero())
	})

	It("shrinks when an answer is late", func() {
		for range 7 {
			window.Answer(start, expected, expected, 1000)
		}
		window.Answer(start, time.Second, expected, 1000)
		Expect(window.Size(start)).To(Equal(4))
		window.Shrink(start)
		Expect(window.Size(start)).To(Equal(2))
	})

	// Guards against the failure that a target which gets few requests, because few wait, stays bounded for ever.
	It("doesn't bound a sound target for long", func() {
		window.Answer(start, expected, expected, 1000)
		Expect(window.Allows(after(yuccaramp.MaxSpan-time.Millisecond), 2)).To(BeFalse())
		Expect(window.Allows(after(yuccaramp.MaxSpan), 2)).To(BeTrue())
	})

	It("allows a target that failed one request at a time until it answers, however long that takes", func() {
		window.Fail(after(time.Second))
		Expect(window.Allows(after(time.Hour), 0)).To(BeTrue())
		Expect(window.Allows(after(time.Hour), 1)).To(BeFalse())
		Expect(window.Failed()).To(BeTrue())
		window.Answer(after(time.Hour), expected, expected, 1000)
		Expect(window.Failed()).To(BeFalse())
		Expect(window.Allows(after(time.Hour), 2)).To(BeFalse())
	})

	// Guards against the failure that an unbounded target is bounded by a late answer, of which there are many under load.
	It("isn't begun by a late answer", func() {
		free := &yuccaramp.Window{}
		free.Answer(start, time.Second, expected, 1000)
		free.Shrink(start)
		Expect(free.Size(start)).To(BeZero())
	})
})
