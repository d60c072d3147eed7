package yuccagate_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a stream whose target is silent", func() {
	// Guards against the failure that a stream runs on more targets than its route allows, because those that were to replace its silent one fail.
	It("runs on no more targets than its route allows", func() {
		answer := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") != "" {
				closeWithoutResponse(w, r)
			}
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "id: 1\ndata: a\n\n")
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
		engines := []*engine{newEngine("a", answer), newEngine("b", answer), newEngine("c", answer)}
		longer := config()
		for at := range longer.Routes {
			longer.Routes[at].Timeout = 5 * time.Second
		}
		gt := newGate("entry-1")
		gt.configure(1, longer, 4, engines...)
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).To(HaveOccurred())
		runs := 0
		for _, eng := range engines {
			runs += len(eng.requests())
		}
		Expect(runs).To(Equal(2))
	})
})
