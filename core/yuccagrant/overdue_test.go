package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

var _ = Describe("a target with an overdue run", func() {
	start := time.Unix(1_700_000_000, 0)

	submit := func(lead *yuccagrant.Leader, number uint64, now time.Time) []yuccagrant.Grant {
		return lead.Submit(now, yuccagrant.Request{
			ID: yuccagrant.ID{Owner: owner, Number: number}, SoftDeadline: now.Add(20 * time.Second), Deadline: now.Add(40 * time.Second),
		}).Grants
	}

	// overdueAfter returns a time after which a run is just overdue.
	overdueAfter := func(grant yuccagrant.Grant) time.Duration { return 3*grant.ExpectedTimeToFirst + 301*time.Millisecond }

	// Guards against the failures that a target which hangs gets request after request, and that one which has answered is
	// left alone for a run that started or ended long ago.
	It("gets no request until the run starts or ends, whichever of its runs it is", func() {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(start, []yuccagrant.Target{{Name: "a", Slots: 8}})
		first := submit(lead, 1, start)
		Expect(first).To(HaveLen(1))
		const apart = 200 * time.Millisecond
		second := submit(lead, 2, start.Add(apart))
		Expect(second).To(HaveLen(1))

		By("waiting until the first run is overdue")
		at := start.Add(overdueAfter(first[0]))
		Expect(submit(lead, 3, at)).To(BeEmpty())

		By("starting the first run, while the second isn't overdue yet")
		dec := lead.RunStarted(at, yuccagrant.ID{Owner: owner, Number: 1}, at.Sub(start), yuccagrant.ReportedLoad{})
		Expect(dec.Grants).To(HaveLen(1))

		By("waiting until the second run is overdue")
		at = start.Add(apart + overdueAfter(second[0]))
		Expect(submit(lead, 4, at)).To(BeEmpty())

		By("ending the runs that haven't started")
		Expect(lead.RunFinished(at, yuccagrant.Finished{ID: yuccagrant.ID{Owner: owner, Number: 3}, Outcome: yuccagrant.Dropped}).Grants).To(BeEmpty())
		dec = lead.RunFinished(at, yuccagrant.Finished{ID: yuccagrant.ID{Owner: owner, Number: 2}, Outcome: yuccagrant.Dropped})
		Expect(dec.Grants).To(HaveLen(1))
	})

	// Guards against the failure that a new leader doesn't notice that a run which it has taken over is overdue.
	It("gets no request from a leader that has taken the run over", func() {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(start, []yuccagrant.Target{{Name: "a", Slots: 8}})
		at := start.Add(10 * time.Second)
		lead.AddRunning(at, yuccagrant.Running{Request: yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: 1}}, Target: "a", Sent: start})
		Expect(submit(lead, 2, at)).To(BeEmpty())
	})
})
