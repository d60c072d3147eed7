package yuccapeer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

var _ = Describe("leaders", func() {
	It("are spread evenly, and change only for the member that joined or left", func() {
		const members, pools = 28, 1000
		wld := newWorld(1, 500*time.Millisecond, 1, members)
		wld.advance(20)
		watcher, failing := wld.processes[0], wld.processes[5]
		leaderVMs := func() []yuccaid.VM {
			var vms []yuccaid.VM
			for i := range pools {
				leader, ok := watcher.view.Leader(poolNamed(i))
				Expect(ok).To(BeTrue())
				vms = append(vms, leader.VM)
			}
			return vms
		}
		before := leaderVMs()
		poolCount := make(map[yuccaid.VM]int)
		for _, vm := range before {
			poolCount[vm]++
		}
		Expect(poolCount).To(HaveLen(members))
		Expect(poolCount).To(HaveEach(And(BeNumerically(">", pools/members/3), BeNumerically("<", 3*pools/members))))
		failing.dead = true
		wld.advance(20)
		moved := 0
		for i, vm := range leaderVMs() {
			if vm != before[i] {
				moved++
				Expect(before[i]).To(Equal(failing.VM))
			}
		}
		Expect(moved).To(Equal(poolCount[failing.VM]))
		wld.start(yuccapeer.Listing{VM: failing.VM, Centre: failing.Centre, Address: failing.Address})
		wld.advance(20)
		Expect(leaderVMs()).To(Equal(before))
	})
})
