package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
)

// failure is a way in which a target fails. The function answer is what such a target does with a
// request.
type failure struct {
	name   string
	answer http.HandlerFunc
}

var _ = Describe("a request whose target fails", func() {
	failing := []failure{
		{"rejects it", status(http.StatusServiceUnavailable, "X-Not-Run", "1")},
		{"hangs up", closeWithoutResponse},
		{"answers with its own failure", status(http.StatusInternalServerError, "X-Signature", "bad")},
		{"answers another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Id", "somebody else's")
			fmt.Fprint(w, "foreign")
		}},
	}

	// One of two targets fails every request that it gets. A request of the route lookup may run
	// twice. A request of the route ticket may run only once. So if a ticket request may have run
	// on the failing target, it must not be sent again, and the status of the response has to tell
	// the caller that the request may have run.
	DescribeTable("is sent once more only where that does no harm",
		func(path string, failureIndex int, statuses []int, maxRuns int) {
			bad := newEngine("bad", failing[failureIndex].answer)
			good := newEngine("good", func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(w, "good")
			})
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, bad, good)
			// Each target has one slot. Three requests are sent at once, so that both targets get
			// requests, whichever target the gateway prefers.
			for turn := range 3 {
				var group sync.WaitGroup
				for caller := range 3 {
					group.Go(func() {
						defer GinkgoRecover()
						id := fmt.Sprintf("r%d-%d", turn, caller)
						got := call{path: path, id: id, header: map[string]string{"X-Remaining": "400"}}.do(gt)
						Expect(statuses).To(ContainElement(got.status), got.body)
						Expect(got.body).NotTo(ContainSubstring("foreign"))
						if got.status != http.StatusOK && got.status != http.StatusInternalServerError {
							Expect(got.header).NotTo(HaveKey("X-Signature"))
						}
					})
				}
				group.Wait()
			}
			runs := make(map[string]int)
			for _, eng := range []*engine{bad, good} {
				for _, req := range eng.requests() {
					runs[req.id]++
				}
			}
			for id, count := range runs {
				Expect(count).To(BeNumerically("<=", maxRuns), id)
			}
			Expect(bad.requests()).NotTo(BeEmpty())
		},
		Entry("a lookup that is rejected", "/lookup/", 0, []int{200}, 2),
		Entry("a ticket that is rejected", "/ticket/", 0, []int{200}, 2),
		Entry("a lookup that is lost", "/lookup/", 1, []int{200}, 2),
		Entry("a ticket that is lost", "/ticket/", 1, []int{200, 502}, 1),
		Entry("a lookup that fails", "/lookup/", 2, []int{200}, 2),
		Entry("a ticket that fails", "/ticket/", 2, []int{200, 500}, 1),
		Entry("a lookup with a foreign answer", "/lookup/", 3, []int{200, 504}, 2),
		Entry("a ticket with a foreign answer", "/ticket/", 3, []int{200, 504}, 1),
	)

	It("gets a 503 when every target rejects it", func() {
		first := newEngine("bad", failing[0].answer)
		second := newEngine("worse", failing[0].answer)
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, first, second)
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("gets the last failure as the target gave it when attempts are used up", func() {
		first := newEngine("one", failing[2].answer)
		second := newEngine("two", failing[2].answer)
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, first, second)
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.header.Get("X-Signature")).To(Equal("bad"))
		Expect(len(first.requests()) + len(second.requests())).To(Equal(2))
	})

	// A target accepts a request and never responds. The request must not be sent again, because
	// its route allows only one run, so its caller gets a response only at the deadline.
	It("gets a response at its deadline that says that it may have run", func() {
		eng := newEngine("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		start := time.Now()
		got := call{path: "/ticket/", header: map[string]string{"X-Remaining": "300"}}.do(gt)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(start)).To(BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
		Eventually(eng.running.Load).Should(BeZero())
	})

	It("is refused at once if there is no target", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 1)
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})

var _ = Describe("a request that ran and failed", func() {
	// A request of the route lookup fails on its target, and no other target is left. The caller
	// must not be told that the request didn't run, because whatever the request changed on the
	// target stays changed.
	It("gets the failure, not a promise that it never ran", func() {
		var gt *gate
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			gt.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 9}}, false, 9, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(BeZero())
			status(http.StatusInternalServerError)(w, r)
		})
		gt = newGate("entry-1")
		gt.configure(1, config(), 4, eng)
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(Equal("status 500"))
	})

	It("gets a status that doesn't promise that it never ran if no response came", func() {
		var gt *gate
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			gt.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 9}}, false, 9, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(BeZero())
			closeWithoutResponse(w, r)
		})
		gt = newGate("entry-1")
		gt.configure(1, config(), 4, eng)
		Expect(call{path: "/lookup/"}.do(gt).status).To(Equal(http.StatusBadGateway))
	})
})

var _ = Describe("a target's status that promises what the target doesn't state", func() {
	promises := []int{http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest}

	// Guards against the failure that a caller is told that a request hasn't run which its target has run and failed, and
	// sends it once more.
	DescribeTable("isn't passed on",
		func(path string, runs int) {
			for _, promise := range promises {
				eng, other := newEngine("a", status(promise, "X-Signature", "bad")), newEngine("b", status(promise, "X-Signature", "bad"))
				gt := newGate("entry-1")
				gt.configure(1, config(), 4, eng, other)
				got := call{path: path}.do(gt)
				Expect(got.status).To(Equal(http.StatusBadGateway), "for %d", promise)
				Expect(got.header).NotTo(HaveKey("X-Signature"))
				Expect(len(eng.requests())+len(other.requests())).To(Equal(runs), "for %d", promise)
			}
		},
		Entry("for a request that may run once", "/ticket/", 1),
		Entry("for a request that may be repeated", "/lookup/", 2),
		Entry("for a stream", "/note/", 1),
		Entry("for a stream that may be resumed", "/resumed/", 2),
	)

	It("has a request that may be repeated served by another target", func() {
		for _, promise := range promises {
			bad := newEngine("bad", status(promise))
			good := newEngine("good", func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(w, "good")
			})
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, bad, good)
			var group sync.WaitGroup
			for caller := range 3 {
				group.Go(func() {
					defer GinkgoRecover()
					Expect(call{path: "/lookup/", id: fmt.Sprint("r", caller)}.do(gt).status).To(Equal(http.StatusOK), "for %d", promise)
				})
			}
			group.Wait()
			Expect(bad.requests()).NotTo(BeEmpty())
		}
	})

	It("doesn't take the place of a failure that can be passed on", func() {
		eng, worse := newEngine("a", status(http.StatusInternalServerError)), newEngine("b", status(http.StatusServiceUnavailable))
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng, worse)
		for range 4 {
			got := call{path: "/lookup/"}.do(gt)
			Expect(got.status).To(Equal(http.StatusInternalServerError))
		}
		Expect(worse.requests()).NotTo(BeEmpty())
	})
})

var _ = Describe("a target that sends nothing", func() {
	// A target accepts a request and sends nothing, because the response was lost or because the
	// target hangs. Without a second attempt, the caller would wait until its deadline although
	// another target could serve the request.
	//
	// startWithSilentTarget starts a gateway with two targets. Whichever target gets the first
	// request sends nothing in response to it; all later requests are answered.
	startWithSilentTarget := func(gt **gate, firstName, secondName string) (first, second *engine) {
		var calls atomic.Int64
		hangOnFirstCall := func(w http.ResponseWriter, r *http.Request) bool {
			if calls.Add(1) > 1 {
				return false
			}
			<-r.Context().Done()
			return true
		}
		answer := func(w http.ResponseWriter, r *http.Request) {
			if !hangOnFirstCall(w, r) {
				fmt.Fprint(w, "whole")
			}
		}
		first, second = newEngine(firstName, answer), newEngine(secondName, answer)
		*gt = newGate("entry-1")
		(*gt).configure(1, config(), 4, first, second)
		return first, second
	}

	It("loses no request that may be repeated", func() {
		var gt *gate
		first, second := startWithSilentTarget(&gt, "a", "b")
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("whole"))
		Expect(append(first.requests(), second.requests()...)).To(HaveLen(2))
	})

	It("keeps a request that may run only once", func() {
		var gt *gate
		first, second := startWithSilentTarget(&gt, "a", "b")
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(append(first.requests(), second.requests()...)).To(HaveLen(1))
	})

	It("has its stream continued by another target if that may be resumed", func() {
		var calls atomic.Int64
		events := func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			if calls.Add(1) == 1 {
				fmt.Fprint(w, "id: 1\ndata: a\n\n")
				w.(http.Flusher).Flush()
				<-r.Context().Done()
				return
			}
			Expect(r.Header.Get("Last-Event-Id")).To(Equal("1"))
			fmt.Fprint(w, "id: 2\ndata: b\n\n")
		}
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, newEngine("a", events), newEngine("b", events))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	})
})
