package yuccagate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroute"
)

// longestEvent is the length up to which events are forwarded.
const longestEvent = 256 << 10

// endlessTarget writes a text again and again, until its connection is closed.
type endlessTarget struct {
	// head is what the response begins with, after the status line and the fields that all have.
	head, text string
	// closed counts the connections that the daemon has closed.
	closed atomic.Int32
}

// ServeHTTP responds without end.
func (tgt *endlessTarget) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	fmt.Fprint(conn, tgt.head)
	piece := strings.Repeat(tgt.text, max(64<<10/len(tgt.text), 1))
	for err == nil {
		_, err = io.WriteString(conn, piece)
	}
	tgt.closed.Add(1)
}

// eventsHead is the end of a stream's head.
const eventsHead = "Content-Type: text/event-stream\r\n\r\n"

// longConfig returns the usual configuration with more time for each request, so that a response which
// ends before that time was not ended by it.
func longConfig() yuccaroute.Config {
	long := config()
	for index := range long.Routes {
		long.Routes[index].Timeout = 20 * time.Second
	}
	return long
}

// oneEvent returns a target's handler that responds with an event of the given length.
func oneEvent(length int) http.HandlerFunc {
	return framed("length", "id: 1\ndata: "+strings.Repeat("x", length-len("id: 1\ndata: \n\n"))+"\n\n")
}

var _ = Describe("a stream whose target sends bytes without end", func() {
	// Guards against the failure that an answer which never ends holds its request until the deadline, or
	// looks whole to the caller.
	DescribeTable("is told as failed, and its target's connection is closed",
		func(begin, text string, status int) {
			tgt := &endlessTarget{head: eventsHead + begin, text: text}
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", tgt.ServeHTTP))
			start := time.Now()
			got := call{path: "/note/"}.do(gt)
			Expect(got.status).To(Equal(status))
			Expect(got.err != nil).To(Equal(status == http.StatusOK), "%v", got.err)
			Expect(time.Since(start)).To(BeNumerically("<", 10*time.Second))
			Eventually(tgt.closed.Load, 5*time.Second).Should(Equal(int32(1)))
			Expect(gt.lines.all()).To(ContainSubstring("mend the target"))
		},
		Entry("one line", "data: ", "x", http.StatusBadGateway),
		Entry("lines of one event", "", "data: x\n", http.StatusBadGateway),
		Entry("lines that end with a carriage return", "", "data: x\r", http.StatusBadGateway),
		Entry("comments without an empty line", "", ":\n", http.StatusBadGateway),
		Entry("comments with empty lines", "", ": busy\n\n", http.StatusOK),
		Entry("empty lines", "", "\n", http.StatusOK),
		Entry("one line after an event", "id: 1\ndata: one\n\n", "x", http.StatusOK),
		Entry("comments after an event", "id: 1\ndata: one\n\n", ":\n", http.StatusOK),
	)

	// Guards against the failure that the bound on events refuses events within it, or none beyond it.
	DescribeTable("is forwarded if its event is within the bound",
		func(length, status int) {
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", oneEvent(length)))
			got := call{path: "/note/"}.do(gt)
			Expect(got.status).To(Equal(status))
			if status == http.StatusOK {
				Expect(got.err).NotTo(HaveOccurred())
				Expect(got.body).To(HaveLen(length))
			}
		},
		Entry("just within", longestEvent, http.StatusOK),
		Entry("just beyond", longestEvent+1, http.StatusBadGateway),
	)

	// Guards against the failure that long events take more memory than the daemon has, because none of it
	// counts as memory of requests.
	It("is told as failed if its event finds no room in the memory for requests", func() {
		gt := newGateWithLimits(600<<10, 0)
		gt.configure(1, longConfig(), 1, newEngine("a", oneEvent(200<<10)))
		got := call{path: "/note/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusBadGateway))
		Expect(gt.lines.all()).To(ContainSubstring("finds no room"))
		Expect(gt.Status().ReservedBytes).To(BeZero())
	})

	// Guards against the failure that a stream is lost because of one target that doesn't end an event.
	It("goes on at another target if it may be resumed", func() {
		endless := &endlessTarget{head: eventsHead + twoEvents + "id: 3\ndata: ", text: "x"}
		answer := func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Last-Event-Id") == "2" {
				framed("close", strings.TrimPrefix(threeEvents, twoEvents))(w, r)
				return
			}
			endless.ServeHTTP(w, r)
		}
		gt := newGate("entry-1")
		gt.configure(1, longConfig(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(threeEvents))
		Eventually(endless.closed.Load, 5*time.Second).Should(Equal(int32(1)))
	})
})
