package yuccagate_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccagate"
	"yuccacleat/io/yuccawire"
)

var _ = Describe("a stream that is taken up at a daemon without memory", func() {
	// settled is the time after which gateways agree which of them asks which targets.
	const settled = 700 * time.Millisecond
	restarted := func(set *yuccagate.Settings) { set.FirstStart = false }
	takeUp := call{path: "/resumed/", header: map[string]string{"Last-Event-Id": "2", "X-Own": "p1"}}
	modelConfig := func() yuccaroute.Config {
		cfg := config()
		cfg.Pools[0].Engine = &yuccaroute.Engine{CacheTokens: 1000}
		return cfg
	}
	newEngines := func(versions ...yuccaid.Version) (list []*engine) {
		for index, version := range versions {
			eng := newEngine(fmt.Sprint("e", index), func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				writeEvents(w, 3, 5, 0)
			})
			eng.version = version
			list = append(list, eng)
		}
		return list
	}

	It("goes on at the version whose targets keep its prompt", func() {
		engines := newEngines("v1", "v2", "v1", "v2")
		engines[1].keeps = []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt.configure(1, modelConfig(), 4, engines...)
		Expect(takeUp.do(gt).status).To(Equal(http.StatusOK))
		Expect(len(engines[1].requests()) + len(engines[3].requests())).To(Equal(1))
	})

	It("is refused where targets of two versions keep its prompt", func() {
		engines := newEngines("v1", "v2")
		engines[0].keeps, engines[1].keeps = []string{"p1"}, []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt.configure(1, modelConfig(), 4, engines...)
		Expect(takeUp.do(gt).status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against the failure that a stream goes on at the version of an attempt that brought no event, because the target that began
	// it is slow to tell what it keeps, or isn't asked.
	DescribeTable("while a target doesn't tell what it keeps",
		func(version yuccaid.Version, status int) {
			engines := newEngines("v1", version)
			engines[0].keeps = []string{"p1"}
			engines[1].silent.Store(true)
			gt := newGateOf(listen(), "odessa", "entry-1", restarted)
			gt.configure(1, modelConfig(), 4, engines...)
			Expect(takeUp.do(gt).status).To(Equal(status))
		},
		Entry("is refused if that is of another version", yuccaid.Version("v2"), http.StatusServiceUnavailable),
		Entry("goes on if that is of the same", yuccaid.Version("v1"), http.StatusOK),
	)

	It("goes on where the process of a target of another version has ended", func() {
		engines := newEngines("v1", "v2")
		engines[0].keeps = []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt.configure(1, modelConfig(), 4, engines...)
		engines[1].http.Close()
		Expect(takeUp.do(gt).status).To(Equal(http.StatusOK))
	})

	// Guards against the failure that streams are lost because their callers come before the daemon knows any target.
	It("waits for the targets of a daemon that has just started", func() {
		engines := newEngines("v1")
		engines[0].keeps = []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		Expect(gt.OfferConfiguration(encode(1, modelConfig()), "test")).To(Succeed())
		Eventually(gt.Ready).Should(BeTrue())
		go func() {
			time.Sleep(200 * time.Millisecond)
			gt.OfferTargets([]yuccaroster.Entry{{
				Target: "e0", Pool: "desk", Address: engines[0].listener.Addr().String(), Centre: "odessa", Slots: 4, Revision: 1, Version: "v1",
			}}, nil, true, 1, true)
		}()
		Expect(takeUp.do(gt).status).To(Equal(http.StatusOK))
	})

	// Guards against the failure that a stream goes on at one of two versions that have read its prompt, because the daemon has only
	// been told of a change of that one's targets yet.
	It("is refused as long as the daemon knows only a part of the targets", func() {
		engines := newEngines("v1", "v2")
		engines[0].keeps, engines[1].keeps = []string{"p1"}, []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		Expect(gt.OfferConfiguration(encode(1, modelConfig()), "test")).To(Succeed())
		Eventually(gt.Ready).Should(BeTrue())
		peer := newPuller(gt, listen())
		changed := yuccaroster.Entry{Target: "e0", Pool: "desk", Address: engines[0].listener.Addr().String(), Centre: "odessa", Slots: 4, Revision: 2, Version: "v1"}
		Expect(peer.Send(peer.Linked()[0].Incarnation, yuccawire.KindTargets, yuccawire.TargetsUpdate{
			Targets: yuccawire.Targets{Entries: []yuccaroster.Entry{changed}, At: 2}, After: 1,
		})).To(Succeed())
		Eventually(func() int { return len(gt.Status().Targets) }).Should(Equal(1))
		Expect(takeUp.do(gt).status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against the failure that a stream goes on at one of two versions that have read its prompt, because the daemon that asks
	// the targets of the other one has no configuration and asks none.
	It("is refused where the daemon that asks a share of the targets has no configuration", func() {
		engines := newEngines("v1", "v1", "v1", "v2")
		// The targets e0 and e3 are in the shares of different daemons.
		engines[0].keeps, engines[3].keeps = []string{"p1"}, []string{"p1"}
		cfg := modelConfig()
		// The settings of the other daemon lack this region, so it refuses the configuration.
		cfg.Routes[0].Regions = yuccaregion.Only("hills")
		other := newGateOf(listen(), "odessa", "entry-9", restarted)
		gt := newGateOf(listen(), "odessa", "odessa-1", restarted, other.Status().Address)
		gt.configure(1, cfg, 4, engines...)
		var entries []yuccaroster.Entry
		for _, eng := range engines {
			entries = append(entries, yuccaroster.Entry{
				Target: yuccaid.Target(eng.name), Pool: "desk", Address: eng.listener.Addr().String(), Centre: "odessa", Slots: 4, Revision: 1, Version: eng.version,
			})
		}
		other.OfferTargets(entries, nil, true, 1, true)
		Eventually(func() int { return len(gt.Status().Peers) }, 5*time.Second).Should(Equal(1))
		time.Sleep(settled)
		Expect(takeUp.do(gt).status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against the failure that a stream is lost because new requests of its account have used what that gets as long as its
	// usage before the restart isn't known.
	It("goes on where new requests of its account are refused", func() {
		engines := newEngines("v1")
		engines[0].keeps = []string{"p1"}
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt.configure(1, modelConfig(), 4, engines...)
		ticket := func(turn int) int { return call{path: "/ticket/", id: fmt.Sprint("r", turn), key: "k2"}.do(gt).status }
		for turn := range 3 {
			Expect(ticket(turn)).To(Equal(http.StatusOK))
		}
		Expect(ticket(3)).To(Equal(http.StatusTooManyRequests))
		charged := takeUp
		charged.key = "k2"
		Expect(charged.do(gt).status).To(Equal(http.StatusOK))
		Expect(ticket(4)).To(Equal(http.StatusTooManyRequests))
	})

	// Guards against the failure that targets of plain services are asked for what only engines keep.
	It("is refused where no pool runs a model", func() {
		engines := newEngines("v1")
		gt := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt.configure(1, config(), 4, engines...)
		Expect(takeUp.do(gt).status).To(Equal(http.StatusServiceUnavailable))
		Expect(engines[0].lists).To(BeZero())
	})

	// Guards against the failure that a stream goes on at the version that targets tell although a daemon remembers another one, because
	// it is slow to answer.
	It("goes on where a slow daemon remembers that it began", func() {
		engines := newEngines("v1", "v2")
		slow := newGateOf(listen(), "odessa", "entry-1", restarted)
		slow.configure(1, modelConfig(), 4, engines[1])
		Expect(call{path: "/resumed/", id: "began"}.do(slow).status).To(Equal(http.StatusOK))
		gt := newGateOf(listen(), "odessa", "entry-2", restarted, slow.Status().Address)
		engines[0].keeps = []string{"p1"}
		for _, each := range []*gate{slow, gt} {
			each.configure(2, modelConfig(), 4, engines...)
			Eventually(func() int { return len(each.Status().Peers) }, 5*time.Second).Should(Equal(1))
		}
		time.Sleep(settled)
		slow.control.Lock()
		time.Sleep(100 * time.Millisecond)
		time.AfterFunc(250*time.Millisecond, slow.control.Unlock)
		remembered := call{path: takeUp.path, header: map[string]string{"Last-Event-Id": "2", "X-Own": "p1", "X-Resumes": "began"}}
		Expect(remembered.do(gt).status).To(Equal(http.StatusOK))
		Expect(engines[0].requests()).To(BeEmpty())
	})

	// Guards against the failure that a stream goes on at the version of an attempt that brought no event, because the target that began
	// it had told before what it keeps.
	It("is refused where another version has read its prompt since targets were asked, and a daemon was lost", func() {
		engines := newEngines("v1", "v2")
		engines[0].keeps = []string{"p1"}
		lost := newGateOf(listen(), "odessa", "entry-1", restarted)
		gt := newGateOf(listen(), "odessa", "entry-2", restarted, lost.Status().Address)
		for _, each := range []*gate{lost, gt} {
			each.configure(1, modelConfig(), 4, engines...)
			Eventually(func() int { return len(each.Status().Peers) }, 5*time.Second).Should(Equal(1))
		}
		time.Sleep(settled)
		Expect(takeUp.do(gt).status).To(Equal(http.StatusOK))
		engines[1].mu.Lock()
		engines[1].keeps = []string{"p1"}
		engines[1].mu.Unlock()
		lost.crash()
		Eventually(gt.lines.all, 5*time.Second).Should(ContainSubstring("peer gone"))
		Expect(takeUp.do(gt).status).To(Equal(http.StatusServiceUnavailable))
	})

	// Guards against the failure that a stream goes on at the version that answered an earlier request of its session, because its caller
	// doesn't tell which request began it and the version that did has left.
	It("is refused where only the version of an earlier request of its session keeps its prompt", func() {
		engines := newEngines("v1", "v2")
		engines[1].keeps = []string{"p1"}
		first := newGate("entry-1")
		second := newGate("entry-2", first.Status().Address)
		for _, each := range []*gate{first, second} {
			each.configure(1, modelConfig(), 4, engines[0])
			Eventually(func() int { return len(each.Status().Peers) }, 5*time.Second).Should(Equal(1))
		}
		time.Sleep(settled)
		begin := call{path: "/resumed/", id: "began", header: map[string]string{"X-Own": "p1"}}
		Expect(begin.do(first).status).To(Equal(http.StatusOK))
		newer := yuccaroster.Entry{Target: "e1", Pool: "desk", Address: engines[1].listener.Addr().String(), Centre: "odessa", Slots: 4, Revision: 8, Version: "v2"}
		for _, each := range []*gate{first, second} {
			each.OfferTargets([]yuccaroster.Entry{newer}, []yuccaroster.Removal{{Target: "e0", Revision: 9}}, false, 9, true)
		}
		time.Sleep(settled)
		for _, each := range []*gate{first, second} {
			Expect(takeUp.do(each).status).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(engines[1].requests()).To(BeEmpty())
	})

	// Guards against the failure that a stream goes on in the pool to which its route has moved since it began, because a daemon that
	// has restarted knows no former route and another one knows a single version of the new pool.
	DescribeTable("where another daemon knows the only version of the route's pool",
		func(moved bool, status int) {
			eng := newEngines("v1")[0]
			before, after := config(), config()
			if moved {
				before.Pools = append(before.Pools, yuccaroute.Pool{Name: "hall"})
				after.Pools = before.Pools
				for index := range before.Routes {
					before.Routes[index].Pools = []yuccaroute.PoolWeight{{Pool: "hall", Weight: 1}}
				}
			}
			witness := newGateOf(listen(), "odessa", "entry-1", nil)
			witness.configure(1, before, 4, eng)
			witness.configure(2, after, 4, eng)
			gt := newGateOf(listen(), "odessa", "entry-2", restarted, witness.Status().Address)
			gt.configure(2, after, 4, eng)
			Eventually(func() int { return len(gt.Status().Peers) }, 5*time.Second).Should(Equal(1))
			time.Sleep(settled)
			Expect(takeUp.do(gt).status).To(Equal(status))
		},
		Entry("is refused if the route led to another pool", true, http.StatusServiceUnavailable),
		Entry("goes on if the route led to no other", false, http.StatusOK),
	)
})
