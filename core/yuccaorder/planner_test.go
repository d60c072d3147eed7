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

// engine obeys orders as a target does: by fencing number if it checks, and never
// after an order's life.
type engine struct {
	checks bool
	seen   yuccaorder.Observed
}

func (eng *engine) obey(order yuccaorder.Order, age time.Duration) bool {
	if age >= order.Expires {
		return false
	}
	if eng.checks && order.Fence < eng.seen.Fence {
		return false
	}
	if eng.checks {
		eng.seen.Fence = order.Fence
	}
	switch order.Kind {
	case yuccaorder.Load, yuccaorder.Version:
		eng.seen.Model, eng.seen.Version = order.Model, order.Version
	case yuccaorder.Adapter:
		eng.seen.Adapters = append(eng.seen.Adapters, order.Adapter)
	case yuccaorder.Role:
		eng.seen.Role = order.Role
	}
	return true
}

func wishFor(number yuccaid.ConfigNumber) yuccastate.EngineSetup {
	return yuccastate.EngineSetup{Model: "draft", Version: string(rune('a' + number)), Role: "decode"}
}

var _ = Describe("orders to targets", func() {
	checking := yuccastate.Target{ChecksFence: true}
	trusting := yuccastate.Target{}

	It("bring a target to its wish one step at a time and then stop", func() {
		plan := yuccaorder.New(start)
		eng := &engine{checks: true}
		now := start
		var kinds []yuccaorder.Kind
		for range 100 {
			now = now.Add(time.Second)
			order, hold := plan.Next(now, 1, "t", checking, wishFor(1), eng.seen)
			if hold != "" {
				continue
			}
			kinds = append(kinds, order.Kind)
			eng.obey(order, 0)
		}
		Expect(kinds).To(Equal([]yuccaorder.Kind{yuccaorder.Load, yuccaorder.Role}))
	})

	// A leader is frozen with an order in hand. Its successor brings the target to the
	// new version; the old leader wakes and sends the old order. Users would be
	// answered by a version that operators had withdrawn.
	DescribeTable("of a leader that was frozen don't win",
		func(target yuccastate.Target) {
			eng := &engine{checks: target.ChecksFence}
			old := yuccaorder.New(start.Add(-time.Hour))
			late, hold := old.Next(start, 1, "t", target, wishFor(1), eng.seen)
			Expect(hold).To(BeEmpty())

			successor := yuccaorder.New(start)
			now := start
			for eng.seen.Role == "" {
				now = now.Add(time.Second)
				order, hold := successor.Next(now, 2, "t", target, wishFor(2), eng.seen)
				if hold == "" {
					eng.obey(order, 0)
				}
			}
			Expect(eng.obey(late, now.Sub(start))).To(BeFalse())
			Expect(eng.seen.Version).To(Equal(wishFor(2).Version))
		},
		Entry("before a target that checks the fencing number", checking),
		Entry("before a target that doesn't, by its expiry", trusting),
	)

	// A load takes minutes and the order's life is seconds. Repeating it each time would
	// use up the weight store's rate that other targets wait for.
	It("are not repeated while a load is under way", func() {
		plan := yuccaorder.New(start)
		orders := 0
		for second := range 100 {
			now := start.Add(time.Duration(second) * time.Second)
			if _, hold := plan.Next(now, 1, "t", checking, wishFor(1), yuccaorder.Observed{}); hold == "" {
				orders++
			}
		}
		Expect(orders).To(Equal(1))
	})

	It("keep within the weight store's rate when every target needs a load", func() {
		const leaders = 4
		loads := 0
		plans := make([]*yuccaorder.Planner, leaders)
		for i := range plans {
			plans[i] = yuccaorder.New(start)
			plans[i].Share(start, 60, leaders)
		}
		for second := range 60 {
			now := start.Add(time.Duration(second) * time.Second)
			for i, plan := range plans {
				name := yuccaid.Target(rune('a'+i)) + yuccaid.Target(rune('a'+second%20))
				if _, hold := plan.Next(now, 1, name, checking, wishFor(1), yuccaorder.Observed{}); hold == "" {
					loads++
				}
			}
		}
		Expect(loads).To(BeNumerically("<=", 60+leaders))
		Expect(loads).To(BeNumerically(">=", 50))
	})
})

// Two leaders act at once on the same targets, either may be behind, and orders come
// late. A target that checks must never go back to an older number, and once one
// leader is left it must reach the newest wish.
func TestNewestWishWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		eng := &engine{checks: true}
		target := yuccastate.Target{ChecksFence: true}
		plans := []*yuccaorder.Planner{yuccaorder.New(start), yuccaorder.New(start)}
		var late []yuccaorder.Order
		now := start
		highest := yuccaid.ConfigNumber(0)
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap")) * time.Millisecond)
			number := yuccaid.ConfigNumber(rapid.IntRange(1, 5).Draw(t, "number"))
			plan := plans[rapid.IntRange(0, 1).Draw(t, "leader")]
			order, hold := plan.Next(now, number, "t", target, wishFor(number), eng.seen)
			if hold == "" {
				late = append(late, order)
			}
			if len(late) == 0 || !rapid.Bool().Draw(t, "deliver") {
				continue
			}
			order = late[rapid.IntRange(0, len(late)-1).Draw(t, "which")]
			if eng.obey(order, 0) && order.Fence < highest {
				t.Fatalf("went back from %d to %d", highest, order.Fence)
			}
			highest = max(highest, eng.seen.Fence)
		}
		last := yuccaorder.New(now)
		for range 200 {
			now = now.Add(time.Second)
			order, hold := last.Next(now, 6, "t", target, wishFor(6), eng.seen)
			if hold == "" {
				eng.obey(order, 0)
			}
		}
		if eng.seen.Version != wishFor(6).Version || eng.seen.Role != "decode" {
			t.Fatalf("ended at %+v", eng.seen)
		}
	})
}
