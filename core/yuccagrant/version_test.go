package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

var _ = Describe("a request that needs a version", func() {
	start := time.Unix(1_700_000_000, 0)
	newRequest := func(number uint64, version yuccaid.Version) yuccagrant.Request {
		return yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, SoftDeadline: start.Add(time.Second), Deadline: start.Add(4 * time.Second), Version: version}
	}
	newLeader := func(targets ...yuccagrant.Target) *yuccagrant.Leader {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(start, targets)
		return lead
	}

	// Guards against the failure that a stream goes on at a target of another version that is less busy.
	It("gets only targets of that version", func() {
		lead := newLeader(yuccagrant.Target{Name: "a", Slots: 6, Version: "v1"}, yuccagrant.Target{Name: "b", Slots: 20, Version: "v2"}, yuccagrant.Target{Name: "c", Slots: 6, Version: "v1"})
		for number := range uint64(12) {
			dec := lead.Submit(start, newRequest(number, "v1"))
			Expect(dec.Grants).To(HaveLen(1))
			Expect(dec.Grants[0].Target).NotTo(Equal(yuccaid.Target("b")))
		}
	})

	// Guards against the failure that a request waits in vain for a version that no target has.
	It("is refused at once where no target is of it", func() {
		lead := newLeader(yuccagrant.Target{Name: "b", Slots: 2, Version: "v2"})
		dec := lead.Submit(start, newRequest(1, "v1"))
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoVersion))
	})

	// Guards against the failure that a request goes on waiting for a version that has left.
	It("is refused when the last target of it leaves", func() {
		full := yuccagrant.Target{Name: "a", Slots: 1, Version: "v1"}
		lead := newLeader(full, yuccagrant.Target{Name: "b", Slots: 1, Version: "v2"})
		for number := range uint64(3) {
			lead.Submit(start, newRequest(number, "v1"))
		}
		Expect(lead.QueueLength()).To(Equal(1))
		lead.SetTargets(start.Add(10*time.Millisecond), []yuccagrant.Target{{Name: "b", Slots: 1, Version: "v2"}})
		dec := lead.Tick(start.Add(20 * time.Millisecond))
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoVersion))
	})

	// Guards against the failure that requests which wait for a full version keep the other one idle.
	It("doesn't keep other requests from other targets", func() {
		lead := newLeader(yuccagrant.Target{Name: "a", Slots: 1, Version: "v1"}, yuccagrant.Target{Name: "b", Slots: 1, Version: "v2"})
		for number := range uint64(22) {
			lead.Submit(start, newRequest(number, "v1"))
		}
		Expect(lead.QueueLength()).To(Equal(20))
		Expect(lead.Submit(start, newRequest(100, "")).Grants).To(HaveLen(1))
		Expect(lead.Submit(start, newRequest(101, "v2")).Grants).To(HaveLen(1))
	})
})
