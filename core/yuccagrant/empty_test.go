package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

var _ = Describe("a pool without targets", func() {
	start := time.Unix(1_700_000_000, 0)
	newRequest := func(number uint64, now time.Time) yuccagrant.Request {
		return yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, SoftDeadline: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}
	}
	leaderWithoutTargets := func() *yuccagrant.Leader {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		Expect(lead.SetTargets(start, nil)).To(BeZero())
		return lead
	}

	// A daemon has restarted and knows its pools, and a request arrives before the daemon has
	// read the list of targets. If the request were refused, its caller would have to retry half
	// a second later although a target appears within 50 ms.
	It("serves a request that came just before its first target", func() {
		lead := leaderWithoutTargets()
		Expect(lead.Submit(start, newRequest(1, start))).To(BeZero())
		dec := lead.SetTargets(start.Add(50*time.Millisecond), []yuccagrant.Target{{Name: "a", Slots: 1}})
		Expect(dec.Grants).To(HaveLen(1))
		Expect(dec.Grants[0].Target).To(BeEquivalentTo("a"))
	})

	// All registrations of targets have expired in an outage and none is renewed. If requests
	// stayed queued until their deadlines, callers would wait for nothing. They are refused at
	// their soft deadlines, and at once when the pool has been without targets for
	// noTargetGrace.
	It("refuses requests past their soft deadline, and all requests once no target is expected", func() {
		lead := leaderWithoutTargets()
		Expect(lead.Submit(start, newRequest(1, start))).To(BeZero())
		Expect(lead.Tick(start.Add(900 * time.Millisecond)).Refusals).To(BeEmpty())
		Expect(lead.Submit(start.Add(1500*time.Millisecond), newRequest(2, start.Add(1500*time.Millisecond)))).To(BeZero())
		dec := lead.Tick(start.Add(1600 * time.Millisecond))
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoTarget))
		Expect(lead.Tick(start.Add(2100 * time.Millisecond)).Refusals).To(HaveLen(1))
		Expect(lead.Submit(start.Add(2200*time.Millisecond), newRequest(3, start.Add(2200*time.Millisecond))).Refusals).To(HaveLen(1))
	})
})
