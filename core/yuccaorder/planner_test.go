package yuccaorder_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaorder"
	"yuccacleat/core/yuccastate"
)

var start = time.Unix(1_700_000_000, 0)

// engine obeys orders as a target does. It refuses an order after the order's lifetime
// and, if it checks fencing numbers, an order with a lower number than the highest
// number that it has received.
type engine struct {
	checksFence bool
	state       yuccaorder.ObservedState
}

func (eng *engine) obey(order yuccaorder.Order, age time.Duration) bool {
	if age >= order.ValidFor {
		return false
	}
	if eng.checksFence && order.Fence < eng.state.Fence {
		return false
	}
	if eng.checksFence {
		eng.state.Fence = order.Fence
	}
	switch order.Kind {
	case yuccaorder.Load, yuccaorder.Version:
		eng.state.Model, eng.state.Version = order.Model, order.Version
	case yuccaorder.Adapter:
		eng.state.Adapters = append(eng.state.Adapters, order.Adapter)
	case yuccaorder.Role:
		eng.state.Role = order.Role
	}
	return true
}

func wishFor(number yuccaid.ConfigNumber) yuccastate.EngineSetup {
	return yuccastate.EngineSetup{Model: "draft", Version: string(rune('a' + number)), Role: "decode"}
}

var _ = Describe("orders to targets", func() {
	checking := yuccastate.Target{ChecksFence: true}
	notChecking := yuccastate.Target{}

	It("bring a target to its wish one step at a time and then stop", func() {
		plan := yuccaorder.New(start)
		eng := &engine{checksFence: true}
		now := start
		var kinds []yuccaorder.Kind
		for range 100 {
			now = now.Add(time.Second)
			order, hold := plan.NextOrder(now, 1, "t", checking, wishFor(1), eng.state)
			if hold != "" {
				continue
			}
			kinds = append(kinds, order.Kind)
			eng.obey(order, 0)
		}
		Expect(kinds).To(Equal([]yuccaorder.Kind{yuccaorder.Load, yuccaorder.Role}))
	})

	// Guards against obeying a late order. A leader is frozen before its order is
	// delivered, and its successor brings the target to the new version; then the old
	// leader resumes and sends the old order. Callers would be answered by a version
	// that operators had withdrawn.
	DescribeTable("of a leader that was frozen are not obeyed",
		func(target yuccastate.Target) {
			eng := &engine{checksFence: target.ChecksFence}
			old := yuccaorder.New(start.Add(-time.Hour))
			late, hold := old.NextOrder(start, 1, "t", target, wishFor(1), eng.state)
			Expect(hold).To(BeEmpty())

			successor := yuccaorder.New(start)
			now := start
			for eng.state.Role == "" {
				now = now.Add(time.Second)
				order, hold := successor.NextOrder(now, 2, "t", target, wishFor(2), eng.state)
				if hold == "" {
					eng.obey(order, 0)
				}
			}
			Expect(eng.obey(late, now.Sub(start))).To(BeFalse())
			Expect(eng.state.Version).To(Equal(wishFor(2).Version))
		},
		Entry("by a target that checks the fencing number", checking),
		Entry("by a target that doesn't, after the order's lifetime", notChecking),
	)

	// Guards against repeating loads. A load takes minutes and an order's lifetime is
	// seconds; repeating the order after each lifetime would use up the weight store's
	// rate that other targets wait for.
	It("are not repeated while a load is under way", func() {
		plan := yuccaorder.New(start)
		orders := 0
		for second := range 100 {
			now := start.Add(time.Duration(second) * time.Second)
			if _, hold := plan.NextOrder(now, 1, "t", checking, wishFor(1), yuccaorder.ObservedState{}); hold == "" {
				orders++
			}
		}
		Expect(orders).To(Equal(1))
	})

	// Guards against overloading the weight store: four leaders, each with targets that
	// all need a load, may together order no more loads than the rate allows, plus one
	// load at once for each leader. They must use most of the rate.
	It("keep to the weight store's rate when every target needs a load", func() {
		const leaders = 4
		loads := 0
		plans := make([]*yuccaorder.Planner, leaders)
		for i := range plans {
			plans[i] = yuccaorder.New(start)
			plans[i].SetLoadRate(start, 60, leaders)
		}
		for second := range 60 {
			now := start.Add(time.Duration(second) * time.Second)
			for i, plan := range plans {
				name := yuccaid.Target(rune('a'+i)) + yuccaid.Target(rune('a'+second%20))
				if _, hold := plan.NextOrder(now, 1, name, checking, wishFor(1), yuccaorder.ObservedState{}); hold == "" {
					loads++
				}
			}
		}
		Expect(loads).To(BeNumerically("<=", 60+leaders))
		Expect(loads).To(BeNumerically(">=", 50))
	})
})

// Guards against returning to an older configuration. Two leaders order the same target
// at once, either of them may have an older configuration, and orders come late or
// twice. A target that checks fencing numbers must never accept an order with a lower
// number than it has received, and once a single leader remains, the target must reach
// the newest wish.
func TestNewestWishWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eng := &engine{checksFence: true}
		target := yuccastate.Target{ChecksFence: true}
		plans := []*yuccaorder.Planner{yuccaorder.New(start), yuccaorder.New(start)}
		var sent []yuccaorder.Order
		now := start
		highest := yuccaid.ConfigNumber(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			number := yuccaid.ConfigNumber(rapid.IntRange(1, 5).Draw(t, "number"))
			plan := plans[rapid.IntRange(0, 1).Draw(t, "leader")]
			order, hold := plan.NextOrder(now, number, "t", target, wishFor(number), eng.state)
			if hold == "" {
				sent = append(sent, order)
			}
			if len(sent) == 0 || !rapid.Bool().Draw(t, "deliver") {
				continue
			}
			order = sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")]
			if eng.obey(order, 0) && order.Fence < highest {
				t.Fatalf("fencing number fell from %d to %d", highest, order.Fence)
			}
			highest = max(highest, eng.state.Fence)
		}
		remaining := yuccaorder.New(now)
		for range 200 {
			now = now.Add(time.Second)
			order, hold := remaining.NextOrder(now, 6, "t", target, wishFor(6), eng.state)
			if hold == "" {
				eng.obey(order, 0)
			}
		}
		if eng.state.Version != wishFor(6).Version || eng.state.Role != "decode" {
			t.Fatalf("final state is %+v: want the wish of configuration 6", eng.state)
		}
	})
}
