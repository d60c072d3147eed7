package yuccagrant_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// sharedSlots returns how many slots twenty daemons use in all that decide by themselves on the given
// number of targets with four slots each, and how many the daemon with the fewest uses.
func sharedSlots(targets int) (sum, fewest int) {
	const daemons = 20
	now := time.Unix(1_700_000_000, 0)
	var list []yuccagrant.Target
	for number := range targets {
		list = append(list, yuccagrant.Target{Name: yuccaid.Target(fmt.Sprintf("engine-%d", number)), Slots: 4})
	}
	fewest = targets * daemons
	for daemon := range daemons {
		lead := yuccagrant.New(rand.New(rand.NewPCG(uint64(daemon), 1)))
		lead.SetLeaderCount(now, daemons)
		lead.SetTargets(now, list)
		own := 0
		for _, target := range lead.Targets(now) {
			own += target.Slots
		}
		sum, fewest = sum+own, min(fewest, own)
	}
	return sum, fewest
}

var _ = Describe("daemons that decide without their leader", func() {
	// Guards against the failure that each daemon takes a slot of every target, so that targets get several times as many requests as they have slots.
	It("use as many slots together as there are", func() {
		sum, fewest := sharedSlots(48)
		Expect(sum).To(BeNumerically("~", 48*4, 48))
		Expect(fewest).To(BeNumerically(">", 0))
	})

	// Guards against the failure that a daemon has no share of a small pool and refuses all of its requests.
	It("all have some slots of a small pool", func() {
		_, fewest := sharedSlots(3)
		Expect(fewest).To(BeNumerically(">", 0))
	})
})
