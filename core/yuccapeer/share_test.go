package yuccapeer_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

var _ = Describe("the share of targets in a network partition", func() {
	// A switch fails and partitions a data centre. If both sides used all slots of every target,
	// engines would get twice as many requests as intended, and urgent requests would wait in
	// the engines' queues.
	DescribeTable("contains all targets on one side at most, and the shares of smaller sides are disjoint",
		func(daemons int, side func(i int) int) {
			now := time.Unix(1_700_000_000, 0)
			var listings []yuccapeer.Listing
			var views []*yuccapeer.Peers
			for i := range daemons {
				inc := yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprintf("entry-%d", i)), [16]byte{byte(i + 1)})
				address := fmt.Sprintf("10.0.0.%d:7000", i+1)
				listings = append(listings, yuccapeer.Listing{VM: inc.VM, Centre: "odessa-1", Address: address})
				views = append(views, yuccapeer.New(yuccapeer.Member{VM: inc.VM, Centre: "odessa-1", Address: address, Incarnation: inc}))
			}
			for i, view := range views {
				view.SetListings(now, listings)
				for j, other := range views {
					if i != j && side(i) == side(j) {
						view.HandleHeartbeat(now, other.Heartbeat())
					}
				}
			}
			for t := range 200 {
				target := yuccaid.Target(fmt.Sprintf("engine-%d", t))
				usingSides := make(map[int]bool)
				for i, view := range views {
					if share := view.TargetShare(); !share.Whole() && share.Contains(target) {
						usingSides[side(i)] = true
					}
				}
				Expect(len(usingSides)).To(BeNumerically("<=", 1), "target %s is in the shares of several smaller sides", target)
			}
		},
		Entry("one daemon of seven is cut off", 7, func(i int) int { return min(i, 1) }),
		Entry("three and four", 7, func(i int) int { return i / 4 }),
		Entry("halves", 4, func(i int) int { return i % 2 }),
		Entry("everybody alone", 5, func(i int) int { return i }),
	)
})
