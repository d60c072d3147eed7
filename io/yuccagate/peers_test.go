package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccagate"
)

// startTwo starts two connected gateways in one data centre that have chosen leaders.
func startTwo(slots int, engines ...*engine) (*gate, *gate) {
	return startTwoWith(nil, slots, engines...)
}

// startTwoWith does the same as startTwo, after the function change has changed the settings.
func startTwoWith(change func(*yuccagate.Settings), slots int, engines ...*engine) (*gate, *gate) {
	first := newGateOf(listen(), "odessa", "entry-1", change)
	second := newGateOf(listen(), "odessa", "entry-2", change, first.Status().Address)
	first.configure(1, config(), slots, engines...)
	second.configure(1, config(), slots, engines...)
	for _, gt := range []*gate{first, second} {
		Eventually(func() int { return len(gt.Status().Peers) }, 3*time.Second).Should(Equal(1))
	}
	// Daemons choose leaders only after they have listened to their peers for 450 ms.
	time.Sleep(700 * time.Millisecond)
	return first, second
}

var _ = Describe("gateways of one data centre", func() {
	// Each daemon gets half of the requests. If each daemon counted only the runs of its own
	// requests, targets would get twice as many runs as they have slots.
	It("together give targets only slightly more runs than they have slots", func() {
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(40 * time.Millisecond)
			fmt.Fprint(w, "done")
		})
		first, second := startTwo(2, eng)
		var group sync.WaitGroup
		for turn := range 12 {
			group.Go(func() {
				defer GinkgoRecover()
				gt := []*gate{first, second}[turn%2]
				Expect(call{path: "/ticket/", id: fmt.Sprint("r", turn)}.do(gt).status).To(Equal(http.StatusOK))
			})
		}
		group.Wait()
		Expect(eng.maxRunning.Load()).To(BeNumerically("<=", 3))
	})

	// The daemon that leads a pool is killed. Requests at the other daemon must not wait until the
	// loss of the leader is noticed.
	It("decide alone when the leader is gone", func() {
		eng := newEngine("a", nil)
		first, second := startTwo(2, eng)
		Expect(call{path: "/ticket/", id: "before-1"}.do(first).status).To(Equal(http.StatusOK))
		Expect(call{path: "/ticket/", id: "before-2"}.do(second).status).To(Equal(http.StatusOK))
		leader, survivor := first, second
		if string(second.Status().Pools[0].Leader) == "entry-2" {
			leader, survivor = second, first
		}
		leader.crash()
		start := time.Now()
		Expect(call{path: "/ticket/", id: "after"}.do(survivor).status).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
		Eventually(func() string { return string(survivor.Status().Pools[0].Leader) }, 3*time.Second).Should(Equal(string(survivor.Status().VM)))
	})

	// Guards against the failure that a request waits until its deadline because its daemon learns of the
	// only target a moment after the leader.
	It("use a target that the leader knew first, as soon as the other daemon knows it", func() {
		old, replacement := newEngine("a", nil), newEngine("b", nil)
		first, second := startTwo(2, old)
		Expect(call{path: "/ticket/", id: "before"}.do(first).status).To(Equal(http.StatusOK))
		leader, other := first, second
		if first.Status().Pools[0].Leader == second.Status().VM {
			leader, other = second, first
		}
		list := []yuccaroster.Entry{{Target: "b", Pool: "desk", Address: replacement.listener.Addr().String(), Centre: "odessa", Slots: 2, Revision: 5, Version: "v1"}}
		leader.OfferTargets(list, nil, true, 5, true)
		Eventually(func() string { return string(leader.Status().Targets[0].Target) }).Should(Equal("b"))
		took := make(chan time.Duration, 1)
		go func() {
			defer GinkgoRecover()
			start := time.Now()
			Expect(call{path: "/ticket/", id: "after"}.do(other).status).To(Equal(http.StatusOK))
			took <- time.Since(start)
		}()
		Eventually(other.lines.all).Should(ContainSubstring("declined"))
		other.OfferTargets(list, nil, true, 5, true)
		Eventually(took, 3*time.Second).Should(Receive(BeNumerically("<", time.Second)))
	})

	It("forward configurations", func() {
		eng := newEngine("a", nil)
		first, second := startTwo(2, eng)
		Expect(first.OfferConfiguration(encode(5, config()), "test")).To(Succeed())
		Eventually(func() int { return int(second.Status().Number) }).Should(Equal(5))
	})

	It("forward removals of targets", func() {
		eng := newEngine("a", nil)
		first, second := startTwo(2, eng)
		for _, gt := range []*gate{first, second} {
			gt.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 9}}, false, 9, true)
		}
		for _, gt := range []*gate{first, second} {
			Eventually(func() int { return len(gt.Status().Targets) }).Should(BeZero())
		}
	})
})

var _ = Describe("gateways of two data centres", func() {
	// A data centre has lost its connection to the platform, and its daemons are restarted. The
	// other data centre has the configuration and the targets. If the restarted daemons didn't
	// request the configuration and the targets there, they would refuse every caller, because they
	// would have no targets.
	It("get configuration and targets from each other when one can't read them", func() {
		eng := newEngine("a", nil)
		reader := newGateIn("odessa", "odessa-1")
		reader.configure(1, config(), 4, eng)
		disconnected := newGateIn("austin", "austin-1", reader.Status().Address)
		Eventually(func() int { return call{path: "/ticket/"}.do(disconnected).status }, 5*time.Second).Should(Equal(http.StatusOK))
		reader.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 2}}, false, 2, true)
		Eventually(func() int { return len(disconnected.Status().Targets) }, 5*time.Second).Should(BeZero())
	})

	// Guards against the failure that an account gets a part of its quota twice, because a data centre
	// whose daemon has vanished from another one takes it for ended while it serves callers on its own.
	It("leave a part of the quotas to a daemon that the other data centre no longer sees", func() {
		first := newGateIn("odessa", "odessa-1")
		seed := first.Status().Address
		silent := newGateIn("odessa", "odessa-2", seed)
		remote := newGateIn("austin", "austin-1", seed)
		for _, gt := range []*gate{first, silent, remote} {
			gt.configure(1, config(), 4)
		}
		share := func() float64 { return remote.Status().QuotaShare }
		Eventually(func() int { return len(first.Status().Peers) }, 5*time.Second).Should(Equal(2))
		// A daemon's share is 1 also before its first look at the fleet.
		Eventually(remote.lines.all, 5*time.Second).Should(ContainSubstring("part of the quotas"))
		Eventually(share, 5*time.Second).Should(Equal(1.0))
		// The other data centre says within half a second how many daemons it sees.
		time.Sleep(time.Second)
		silent.hang()
		Eventually(share, 5*time.Second).Should(BeNumerically("<", 1))
		Consistently(share, 2*time.Second).Should(BeNumerically("<", 1))
	})

	// Each of two data centres has two daemons. All four daemons find one another through one seed.
	// If the connections between the data centres were closed once the daemons within each data
	// centre have found one another, accounts would get their quotas twice.
	It("stay connected and count quotas together", func() {
		eng := newEngine("a", nil)
		hourWindow := func(set *yuccagate.Settings) { set.Bounds.QuotaWindow = time.Hour }
		first := newGateOf(listen(), "odessa", "odessa-1", hourWindow)
		seed := first.Status().Address
		all := []*gate{first}
		for _, each := range []struct{ centre, vm string }{{"odessa", "odessa-2"}, {"austin", "austin-1"}, {"austin", "austin-2"}} {
			all = append(all, newGateOf(listen(), yuccaid.Centre(each.centre), each.vm, hourWindow, seed))
		}
		for _, gt := range all {
			gt.configure(1, config(), 4, eng)
		}
		connected := func() bool {
			// The map's key says whether a connection leads to another data centre. Each connection
			// is counted twice, because the daemons at both of its ends list it.
			across := map[bool]int{}
			for _, gt := range all {
				for _, peer := range gt.Status().Peers {
					across[peer.Centre != gt.Status().Centre]++
				}
			}
			return across[true] >= 2 && across[false] == 4
		}
		Eventually(connected, 5*time.Second).Should(BeTrue())
		time.Sleep(time.Second)
		Consistently(connected, 1500*time.Millisecond, 50*time.Millisecond).Should(BeTrue())
		served := 0
		for turn := range 60 {
			got := call{path: "/ticket/", id: fmt.Sprint("r", turn), key: "k3"}.do(all[turn%4])
			if got.status != http.StatusOK {
				continue
			}
			served++
			for _, gt := range all {
				Eventually(func() int64 { return gt.used("still") }, 5*time.Second).Should(BeEquivalentTo(5*served), "at %s", gt.Status().VM)
			}
		}
		Expect(served).To(BeNumerically("<=", 20), "the quota lets in twenty")
		Expect(served).To(BeNumerically(">=", 19), "the last one is more than each gateway's share of what is left")
	})
})

var _ = Describe("a gateway whose settings change", func() {
	It("connects to peers at new seeds and keeps its open requests", func() {
		release := make(chan struct{})
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(w, "whole")
		})
		first, second := newGate("entry-1"), newGate("entry-2")
		second.configure(1, config(), 4, eng)
		got := make(chan response, 1)
		go func() { got <- call{path: "/ticket/"}.do(second) }()
		Eventually(eng.running.Load).Should(BeEquivalentTo(1))
		second.Reload(yuccagate.Settings{Seeds: []string{first.Status().Address}})
		Eventually(func() int { return len(second.Status().Peers) }, 5*time.Second).Should(Equal(1))
		close(release)
		var resp response
		Eventually(got).Should(Receive(&resp))
		Expect(resp.body).To(Equal("whole"))
	})
})

var _ = Describe("gateways that were all restarted", func() {
	// Until the gateways are connected, each gateway admits requests by itself. If the gateways
	// didn't exchange what they admitted before the connection, every gateway would admit a whole
	// quota for an account that sends without pause.
	DescribeTable("count what each admitted before they were connected",
		func(centre yuccaid.Centre, vm string) {
			eng := newEngine("a", nil)
			restarted := func(set *yuccagate.Settings) { set.FirstStart, set.Bounds.QuotaWindow = false, time.Hour }
			// The second gateway's listener is open before the gateway starts, so that the first
			// gateway's connection to it is accepted and waits.
			reserved := listen()
			early := newGateOf(listen(), "odessa", "odessa-1", restarted, reserved.Addr().String())
			early.configure(1, config(), 4, eng)
			Expect(call{path: "/ticket/", id: "early", key: "k3"}.do(early).status).To(Equal(http.StatusOK))
			late := newGateOf(reserved, centre, vm, restarted)
			late.configure(1, config(), 4, eng)
			Expect(call{path: "/ticket/", id: "late", key: "k3"}.do(late).status).To(Equal(http.StatusOK))
			for _, gt := range []*gate{early, late} {
				Eventually(func() int64 { return gt.used("still") }, 5*time.Second).Should(BeEquivalentTo(10), "at %s", gt.Status().VM)
				Consistently(func() int64 { return gt.used("still") }, time.Second).Should(BeEquivalentTo(10), "at %s", gt.Status().VM)
			}
		},
		Entry("in one data centre", yuccaid.Centre("odessa"), "odessa-2"),
		Entry("in two", yuccaid.Centre("austin"), "austin-1"),
	)
})
