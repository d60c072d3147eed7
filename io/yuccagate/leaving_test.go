package yuccagate_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// drainTime is the time of these tests' drains. It is shorter than the time for which a draining gateway
// still accepts requests.
const drainTime = time.Second

// drain drains the gateway for drainTime and returns the number of requests that it cut off.
func (gt *gate) drain() int64 {
	ctx, cancel := context.WithTimeout(context.Background(), drainTime)
	defer cancel()
	return gt.server.Drain(ctx)
}

// keptResponse is the response to a call on a connection that its caller keeps.
type keptResponse struct {
	response
	// closes reports whether the response says that the connection is closed after it.
	closes bool
}

// start sends the call in the background on a connection of its own. The channel receives its response.
func (cl call) start(gt *gate) <-chan keptResponse {
	got := make(chan keptResponse, 1)
	req := cl.request(gt)
	go func() {
		conn, err := net.Dial("tcp", gt.address)
		if err != nil {
			got <- keptResponse{response: response{err: err}}
			return
		}
		defer conn.Close()
		got <- keptRoundTrip(conn, req)
	}()
	return got
}

// keptRoundTrip sends the request on the connection and returns the whole response.
func keptRoundTrip(conn net.Conn, req *http.Request) keptResponse {
	if err := req.Write(conn); err != nil {
		return keptResponse{response: response{err: err}}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		return keptResponse{response: response{err: err}}
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return keptResponse{response{resp.StatusCode, resp.Header, string(raw), err}, resp.Close}
}

// longTime is a remaining time that outlasts the drain.
var longTime = map[string]string{"X-Remaining": "9000"}

var _ = Describe("a request that is open when the drain ends", func() {
	refusesUnrun := func(got keptResponse) {
		GinkgoHelper()
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.body).To(ContainSubstring("leaving"))
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
		Expect(got.closes).To(BeTrue())
	}
	refusesRun := func(got keptResponse) {
		GinkgoHelper()
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusBadGateway), got.body)
		Expect(got.closes).To(BeTrue())
	}

	// Guards against the failure that a request is cut off without a response while it waits for a slot or for a response's head.
	It("is refused if its response hasn't begun", func() {
		const slots, callers = 10, 200
		release := make(chan struct{})
		defer close(release)
		eng := newEngine("a", func(http.ResponseWriter, *http.Request) { <-release })
		gt := newGate("entry-1")
		gt.configure(1, config(), slots, eng)
		open := make(map[string]<-chan keptResponse)
		for number := range callers {
			id := fmt.Sprint("r", number)
			open[id] = call{path: "/ticket/", id: id, header: longTime}.start(gt)
		}
		Eventually(eng.running.Load).Should(BeNumerically(">=", slots))
		time.Sleep(200 * time.Millisecond)
		sent := make(map[string]bool)
		for _, req := range eng.requests() {
			sent[req.id] = true
		}
		Expect(gt.drain()).To(BeZero())
		for id, each := range open {
			if got := <-each; sent[id] {
				refusesRun(got)
			} else {
				refusesUnrun(got)
			}
		}
		Expect(eng.requests()).To(HaveLen(len(sent)))
	})

	// Guards against the failure that a request is cut off without a response while the pool's only target is unreachable.
	It("is refused if no target can be reached", func() {
		eng := newEngine("a", nil)
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		eng.http.Close()
		for number := range 3 {
			call{path: "/ticket/", id: fmt.Sprint("first", number), header: map[string]string{"X-Remaining": "100"}}.do(gt)
		}
		waiting := call{path: "/ticket/", id: "waiting", header: longTime}.start(gt)
		time.Sleep(50 * time.Millisecond)
		gt.drain()
		got := <-waiting
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.status).To(Equal(http.StatusServiceUnavailable), got.body)
		Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
	})

	// Guards against the failure that a stream is cut off without a response before its first event.
	It("is refused if its stream has a head but no event", func() {
		release := make(chan struct{})
		defer close(release)
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			w.(http.Flusher).Flush()
			<-release
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		sent := call{path: "/note/", header: longTime}.start(gt)
		Eventually(eng.running.Load).Should(Equal(int64(1)))
		gt.drain()
		refusesRun(<-sent)
	})

	// Guards against the failure that a response which has begun is cut off before the drain's end.
	It("goes on until the drain's end if its response has begun", func() {
		// The stream ends after requests are refused, and with time to spare before the drain's end.
		const events = 5
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			for number := range events {
				fmt.Fprintf(w, "id: %d\ndata: x\n\n", number)
				w.(http.Flusher).Flush()
				time.Sleep(drainTime * 3 / 4 / events)
			}
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		sent := call{path: "/note/", header: longTime}.start(gt)
		Eventually(eng.running.Load).Should(Equal(int64(1)))
		Expect(gt.drain()).To(BeZero())
		got := <-sent
		Expect(got.err).NotTo(HaveOccurred())
		Expect(strings.Count(got.body, "data: x")).To(Equal(events))
	})

	// Guards against the failure that a response is truncated because its request is ended just as the response begins.
	DescribeTable("gets its response or a refusal, whichever comes first",
		func(path string, answer func(http.ResponseWriter)) {
			const callers = 150
			var leavesAt time.Time
			drains := make(chan struct{})
			eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
				number := 0
				fmt.Sscan(r.Header.Get("X-Number"), &number)
				<-drains
				// The responses begin over a time that surrounds the moment at which requests are refused.
				time.Sleep(time.Until(leavesAt.Add(time.Duration(number-callers/2) * 200 * time.Microsecond)))
				answer(w)
			})
			gt := newGate("entry-1")
			gt.configure(1, config(), callers, eng)
			var open []<-chan keptResponse
			for number := range callers {
				header := map[string]string{"X-Remaining": "9000", "X-Number": fmt.Sprint(number)}
				open = append(open, call{path: path, id: fmt.Sprint("r", number), header: header}.start(gt))
			}
			Eventually(eng.running.Load).Should(Equal(int64(callers)))
			leavesAt = time.Now().Add(drainTime - 400*time.Millisecond)
			close(drains)
			gt.drain()
			statuses := make(map[int]int)
			for _, each := range open {
				got := <-each
				Expect(got.err).NotTo(HaveOccurred())
				statuses[got.status]++
			}
			Expect(statuses[http.StatusOK]+statuses[http.StatusBadGateway]).To(Equal(callers), fmt.Sprint(statuses))
		},
		Entry("short", "/ticket/", func(w http.ResponseWriter) { fmt.Fprint(w, "done") }),
		Entry("long", "/ticket/", func(w http.ResponseWriter) {
			for range 4 {
				io.WriteString(w, strings.Repeat("x", 20<<10))
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}),
		Entry("a stream", "/note/", func(w http.ResponseWriter) {
			w.Header().Set("Content-Type", "text/event-stream")
			for range 4 {
				fmt.Fprint(w, "data: x\n\n")
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}),
	)

	// Guards against the failure that a request is read whole in the drain's last moments and gets no response.
	It("gets a response if it is read whole at the last moment", func() {
		eng := newEngine("a", nil)
		gt := newGate("entry-1")
		gt.configure(1, config(), 8, eng)
		conn, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		fmt.Fprint(conn, "POST /ticket/ HTTP/1.1\r\nHost: desk.example\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 3\r\n\r\nab")
		drained := make(chan struct{})
		go func() {
			gt.drain()
			close(drained)
		}()
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = io.Copy(io.Discard, resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(resp.Close).To(BeTrue())
		Eventually(drained).Should(BeClosed())
		Expect(eng.requests()).To(BeEmpty())
	})
})

var _ = Describe("a connection at the drain's end", func() {
	// Guards against the failure that a caller sends a request on a connection that the gateway is about to close.
	It("is closed as soon as its response has ended", func() {
		began := make(chan struct{})
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, "data: x\n\n")
			w.(http.Flusher).Flush()
			close(began)
			time.Sleep(drainTime * 7 / 10)
			fmt.Fprint(w, "data: y\n\n")
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 8, eng)
		conn, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		unused, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		defer unused.Close()
		Expect(call{path: "/note/", header: longTime}.request(gt).Write(conn)).To(Succeed())
		<-began
		start := time.Now()
		go gt.drain()
		in := bufio.NewReader(conn)
		resp, err := http.ReadResponse(in, nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(ContainSubstring("data: y"))
		_, err = in.ReadByte()
		Expect(err).To(MatchError(io.EOF))
		Expect(time.Since(start)).To(BeNumerically("<", drainTime*9/10))
		_, err = unused.Read(make([]byte, 1))
		Expect(err).To(MatchError(io.EOF))
	})
})
