package yuccagate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
)

// poll lets the platform respond to each gateway that reads it, and returns these gateways.
func poll(gates []*gate) []*gate {
	var reading []*gate
	for _, gt := range gates {
		if !gt.MaySkipPlatformReads() {
			gt.RecordPlatformRevision(9)
			reading = append(reading, gt)
		}
	}
	return reading
}

var _ = Describe("a daemon that doesn't read the platform", func() {
	// A daemon reads the registrations of the targets a and b. Then b's registration is removed, and
	// only after that the daemon that reads for the data centre reads them for the first time. That
	// daemon never learns that b existed, so it has no removal to forward.
	It("drops a target that the reader has never known", func() {
		first, second := startTwo(4, newEngine("a", nil), newEngine("b", nil))
		reader, other := first, second
		if first.MaySkipPlatformReads() {
			reader, other = second, first
		}
		entry := yuccaroster.Entry{Target: "a", Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: 1}
		reader.OfferTargets([]yuccaroster.Entry{entry}, nil, true, 9, true)
		Eventually(func() int {
			reader.RecordPlatformRevision(9)
			return len(other.Status().Targets)
		}, 5*time.Second, 50*time.Millisecond).Should(Equal(1))
	})
})

var _ = Describe("a removal that the reader holds as tentative", func() {
	// Guards against the failure that a daemon which takes the reader's list sends requests to a target that has left
	// for as long as the target answers.
	It("takes effect also at a daemon that gets the reader's whole list meanwhile", func() {
		first, second := startTwo(4, newEngine("a", nil), newEngine("b", nil))
		reader, other := first, second
		if first.MaySkipPlatformReads() {
			reader, other = second, first
		}
		reader.OfferTargets([]yuccaroster.Entry{registration("a", 9, false)}, nil, true, 9, false)
		targets := func(gt *gate) func() int {
			return func() int {
				reader.RecordPlatformRevision(9)
				return len(gt.Status().Targets)
			}
		}
		Eventually(targets(reader), 3*time.Second, 50*time.Millisecond).Should(Equal(1))
		Eventually(targets(other), time.Second, 50*time.Millisecond).Should(Equal(1))
	})
})

var _ = Describe("changes that a reader gets at once after an outage", func() {
	// Guards against the failure that daemons send requests to a target of which they learn only now and that has left.
	It("bring no target that has come and left meanwhile", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, newEngine("a", nil))
		gt.OfferTargets([]yuccaroster.Entry{registration("late", 20, false)}, []yuccaroster.Removal{{Target: "late", Revision: 21}}, false, 21, false)
		Consistently(func() int { return len(gt.Status().Targets) }, 500*time.Millisecond, 20*time.Millisecond).Should(Equal(1))
	})
})

// registration returns the registration of a target of the pool desk.
func registration(name yuccaid.Target, revision yuccaroster.Revision, leaving bool) yuccaroster.Entry {
	return yuccaroster.Entry{Target: name, Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: revision, Leaving: leaving}
}

// leavingTargets returns the targets that a daemon knows to be leaving.
func leavingTargets(gt *gate) []yuccaid.Target {
	var names []yuccaid.Target
	for _, target := range gt.Status().Targets {
		if target.Leaving {
			names = append(names, target.Target)
		}
	}
	return names
}

var _ = Describe("a change of the targets that another daemon lacks", func() {
	// Guards against the failure that a daemon goes on using a target which has said that it leaves.
	It("isn't hidden by the next change", func() {
		first, second := startTwo(4, newEngine("a", nil), newEngine("b", nil))
		reader, other := first, second
		if first.MaySkipPlatformReads() {
			reader, other = second, first
		}
		reader.OfferTargets([]yuccaroster.Entry{registration("a", 9, true), registration("b", 1, false)}, nil, true, 9, true)
		reader.OfferTargets([]yuccaroster.Entry{registration("c", 10, false)}, nil, false, 10, true)
		Eventually(func() int { return len(other.Status().Targets) }, 2*time.Second).Should(Equal(3))
		Eventually(func() []yuccaid.Target {
			reader.RecordPlatformRevision(10)
			return leavingTargets(other)
		}, 3*time.Second, 50*time.Millisecond).Should(Equal([]yuccaid.Target{"a"}))
	})
})

// joined reports whether all gateways are connected to their neighbours, each data centre to the other, and all know of
// an answer of the platform. Until then each side of a fleet that starts may read for itself.
func joined(gates []*gate) bool {
	linked := make(map[[2]yuccaid.Centre]bool)
	for _, gt := range gates {
		status := gt.Status()
		if len(status.Peers) == 0 || status.PlatformAgeMillis < 0 {
			return false
		}
		for _, peer := range status.Peers {
			linked[[2]yuccaid.Centre{status.Centre, peer.Centre}] = true
		}
	}
	return len(linked) == 4
}

var _ = Describe("the daemons of several data centres", func() {
	// Each call to the platform is paid for. If one daemon of each data centre read the platform,
	// fourteen data centres would pay fourteen times for the same news.
	It("have one daemon read the platform for all, and another one when that one is gone", func() {
		eng := newEngine("a", nil)
		first := newGateIn("odessa", "odessa-1")
		seed := first.Status().Address
		gates := []*gate{first, newGateIn("odessa", "odessa-2", seed), newGateIn("austin", "austin-1", seed), newGateIn("austin", "austin-2", seed)}
		for _, gt := range gates {
			gt.configure(1, config(), 4, eng)
		}
		count := func() int { return len(poll(gates)) }
		Eventually(func() bool { count(); return joined(gates) }, 5*time.Second, 50*time.Millisecond).Should(BeTrue())
		Eventually(count, 5*time.Second, 50*time.Millisecond).Should(Equal(1))
		Consistently(count, time.Second, 50*time.Millisecond).Should(Equal(1))
		reader := poll(gates)[0]
		entry := yuccaroster.Entry{Target: "late", Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: 12}
		reader.OfferTargets([]yuccaroster.Entry{entry}, nil, false, 12, true)
		var others []*gate
		for _, gt := range gates {
			Eventually(func() int { return len(gt.Status().Targets) }, 2*time.Second).Should(Equal(2), "at %s", gt.Status().VM)
			if gt != reader {
				others = append(others, gt)
			}
		}
		reader.crash()
		Eventually(func() int { return len(poll(others)) }, 4*time.Second, 50*time.Millisecond).Should(BeNumerically(">=", 1))
		Eventually(func() int { return len(poll(others)) }, 5*time.Second, 50*time.Millisecond).Should(Equal(1))
	})
})
