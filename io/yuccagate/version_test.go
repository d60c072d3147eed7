package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
)

// breakingOnce returns a handler that breaks the first stream off after its second event and continues
// later ones.
func breakingOnce(name string, broken *atomic.Bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("X-Signature", name)
		if r.Header.Get("Last-Event-Id") != "" {
			writeEvents(w, 3, 5, 0)
			return
		}
		writeEvents(w, 1, 2, 0)
		broken.Store(true)
		panic(http.ErrAbortHandler)
	}
}

// A stream is broken off by its target. All targets would continue it.
var _ = DescribeTable("a broken-off stream, where targets have versions",
	func(versions []yuccaid.Version, expectedRuns int) {
		var broken atomic.Bool
		var all []*engine
		for index, version := range versions {
			eng := newEngine(fmt.Sprint("e", index), breakingOnce(fmt.Sprint("e", index), &broken))
			eng.version = version
			all = append(all, eng)
		}
		gt := newGate("entry-1")
		gt.configure(1, config(), 4, all...)
		got := call{path: "/resumed/"}.do(gt)
		versionOf, runs := make(map[yuccaid.Version]bool), 0
		for _, eng := range all {
			if count := len(eng.requests()); count > 0 {
				versionOf[eng.version] = true
				runs += count
			}
		}
		Expect(broken.Load()).To(BeTrue())
		Expect(versionOf).To(HaveLen(1))
		Expect(runs).To(Equal(expectedRuns))
		Expect(got.err == nil).To(Equal(expectedRuns == 2))
	},
	Entry("goes on at another target of its version", []yuccaid.Version{"v1", "v2", "v1", "v2"}, 2),
	// Guards against the failure that a stream is lost although the only target of its version still serves.
	Entry("goes on at the same target if that is the only one of its version", []yuccaid.Version{"v1", "v2"}, 2),
	// Guards against the failure that a stream goes on at a target that may be of another version.
	Entry("doesn't go on where targets state neither version nor start", []yuccaid.Version{"", ""}, 1),
)
