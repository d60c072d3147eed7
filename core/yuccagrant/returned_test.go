package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

var _ = Describe("a data centre that was evacuated", func() {
	// Guards against the failure that the targets of a data centre, which have cooled down while it was evacuated, are
	// flooded the moment it is taken back, although their registrations still say that they are warm.
	It("gets its targets' requests one by one once it is taken back", func() {
		now := time.Unix(1_700_000_000, 0)
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		budget := yuccacold.Budget{Limit: yuccacold.Limit{Duration: 3 * time.Second, Rate: 5}, PerSecond: 12, WhileCold: true}
		warm := yuccacold.Statement{Revision: 1, Known: true}
		targets := []yuccagrant.Target{{Name: "i-1", Centre: "hills-a", Slots: 8, Cold: warm, Budget: budget}}
		set := func(evacuated bool) {
			if evacuated {
				lead.SetEvacuated(map[yuccaid.Centre]bool{"hills-a": true})
				lead.SetTargets(now, nil)
				return
			}
			lead.SetEvacuated(map[yuccaid.Centre]bool{})
			lead.SetTargets(now, targets)
		}
		granted, number := 0, uint64(0)
		submit := func(count int) {
			granted = 0
			for range count {
				number++
				req := yuccagrant.Request{ID: yuccagrant.ID{Number: number}, SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
				granted += len(lead.Submit(now, req).Grants)
			}
		}
		set(false)
		submit(6)
		Expect(granted).To(Equal(6))
		for id := range number {
			lead.RunFinished(now, yuccagrant.Finished{ID: yuccagrant.ID{Number: id + 1}, Outcome: yuccagrant.Served})
		}
		now = now.Add(10 * time.Second)
		set(true)
		now = now.Add(10 * time.Second)
		set(false)
		submit(6)
		Expect(granted).To(Equal(1))
	})
})
