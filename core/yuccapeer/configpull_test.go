package yuccapeer_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

var _ = Describe("requests for a newer configuration", func() {
	const interval = 300 * time.Millisecond
	source := func(vm yuccaid.VM) yuccapeer.PeerConfig {
		return yuccapeer.PeerConfig{Peer: yuccaid.NewIncarnation(vm, [16]byte{}), Number: 7}
	}
	slow, second, third := source("vm-1"), source("vm-2"), source("vm-3")
	sources := []yuccapeer.PeerConfig{slow, second, third}

	// Guards against the failure that a daemon waits for one slow peer while others have the configuration.
	It("go to another peer if one doesn't answer, and to the one that does from then on", func() {
		pull, now := yuccapeer.NewConfigPull(interval), time.Unix(1_700_000_000, 0)
		var asked []yuccapeer.PeerConfig
		for range 2 {
			Expect(pull.Due(now, 0)).To(BeTrue())
			asked = append(asked, pull.Choose(now, slow, sources))
			Expect(pull.Due(now.Add(interval-time.Millisecond), 0)).To(BeFalse())
			now = now.Add(interval)
		}
		Expect(asked).To(Equal([]yuccapeer.PeerConfig{slow, second}))
		pull.Received()
		Expect(pull.Choose(now, slow, sources)).To(Equal(second))
		Expect(pull.Choose(now.Add(interval), slow, sources)).To(Equal(third))
		Expect(pull.Choose(now.Add(2*interval), slow, sources)).To(Equal(slow))
		Expect(pull.Choose(now.Add(3*interval), slow, sources[:1])).To(Equal(slow))
		Expect(pull.Choose(now.Add(4*interval), third, nil)).To(Equal(third))
	})

	It("wait for their turn from when the daemon learned of the configuration", func() {
		pull, now := yuccapeer.NewConfigPull(interval), time.Unix(1_700_000_000, 0)
		Expect(pull.Due(now, 200*time.Millisecond)).To(BeFalse())
		Expect(pull.Due(now.Add(199*time.Millisecond), 200*time.Millisecond)).To(BeFalse())
		Expect(pull.Due(now.Add(200*time.Millisecond), 200*time.Millisecond)).To(BeTrue())
		pull.CaughtUp()
		Expect(pull.Due(now.Add(time.Second), 200*time.Millisecond)).To(BeFalse())
	})

	It("may go to each peer with the highest number, the preferred one first", func() {
		now := time.Unix(1_700_000_000, 0)
		peers := yuccapeer.New(yuccapeer.Member{VM: "vm-0", Centre: "odessa", Incarnation: yuccaid.NewIncarnation("vm-0", [16]byte{})})
		Expect(peers.NewerConfigs()).To(BeEmpty())
		for vm, number := range map[yuccaid.VM]yuccaid.ConfigNumber{"vm-1": 7, "vm-2": 7, "vm-3": 6} {
			inc := yuccaid.NewIncarnation(vm, [16]byte{})
			peers.HandleConnect(now, yuccapeer.Member{VM: vm, Centre: "odessa", Incarnation: inc})
			peers.HandleHeartbeat(now, yuccapeer.Heartbeat{Incarnation: inc, Centre: "odessa", Sequence: 1, Version: 1, Number: number})
		}
		Expect(peers.NewerConfigs()).To(ConsistOf(source("vm-1"), source("vm-2")))
		Expect(peers.NewerConfigs()[0]).To(Equal(peers.NewerConfig()))
	})
})
