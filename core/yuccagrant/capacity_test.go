package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

var _ = Describe("the wait of requests that may use some targets only", func() {
	start := time.Unix(1_700_000_000, 0)
	hills := yuccaregion.Only("hills")
	var lead *yuccagrant.Leader
	var number uint64
	submit := func(regions yuccaregion.Set, within time.Duration) (yuccagrant.ID, yuccagrant.Decisions) {
		number++
		id := yuccagrant.ID{Owner: owner, Number: number}
		return id, lead.Submit(start, yuccagrant.Request{ID: id, SoftDeadline: start.Add(within), Deadline: start.Add(2 * within), Regions: regions})
	}
	// fill submits requests until one has to wait.
	fill := func(regions yuccaregion.Set) {
		for {
			if id, _ := submit(regions, time.Minute); lead.IsWaiting(id) {
				return
			}
		}
	}
	BeforeEach(func() {
		number = 0
		lead = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(start, []yuccagrant.Target{{Name: "a", Slots: 8, Region: "coast"}, {Name: "b", Slots: 8, Region: "hills"}})
		for range 6 {
			id, _ := submit(yuccaregion.Set{}, time.Minute)
			lead.RunFinished(start.Add(500*time.Millisecond), yuccagrant.Finished{ID: id, TimeToFirst: 100 * time.Millisecond})
		}
		fill(yuccaregion.Only("coast"))
		fill(hills)
	})

	// Guards against the failure that a request limited to a full region waits for targets that it may not use, and is refused late.
	It("is that of these targets", func() {
		for range 20 {
			submit(hills, time.Minute)
		}
		_, dec := submit(hills, time.Second)
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonLate))
		Expect(dec.Refusals[0].RetryAfter).To(BeNumerically(">", 1200*time.Millisecond))
		Expect(dec.Refusals[0].EstimatedWait).To(BeNumerically(">", 1200*time.Millisecond))
	})

	// Guards against the failure that requests are refused because others wait for a region that is full.
	It("doesn't count what waits for other targets", func() {
		for range 80 {
			submit(hills, time.Minute)
		}
		for _, regions := range []yuccaregion.Set{{}, yuccaregion.Only("coast"), yuccaregion.Only("coast", "hills")} {
			id, dec := submit(regions, time.Second)
			Expect(dec.Refusals).To(BeEmpty(), regions.String())
			Expect(lead.IsWaiting(id)).To(BeTrue())
		}
	})

	// Guards against the failure that a region counts as free although all other requests go there.
	It("counts what may be done there or elsewhere", func() {
		for range 60 {
			submit(yuccaregion.Set{}, time.Minute)
		}
		for _, regions := range []yuccaregion.Set{{}, hills} {
			_, dec := submit(regions, time.Second)
			Expect(dec.Refusals).To(HaveLen(1), regions.String())
		}
	})

	// Guards against the failure that work which must be done in one region counts as if it could be done elsewhere.
	It("counts what may be done in fewer places first", func() {
		for range 80 {
			submit(hills, 2*time.Minute)
			submit(yuccaregion.Only("coast", "hills"), 2*time.Minute)
		}
		_, dec := submit(yuccaregion.Only("coast"), 3500*time.Millisecond)
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].EstimatedWait).To(BeNumerically(">", 4*time.Second))
	})

	// Guards against the failure that an urgent request waits for less urgent ones to end on targets that it may not use.
	It("is worth it only for runs that will free one of these targets", func() {
		lead.SetTargets(start, []yuccagrant.Target{{Name: "a", Slots: 30, Region: "coast"}, {Name: "b", Slots: 8, Region: "hills"}})
		number++
		idle := yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, Rank: 9, SoftDeadline: start.Add(time.Minute), Deadline: start.Add(2 * time.Minute)}
		Expect(lead.Submit(start, idle).Grants).To(HaveLen(1))
		for range 20 {
			submit(hills, time.Minute)
		}
		number++
		urgent := yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, SoftDeadline: start.Add(time.Second), Deadline: start.Add(time.Minute), Regions: hills}
		Expect(lead.Submit(start, urgent).Refusals).To(HaveLen(1))
	})

	It("is told in the refusal with the free slots of these targets", func() {
		lead.SetTargets(start, []yuccagrant.Target{{Name: "a", Slots: 30, Region: "coast"}, {Name: "b", Slots: 8, Region: "hills"}})
		for range 20 {
			submit(hills, time.Minute)
		}
		_, dec := submit(hills, time.Second)
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].FreeSlots).To(BeZero())
	})
})

var _ = Describe("callers whose requests may be served in one region only", func() {
	// Guards against the failure that others are refused while engines are idle, because requests limited to a full region wait, or that these wait in vain.
	It("don't take their targets from the others, and aren't kept waiting in vain", func() {
		hills := yuccaregion.Only("hills")
		limited := class{kind: "limited", rank: 0, softDeadline: time.Second, events: 40, prompt: 2000, share: 0.4, alterRequest: func(req *yuccagrant.Request) { req.Regions = hills }}
		other := class{kind: "other", rank: 1, softDeadline: time.Second, events: 40, prompt: 2000, share: 0.6}
		engines := newEngines(6, 1, 1, 1, 1, 1, 1, 1, 1)
		for at, eng := range engines {
			eng.region = []yuccaid.Region{"hills", "coast", "coast", "plain"}[at%4]
		}
		sim := newSimulation(5, engines...)
		sim.classes = []class{limited, other}
		sim.run(30*time.Second, steady(80))
		Expect(sim.tally("other").onTimeShare()).To(BeNumerically(">=", 0.98))
		Expect(sim.tally("limited").onTimeShare()).To(BeNumerically(">=", 0.6))
		for _, jb := range sim.all {
			if !jb.sent.IsZero() && jb.kind == "limited" && jb.req.Regions == hills {
				Expect(jb.first.Sub(jb.arrived)).To(BeNumerically("<", 4*time.Second))
			}
		}
	})
})
