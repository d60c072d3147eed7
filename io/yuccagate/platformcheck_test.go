package yuccagate_test

import (
	"errors"
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccagate"
)

// Guards against the failure that a stream goes on at the only version that a daemon knows, which nobody answers, although another
// one has come.
var _ = Describe("a stream that nobody remembers, at a daemon that nobody answers", func() {
	var gt *gate
	var eng *engine
	takeUp := func() response {
		return call{path: "/resumed/", id: "again", header: map[string]string{"X-Resumes": "began-elsewhere", "Last-Event-Id": "2"}}.do(gt)
	}
	BeforeEach(func() {
		eng = newEngine("e0", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvents(w, 3, 5, 0)
		})
		eng.version = "v1"
		gt = newGate("entry-1")
		gt.configure(1, config(), 4, eng)
	})
	came := yuccaroster.Entry{Target: "e1", Pool: "desk", Address: "127.0.0.1:1", Centre: "odessa", Slots: 4, Revision: 8, Version: "v2"}

	It("goes on at the only version if the platform has no other", func() {
		Expect(takeUp().status).To(Equal(http.StatusOK))
		Expect(gt.platform.count()).To(Equal(1))
	})

	It("is refused if the platform doesn't answer", func() {
		gt.platform.set(yuccagate.TargetChanges{}, errors.New("silent"))
		got := takeUp()
		Expect(got.status).To(Equal(http.StatusServiceUnavailable))
		Expect(got.body).To(ContainSubstring("unresumable"))
	})

	It("is refused if another version has come", func() {
		gt.platform.set(yuccagate.TargetChanges{Entries: []yuccaroster.Entry{came}, At: 8}, nil)
		Expect(takeUp().status).To(Equal(http.StatusServiceUnavailable))
	})

	It("is refused if another version has come and left", func() {
		gone := yuccaroster.Removal{Target: "e1", Revision: 9}
		gt.platform.set(yuccagate.TargetChanges{Entries: []yuccaroster.Entry{came}, Removals: []yuccaroster.Removal{gone}, At: 9}, nil)
		Expect(takeUp().status).To(Equal(http.StatusServiceUnavailable))
	})
})
