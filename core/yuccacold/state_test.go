package yuccacold_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
)

var _ = Describe("a target", func() {
	var (
		limit = yuccacold.Limit{Duration: 3 * time.Second, Rate: 5}
		start = time.Unix(1_700_000_000, 0)
		state *yuccacold.State
	)
	after := func(span time.Duration) time.Time { return start.Add(span) }
	coldUntil := func(end time.Duration) {
		GinkgoHelper()
		Expect(state.Cold(after(end - time.Millisecond))).To(BeTrue())
		Expect(state.Cold(after(end))).To(BeFalse())
	}

	BeforeEach(func() {
		state = &yuccacold.State{}
		state.Register(start, limit, yuccacold.Statement{Revision: 1, Known: true, StartMillis: 1}, false)
	})

	It("isn't cold when it has registered so", func() {
		Expect(state.Cold(start)).To(BeFalse())
	})

	It("is cold for as long as it registers, whatever is configured", func() {
		state.Register(start, limit, yuccacold.Statement{Revision: 2, Known: true, Remaining: 4 * time.Second}, false)
		coldUntil(4 * time.Second)
	})

	It("is warm as soon as a new registration says so", func() {
		state.Register(start, limit, yuccacold.Statement{Revision: 2, Known: true, Remaining: 3 * time.Second}, false)
		state.Register(after(time.Second), limit, yuccacold.Statement{Revision: 3, Known: true}, false)
		coldUntil(time.Second)
	})

	// Guards against the failure that a target stays cold because the same registration is read again and again.
	It("isn't cold for longer when a registration is read twice", func() {
		stated := yuccacold.Statement{Revision: 2, Known: true, Remaining: time.Second}
		state.Register(start, limit, stated, false)
		state.Register(after(900*time.Millisecond), limit, stated, false)
		coldUntil(time.Second)
	})

	It("is cold after a restart of which it says nothing", func() {
		state.Register(after(time.Second), limit, yuccacold.Statement{Revision: 2, StartMillis: 9}, false)
		coldUntil(4 * time.Second)
	})

	It("is cold when it comes later than others and says nothing", func() {
		state = &yuccacold.State{}
		state.Register(start, limit, yuccacold.Statement{Revision: 1, StartMillis: 5}, true)
		coldUntil(3 * time.Second)
	})

	It("isn't cold when it is known from the beginning and says nothing", func() {
		state = &yuccacold.State{}
		state.Register(start, limit, yuccacold.Statement{Revision: 1, StartMillis: 5}, false)
		Expect(state.Cold(start)).To(BeFalse())
	})

	// Guards against the failure that a target which was down for two seconds is sent as much as before under its old registration.
	It("is cold once it answers again after it couldn't be reached", func() {
		state.Unreachable(after(time.Second))
		Expect(state.Cold(after(time.Minute))).To(BeTrue())
		state.Answered(after(2*time.Second), after(1900*time.Millisecond), limit)
		coldUntil(5 * time.Second)
	})

	It("isn't taken to have come back by an answer to what was sent before it couldn't be reached", func() {
		state.Unreachable(after(time.Second))
		state.Answered(after(1100*time.Millisecond), after(500*time.Millisecond), limit)
		Expect(state.Cold(after(time.Minute))).To(BeTrue())
	})

	It("is what it registers after it couldn't be reached", func() {
		state.Unreachable(after(time.Second))
		state.Register(after(2*time.Second), limit, yuccacold.Statement{Revision: 2, Known: true, Remaining: time.Second}, false)
		coldUntil(3 * time.Second)
	})

	It("doesn't overflow the time with a registration of any length", func() {
		state.Register(start, limit, yuccacold.Statement{Revision: 2, Known: true, Remaining: 1<<63 - 1}, false)
		coldUntil(time.Minute)
	})
})
