package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

var _ = Describe("a request that may be served in some regions only", func() {
	start := time.Unix(1_700_000_000, 0)
	newRequest := func(number uint64, regions yuccaregion.Set) yuccagrant.Request {
		return yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, SoftDeadline: start.Add(time.Second), Deadline: start.Add(4 * time.Second), Regions: regions}
	}
	target := func(name yuccaid.Target, region yuccaid.Region, slots int) yuccagrant.Target {
		return yuccagrant.Target{Name: name, Region: region, Centre: yuccaid.Centre(region) + "-a", Slots: slots, Remote: region != "coast"}
	}
	newLeader := func(targets ...yuccagrant.Target) *yuccagrant.Leader {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(start, targets)
		return lead
	}
	hills := yuccaregion.Only("hills")

	// Guards against the failure that a request goes to a target of another region that is closer or less busy.
	It("gets only targets of these regions", func() {
		lead := newLeader(target("a", "coast", 40), target("b", "hills", 6), target("c", "hills", 6), target("d", "plain", 40))
		for number := range uint64(12) {
			dec := lead.Submit(start, newRequest(number, hills))
			Expect(dec.Grants).To(HaveLen(1))
			Expect([]yuccaid.Target{"b", "c"}).To(ContainElement(dec.Grants[0].Target))
		}
		Expect(exclusionsOf(lead.Forecast(start, newRequest(20, hills)))).To(Equal(map[yuccaid.Target]yuccaallow.Exclusion{
			"a": yuccaallow.OtherRegion, "b": yuccaallow.Allowed, "c": yuccaallow.Allowed, "d": yuccaallow.OtherRegion,
		}))
	})

	// Guards against the failure that a request waits for regions that have no targets until its deadline.
	It("is refused at once where no target is in them, and where there is no such region", func() {
		lead := newLeader(target("a", "coast", 2))
		for _, regions := range []yuccaregion.Set{hills, yuccaregion.Only()} {
			dec := lead.Submit(start, newRequest(1, regions))
			Expect(dec.Refusals).To(HaveLen(1))
			Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoRegion))
		}
	})

	// Guards against the failure that all requests of a region are refused when its targets expire in an outage and register again.
	It("waits for targets that have just left, and is refused if they don't come back", func() {
		lead := newLeader(target("a", "coast", 2), target("b", "hills", 2))
		lead.SetTargets(start, []yuccagrant.Target{target("a", "coast", 2)})
		Expect(lead.Submit(start, newRequest(1, hills)).Refusals).To(BeEmpty())
		Expect(lead.Tick(start.Add(500 * time.Millisecond)).Refusals).To(BeEmpty())
		dec := lead.SetTargets(start.Add(600*time.Millisecond), []yuccagrant.Target{target("a", "coast", 2), target("b", "hills", 2)})
		Expect(dec.Grants).To(HaveLen(1))

		lead = newLeader(target("a", "coast", 2), target("b", "hills", 2))
		lead.SetTargets(start, []yuccagrant.Target{target("a", "coast", 2)})
		late := newRequest(1, hills)
		late.SoftDeadline = start.Add(3 * time.Second)
		lead.Submit(start, late)
		dec = lead.Tick(start.Add(2 * time.Second))
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoRegion))
	})

	// Guards against the failure that requests wait for targets that are not expected back.
	It("doesn't wait for targets of an evacuated data centre", func() {
		lead := newLeader(target("a", "coast", 2), target("b", "hills", 2))
		lead.SetEvacuated(map[yuccaid.Centre]bool{"hills-a": true})
		lead.SetTargets(start, []yuccagrant.Target{target("a", "coast", 2)})
		Expect(lead.Submit(start, newRequest(1, hills)).Refusals).To(HaveLen(1))
		lead.SetEvacuated(map[yuccaid.Centre]bool{"hills-a": true, "coast-a": true})
		lead.SetTargets(start, nil)
		dec := lead.Submit(start, newRequest(2, yuccaregion.Set{}))
		Expect(dec.Refusals).To(HaveLen(1))
		Expect(dec.Refusals[0].Reason).To(Equal(yuccagrant.ReasonNoTarget))
	})

	// Guards against the failure that a daemon which decides without its leader has no slot in the only region that requests may use.
	It("has a slot in them however many leaders share the targets", func() {
		for seed := range uint64(50) {
			lead := yuccagrant.New(rand.New(rand.NewPCG(seed, 1)))
			lead.SetTargets(start, []yuccagrant.Target{target("a", "coast", 4), target("b", "coast", 4), target("c", "hills", 4), target("d", "hills", 4), target("e", "coast", 40)})
			lead.SetLeaderCount(start, 20)
			dec := lead.Submit(start, newRequest(1, hills))
			Expect(dec.Grants).To(HaveLen(1), "seed %d", seed)
		}
	})

	// Guards against the failure that requests which wait for a full region keep the other ones idle.
	It("doesn't keep other requests from other targets", func() {
		lead := newLeader(target("a", "coast", 4), target("b", "hills", 1))
		for number := range uint64(22) {
			lead.Submit(start, newRequest(number, hills))
		}
		Expect(lead.QueueLength()).To(Equal(20))
		Expect(lead.Submit(start, newRequest(100, yuccaregion.Set{})).Grants).To(HaveLen(1))
		Expect(lead.Submit(start, newRequest(101, yuccaregion.Only("coast"))).Grants).To(HaveLen(1))
	})
})
