package yuccapeer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccapeer"
)

var _ = Describe("what was worked out from the view", func() {
	// Daemons join, stop sending, leave and return, listings arrive from the platform and from
	// other daemons, and this daemon is paused. If the view still returned a
	// leader or a member that was cached before such a change, requests would be sent to a
	// daemon that no longer runs.
	It("is never older than the view", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			view := yuccapeer.New(testMember(0))
			sequence := uint64(0)
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				sequence++
				other := testMember(rapid.IntRange(1, 9).Draw(t, "who"))
				other.Leaving = rapid.IntRange(0, 9).Draw(t, "leaving") == 0
				listing := yuccapeer.Listing{VM: other.VM, Centre: other.Centre, Address: other.Address, Leaving: other.Leaving}
				switch rapid.IntRange(0, 9).Draw(t, "step") {
				case 0:
					view.HandleDisconnect(now, other.Incarnation)
				case 1:
					view.AddListings(now, []yuccapeer.Listing{listing})
				case 2:
					view.SetListings(now, []yuccapeer.Listing{listing})
				case 3:
					now = now.Add(5 * time.Second)
				case 4:
					view.Leave(now)
				case 5:
					view.HandlePulse(now, other.Incarnation, yuccapeer.Pulse{Sequence: sequence, Version: 1})
				default:
					view.HandleConnect(now, other)
					view.HandleHeartbeat(now, yuccapeer.Heartbeat{
						Incarnation: other.Incarnation, Centre: other.Centre, Address: other.Address,
						Leaving: other.Leaving, Sequence: sequence, Version: sequence, Unlisted: true,
					})
				}
				now = now.Add(300 * time.Millisecond)
				view.Tick(now)
				cached := results(view)
				view.ClearCache()
				Expect(results(view)).To(Equal(cached))
			}
		})
	})
})

// results returns the results of the methods of a view that use its cache.
func results(view *yuccapeer.Peers) []any {
	leader, found := view.Leader("pool")
	return []any{
		view.Live("centre-0"), view.Live("centre-1"), view.Candidates("centre-0"), view.Candidates("centre-2"),
		leader, found, view.Gateways(),
	}
}
