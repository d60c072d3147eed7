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

// failure is how a target fails.
type failure struct {
	name   string
	answer http.HandlerFunc
}

var _ = Describe("a request whose target fails", func() {
	failing := []failure{
		{"rejects it", status(http.StatusServiceUnavailable, "X-Not-Run", "1")},
		{"hangs up", hangUp},
		{"answers with its own failure", status(http.StatusInternalServerError, "X-Signature", "bad")},
		{"answers another request", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("X-Id", "somebody else's")
			fmt.Fprint(w, "foreign")
		}},
	}

	// One of two targets fails all that it gets. A lookup may run twice; a ticket that may
	// have been filed must not be filed again, and its caller has to be told which it is.
	DescribeTable("is sent once more only where that does no harm",
		func(path string, fail int, statuses []int, mostRuns int) {
			bad := newEngine("bad", failing[fail].answer)
			good := newEngine("good", func(w http.ResponseWriter, _ *http.Request) {
				time.Sleep(20 * time.Millisecond)
				fmt.Fprint(w, "good")
			})
			gt := newGate("entry-1")
			gt.know(1, config(), 1, bad, good)
			// Three at once reach both targets, whichever is preferred.
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
				for _, one := range eng.requests() {
					runs[one.id]++
				}
			}
			for id, count := range runs {
				Expect(count).To(BeNumerically("<=", mostRuns), id)
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

	It("is told that it didn't run when every target rejects it", func() {
		bad := newEngine("bad", failing[0].answer)
		worse := newEngine("worse", failing[0].answer)
		gt := newGate("entry-1")
		gt.know(1, config(), 1, bad, worse)
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	It("gets the last failure as the target gave it when attempts are used up", func() {
		one := newEngine("one", failing[2].answer)
		two := newEngine("two", failing[2].answer)
		gt := newGate("entry-1")
		gt.know(1, config(), 1, one, two)
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.header.Get("X-Signature")).To(Equal("bad"))
		Expect(len(one.requests()) + len(two.requests())).To(Equal(2))
	})

	// A target takes the request and never answers.
	It("is answered at its route's time, and says that it may have run", func() {
		eng := newEngine("a", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
		gt := newGate("entry-1")
		gt.know(1, config(), 1, eng)
		began := time.Now()
		got := call{path: "/ticket/", header: map[string]string{"X-Remaining": "300"}}.do(gt)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(time.Since(began)).To(BeNumerically("~", 300*time.Millisecond, 200*time.Millisecond))
		Eventually(eng.running.Load).Should(BeZero())
	})

	It("is told at once that there is no target", func() {
		gt := newGate("entry-1")
		gt.know(1, config(), 1)
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})

var _ = Describe("a request that ran and failed", func() {
	// A lookup fails at its target, another one is looked for, and there is none any more. Its
	// caller must not hear that it didn't run: what it changed at the target is changed.
	It("is answered with the failure, not with a promise that it never ran", func() {
		var gt *gate
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			gt.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 9}}, false, 9, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(BeZero())
			status(http.StatusInternalServerError)(w, r)
		})
		gt = newGate("entry-1")
		gt.know(1, config(), 4, eng)
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body).To(Equal("status 500"))
	})

	It("is answered with what promises nothing if no answer came", func() {
		var gt *gate
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			gt.OfferTargets(nil, []yuccaroster.Removal{{Target: "a", Revision: 9}}, false, 9, true)
			Eventually(func() int { return len(gt.Status().Targets) }).Should(BeZero())
			hangUp(w, r)
		})
		gt = newGate("entry-1")
		gt.know(1, config(), 4, eng)
		Expect(call{path: "/lookup/"}.do(gt).status).To(Equal(http.StatusBadGateway))
	})
})

var _ = Describe("a target that shows nothing", func() {
	// A target takes a request and falls silent: its answer was lost, or it hangs. Callers who
	// may be served by another target would wait in vain until their time is up.
	silent := func(gt **gate, quick, slow string) (first, second *engine) {
		var calls atomic.Int64
		hang := func(w http.ResponseWriter, r *http.Request) bool {
			if calls.Add(1) > 1 {
				return false
			}
			<-r.Context().Done()
			return true
		}
		answer := func(w http.ResponseWriter, r *http.Request) {
			if !hang(w, r) {
				fmt.Fprint(w, "whole")
			}
		}
		first, second = newEngine(quick, answer), newEngine(slow, answer)
		*gt = newGate("entry-1")
		(*gt).know(1, config(), 4, first, second)
		return first, second
	}

	It("loses no request that may be repeated", func() {
		var gt *gate
		first, second := silent(&gt, "a", "b")
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("whole"))
		Expect(append(first.requests(), second.requests()...)).To(HaveLen(2))
	})

	It("keeps one that may run once", func() {
		var gt *gate
		first, second := silent(&gt, "a", "b")
		got := call{path: "/ticket/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusGatewayTimeout))
		Expect(append(first.requests(), second.requests()...)).To(HaveLen(1))
	})

	It("is left in the middle of a stream that may be resumed", func() {
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
		gt.know(1, config(), 4, newEngine("a", events), newEngine("b", events))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	})
})
