package yuccagate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// writeEvents writes the events whose ids run from the parameter from to the parameter to, both
// included, with a gap after each event.
func writeEvents(w http.ResponseWriter, from, to int, gap time.Duration) {
	for at := from; at <= to; at++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", at, at)
		http.NewResponseController(w).Flush()
		time.Sleep(gap)
	}
}

// streamEvents returns a target's handler that responds with a stream of the events that
// writeEvents writes.
func streamEvents(from, to int, gap time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		writeEvents(w, from, to, gap)
	}
}

var _ = Describe("a stream", func() {
	It("is forwarded event by event as they arrive", func() {
		eng := newEngine("a", streamEvents(1, 5, 40*time.Millisecond))
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		resp, err := http.DefaultTransport.RoundTrip(call{path: "/note/"}.request(gt))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		in := bufio.NewReader(resp.Body)
		var gaps []time.Duration
		last := time.Now()
		for at := 1; at <= 5; at++ {
			line, err := in.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
			Expect(line).To(Equal(fmt.Sprintf("id: %d\n", at)))
			in.ReadString('\n')
			in.ReadString('\n')
			gaps = append(gaps, time.Since(last))
			last = time.Now()
		}
		_, err = in.ReadByte()
		Expect(err).To(Equal(io.EOF))
		Expect(gaps[4]).To(BeNumerically(">", 15*time.Millisecond))
	})

	// A target's response breaks off in the middle of an event. If the caller's response ended
	// without an error, the caller would take half a note for a complete one.
	It("never looks whole when it broke off", func() {
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvents(w, 1, 2, 0)
			fmt.Fprint(w, "id: 3\ndata: half of")
			http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		got := call{path: "/note/"}.do(gt)
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).NotTo(ContainSubstring("half"))
	})

	// A target crashes in the middle of an event. Another target can continue after the last
	// complete event, and the caller has to get one stream with no event missing or repeated.
	DescribeTable("goes on at another target where its route allows it",
		func(path string, resumed bool) {
			serve := func(name string) http.HandlerFunc {
				return func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Content-Type", "text/event-stream")
					w.Header().Set("X-Signature", name)
					if from := r.Header.Get("Last-Event-Id"); from != "" {
						// The resuming target starts one event too early.
						writeEvents(w, 2, 5, 0)
						return
					}
					writeEvents(w, 1, 2, 0)
					fmt.Fprint(w, "id: 3\ndata: half of")
					http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			}
			one, two := newEngine("one", serve("one")), newEngine("two", serve("two"))
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, one, two)
			got := call{path: path}.do(gt)
			Expect(got.err == nil).To(Equal(resumed), "%v", got.err)
			if !resumed {
				Expect(len(one.requests()) + len(two.requests())).To(Equal(1))
				return
			}
			Expect(regexp.MustCompile(`id: \d`).FindAllString(got.body, -1)).To(Equal([]string{"id: 1", "id: 2", "id: 3", "id: 4", "id: 5"}))
			Expect(got.body).NotTo(ContainSubstring("half"))
			first := one
			if len(one.requests()) > 0 && one.requests()[0].header.Get("Last-Event-Id") != "" {
				first = two
			}
			Expect(got.header.Get("X-Signature")).To(Equal(first.name))
		},
		Entry("a stream that may be resumed", "/resumed/", true),
		Entry("one that may not", "/note/", false),
	)

	It("isn't resumed more often than its attempts allow", func() {
		breaking := func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			writeEvents(w, 1, 1, 0)
			panic(http.ErrAbortHandler)
		}
		var all []*engine
		for at := range 4 {
			all = append(all, newEngine(fmt.Sprint("e", at), breaking))
		}
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, all...)
		Expect(call{path: "/resumed/"}.do(gt).err).To(HaveOccurred())
		runs := 0
		for _, eng := range all {
			runs += len(eng.requests())
		}
		Expect(runs).To(Equal(2))
	})

	// A caller closes its connection in the middle of a stream. If the request weren't cancelled at
	// the target, the target would go on generating events that no caller reads.
	It("ends at the target when its caller leaves", func() {
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for at := 1; r.Context().Err() == nil; at++ {
				writeEvents(w, at, at, 10*time.Millisecond)
			}
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		ctx, leave := context.WithCancel(context.Background())
		resp, err := http.DefaultTransport.RoundTrip(call{path: "/note/"}.request(gt).WithContext(ctx))
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Read(make([]byte, 10))
		leave()
		Eventually(eng.running.Load).Should(BeZero())
		Eventually(gt.busy).Should(BeZero())
	})
})
