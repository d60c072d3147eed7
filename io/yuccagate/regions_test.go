package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccagate"
)

// limited returns the configuration of most tests with all routes limited to regions.
func limited(regions ...yuccaid.Region) yuccaroute.Config {
	cfg := config()
	for at := range cfg.Routes {
		cfg.Routes[at].Regions = yuccaregion.Only(regions...)
	}
	return cfg
}

// entryIn returns the registration of an engine in a data centre.
func entryIn(centre yuccaid.Centre, eng *engine, slots int, revision yuccaroster.Revision) yuccaroster.Entry {
	return yuccaroster.Entry{
		Target: yuccaid.Target(eng.name), Pool: "desk", Address: eng.listener.Addr().String(), Centre: centre, Slots: slots, Revision: revision, Version: eng.version,
	}
}

// waiting returns how many requests wait for a target.
func (gt *gate) waiting() int {
	sum := 0
	for _, pool := range gt.Status().Pools {
		sum += pool.Waiting
	}
	return sum
}

var _ = Describe("a request that may be served in some regions only", func() {
	// here is in the region permian and there in the region hills.
	var here, there *engine
	register := func(gt *gate, cfg yuccaroute.Config, entries ...yuccaroster.Entry) {
		Expect(gt.OfferConfiguration(encode(1, cfg), "test")).To(Succeed())
		gt.OfferTargets(entries, nil, true, 1, true)
		Eventually(gt.Ready).Should(BeTrue())
		Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(len(entries)))
	}
	BeforeEach(func() {
		here, there = newEngine("here", nil), newEngine("there", nil)
	})

	// Guards against the failure that a request goes to a closer target of another region.
	It("is served only there, whether its route or its account says so", func() {
		gt := newGateIn("odessa", "odessa-1")
		byAccount := config()
		byAccount.Accounts[0].Regions = yuccaregion.Only("hills")
		for number, cfg := range []yuccaroute.Config{limited("hills"), byAccount} {
			Expect(gt.OfferConfiguration(encode(yuccaid.ConfigNumber(number+2), cfg), "test")).To(Succeed())
			gt.OfferTargets([]yuccaroster.Entry{entryIn("odessa", here, 40, 1), entryIn("austin", there, 4, 1)}, nil, true, 1, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(2))
			for turn := range 10 {
				got := call{path: "/ticket/", id: fmt.Sprint("r", number, turn)}.do(gt)
				Expect(got.status).To(Equal(http.StatusOK), got.body)
			}
		}
		Expect(here.requests()).To(BeEmpty())
		Expect(there.requests()).To(HaveLen(20))
	})

	// Guards against the failure that a request whose region has no target is sent elsewhere, or waits until its deadline.
	It("is refused with a Retry-After where no target is in them", func() {
		gt := newGateIn("odessa", "odessa-1")
		register(gt, limited("hills"), entryIn("odessa", here, 4, 1))
		began := time.Now()
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.body).To(ContainSubstring("noRegion"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(here.requests()).To(BeEmpty())
		Expect(gt.lines.all()).To(ContainSubstring("excludedregion 1"))
	})

	It("is refused where its route and its account exclude each other", func() {
		gt := newGateIn("odessa", "odessa-1")
		cfg := limited("hills")
		cfg.Accounts[0].Regions = yuccaregion.Only("permian")
		register(gt, cfg, entryIn("odessa", here, 4, 1), entryIn("austin", there, 4, 1))
		Expect(call{path: "/ticket/"}.do(gt).status).To(Equal(http.StatusServiceUnavailable))
		Expect(append(here.requests(), there.requests()...)).To(BeEmpty())
	})

	// Guards against the failure that a leader, which may be of an older build, decides where a request is served.
	It("keeps to them with a leader of another data centre's region, and when its leader is killed", func() {
		first := newGateIn("odessa", "odessa-1")
		second := newGateIn("odessa", "odessa-2", first.Status().Address)
		for _, gt := range []*gate{first, second} {
			register(gt, limited("hills"), entryIn("odessa", here, 40, 1), entryIn("austin", there, 4, 1))
		}
		leads := func(gt *gate) func() bool {
			return func() bool {
				pools := gt.Status().Pools
				return len(pools) > 0 && pools[0].Leader == gt.Status().VM
			}
		}
		send := func(gt *gate, prefix string) {
			for turn := range 8 {
				got := call{path: "/lookup/", id: fmt.Sprint(prefix, turn)}.do(gt)
				Expect(got.status).To(Equal(http.StatusOK), got.body)
			}
		}
		Eventually(func() bool {
			send(first, "a")
			send(second, "b")
			return leads(first)() != leads(second)()
		}, 5*time.Second).Should(BeTrue())
		leader, other := first, second
		if leads(second)() {
			leader, other = second, first
		}
		send(other, "c")
		Expect(other.lines.all()).NotTo(ContainSubstring("declined"))
		leader.crash()
		send(other, "d")
		Expect(here.requests()).To(BeEmpty())
	})

	// Guards against the failure that the daemon which holds a request sends it wherever its leader, which may know less, says.
	It("keeps to them with a leader that takes another region's targets for theirs", func() {
		there = newEngine("there", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(20 * time.Millisecond)
			fmt.Fprint(w, "done")
		})
		first := newGateOf(listen(), "odessa", "odessa-1", func(set *yuccagate.Settings) {
			set.Regions = map[yuccaid.Centre]yuccaid.Region{"odessa": "hills", "austin": "hills"}
		})
		second := newGateIn("odessa", "odessa-2", first.Status().Address)
		for _, gt := range []*gate{first, second} {
			register(gt, limited("hills"), entryIn("odessa", here, 40, 1), entryIn("austin", there, 4, 1))
		}
		Eventually(func() yuccaid.VM {
			call{path: "/lookup/", id: "before"}.do(second)
			return second.Status().Pools[0].Leader
		}, 5*time.Second).Should(Equal(yuccaid.VM("odessa-1")), "names for which this daemon leads the pool")
		var group sync.WaitGroup
		for turn := range 12 {
			group.Go(func() {
				defer GinkgoRecover()
				got := call{path: "/lookup/", id: fmt.Sprint("r", turn)}.do(second)
				Expect(got.status).To(Equal(http.StatusOK), got.body)
			})
		}
		group.Wait()
		Expect(here.requests()).To(BeEmpty())
		Expect(second.lines.all()).To(ContainSubstring("declined"))
	})

	// Guards against the failure that a waiting request is sent to a region that a new configuration has taken away.
	It("is placed anew when a configuration takes a region away while it waits", func() {
		release := make(chan struct{})
		blocked := func(w http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(w, "done")
		}
		there = newEngine("there", blocked)
		gt := newGateIn("odessa", "odessa-1")
		register(gt, limited("hills"), entryIn("austin", there, 1, 1), entryIn("odessa", here, 4, 1))
		results := make(chan response, 3)
		for turn := range 3 {
			go func() { results <- call{path: "/ticket/", id: fmt.Sprint("r", turn)}.do(gt) }()
		}
		Eventually(gt.waiting).Should(Equal(2))
		Expect(gt.OfferConfiguration(encode(2, limited("permian")), "test")).To(Succeed())
		var got response
		for range 2 {
			Eventually(results).Should(Receive(&got))
			Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		}
		Expect(call{path: "/ticket/", id: "new"}.do(gt).status).To(Equal(http.StatusOK))
		close(release)
		Eventually(results).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(there.requests()).To(HaveLen(1))
		Expect(here.requests()).To(HaveLen(1))
	})

	// Guards against the failure that a failed request is sent again to a region that a new configuration has taken away.
	It("isn't sent again where a new configuration doesn't allow it", func() {
		var gt *gate
		cutOff := func(w http.ResponseWriter, r *http.Request) {
			Expect(gt.OfferConfiguration(encode(2, limited("hills")), "test")).To(Succeed())
			Eventually(func() yuccaid.ConfigNumber { return gt.Status().Number }).Should(Equal(yuccaid.ConfigNumber(2)))
			closeWithoutResponse(w, r)
		}
		here = newEngine("here", cutOff)
		spare := newEngine("spare", nil)
		gt = newGateIn("odessa", "odessa-1")
		register(gt, limited("permian"), entryIn("odessa", here, 40, 1))
		done := make(chan response, 1)
		go func() { done <- call{path: "/lookup/"}.do(gt) }()
		Eventually(here.requests).Should(HaveLen(1))
		gt.OfferTargets([]yuccaroster.Entry{entryIn("odessa", spare, 40, 2), entryIn("austin", there, 40, 2)}, nil, false, 2, true)
		var got response
		Eventually(done, 3*time.Second).Should(Receive(&got))
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(append(spare.requests(), there.requests()...)).To(BeEmpty())
	})

	// Guards against the failure that a misspelt region is taken for one without targets.
	It("isn't accepted for a region without a data centre, and the former configuration stays", func() {
		gt := newGateIn("odessa", "odessa-1")
		register(gt, config(), entryIn("odessa", here, 4, 1))
		Expect(gt.OfferConfiguration(encode(2, limited("hillz")), "test")).To(MatchError(ContainSubstring(`region "hillz" has no data centre`)))
		Consistently(func() yuccaid.ConfigNumber { return gt.Status().Number }, 50*time.Millisecond).Should(Equal(yuccaid.ConfigNumber(1)))
		Expect(call{path: "/ticket/"}.do(gt).status).To(Equal(http.StatusOK))
	})
})

var _ = Describe("an evacuated data centre", func() {
	// Guards against the failure that a target gets requests after its data centre's evacuation was acknowledged.
	It("gets no requests until the evacuation ends, also by way of other daemons", func() {
		here, there := newEngine("here", nil), newEngine("there", nil)
		first := newGateIn("odessa", "odessa-1")
		second := newGateIn("austin", "austin-1", first.Status().Address)
		for _, gt := range []*gate{first, second} {
			Expect(gt.OfferConfiguration(encode(1, config()), "test")).To(Succeed())
			gt.OfferTargets([]yuccaroster.Entry{entryIn("odessa", here, 40, 1), entryIn("austin", there, 40, 2)}, nil, true, 2, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(2))
		}
		Eventually(func() int { return len(first.Status().Peers) }).Should(Equal(1))
		Expect(call{path: "/lookup/", id: "before"}.do(second).status).To(Equal(http.StatusOK))
		Expect(there.requests()).NotTo(BeEmpty())
		evacuated := func(gt *gate) func() []yuccaid.Centre {
			return func() []yuccaid.Centre { return gt.Status().Evacuated }
		}

		first.OfferTargets([]yuccaroster.Entry{yuccaroster.Evacuation("austin", 3)}, nil, false, 3, true)
		Eventually(evacuated(second), 3*time.Second).Should(Equal([]yuccaid.Centre{"austin"}))
		reached := len(there.requests())
		for turn := range 10 {
			Expect(call{path: "/lookup/", id: fmt.Sprint("r", turn)}.do(second).status).To(Equal(http.StatusOK))
		}
		Expect(there.requests()).To(HaveLen(reached))

		third := newGateIn("austin", "austin-2", first.Status().Address, second.Status().Address)
		Expect(third.OfferConfiguration(encode(1, config()), "test")).To(Succeed())
		Eventually(evacuated(third), 5*time.Second).Should(Equal([]yuccaid.Centre{"austin"}))
		Expect(call{path: "/lookup/", id: "new"}.do(third).status).To(Equal(http.StatusOK))
		Expect(there.requests()).To(HaveLen(reached))

		first.OfferTargets(nil, []yuccaroster.Removal{yuccaroster.EvacuationEnd("austin", 4)}, false, 4, true)
		Eventually(evacuated(second), 3*time.Second).Should(BeEmpty())
		Eventually(func() int {
			call{path: "/lookup/", id: "after"}.do(second)
			return len(there.requests())
		}).Should(BeNumerically(">", reached))
	})

	// Guards against the failure that what waits for a target is sent to it after the evacuation.
	It("gets nothing of what waits, which goes elsewhere", func() {
		release := make(chan struct{})
		there := newEngine("there", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(w, "done")
		})
		here := newEngine("here", nil)
		gt := newGateIn("odessa", "odessa-1")
		Expect(gt.OfferConfiguration(encode(1, config()), "test")).To(Succeed())
		gt.OfferTargets([]yuccaroster.Entry{entryIn("austin", there, 1, 1)}, nil, true, 1, true)
		Eventually(gt.Ready).Should(BeTrue())
		Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(1))
		results := make(chan response, 4)
		for turn := range 4 {
			go func() { results <- call{path: "/ticket/", id: fmt.Sprint("r", turn)}.do(gt) }()
		}
		Eventually(gt.waiting).Should(Equal(2))
		gt.OfferTargets([]yuccaroster.Entry{yuccaroster.Evacuation("austin", 2), entryIn("odessa", here, 4, 2)}, nil, false, 2, true)
		var got response
		for range 2 {
			Eventually(results).Should(Receive(&got))
			Expect(got.body).To(Equal("answer of here"))
		}
		close(release)
		for range 2 {
			Eventually(results).Should(Receive(&got))
			Expect(got.body).To(Equal("done"))
		}
		Expect(there.requests()).To(HaveLen(2))
	})

	// Guards against the failure that an evacuation of all targets makes callers wait in vain.
	It("that has all targets has requests refused at once with a Retry-After", func() {
		there := newEngine("there", nil)
		gt := newGateIn("odessa", "odessa-1")
		Expect(gt.OfferConfiguration(encode(1, config()), "test")).To(Succeed())
		gt.OfferTargets([]yuccaroster.Entry{entryIn("austin", there, 4, 1)}, nil, true, 1, true)
		Eventually(func() int { return call{path: "/ticket/", id: "before"}.do(gt).status }).Should(Equal(http.StatusOK))
		gt.OfferTargets([]yuccaroster.Entry{yuccaroster.Evacuation("austin", 2)}, nil, false, 2, true)
		Eventually(func() []yuccaid.Centre { return gt.Status().Evacuated }).Should(HaveLen(1))
		began := time.Now()
		got := call{path: "/ticket/", id: "after"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
		Expect(gt.lines.all()).To(ContainSubstring("excludedevacuated 1"))
	})
})
