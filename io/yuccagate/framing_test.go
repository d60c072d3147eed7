package yuccagate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	twoEvents   = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n"
	threeEvents = twoEvents + "id: 3\ndata: three\n\n"
	// halfEvent is the part of the third event that arrives before its target breaks off.
	halfEvent = "id: 3\ndata: thr"
)

// framed returns a target's handler that responds with the text as a stream of events. The framing
// states the end of the stream as yuccahop.Framing's names say.
func framed(framing, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n")
		w.Header().Write(conn)
		switch framing {
		case "length":
			fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n%s", len(text), text)
		case "chunks":
			fmt.Fprint(conn, "Transfer-Encoding: chunked\r\n\r\n")
			if text != "" {
				fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
			}
			fmt.Fprint(conn, "0\r\n\r\n")
		default:
			fmt.Fprint(conn, "\r\n"+text)
		}
	}
}

// breakAfterTwo returns a target's handler that responds with two events and a half. If it is asked to
// continue after the second event, it responds with the rest.
func breakAfterTwo(framing, rest string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Last-Event-Id") == "2" {
			framed(framing, rest)(w, r)
			return
		}
		framed(framing, twoEvents+halfEvent)(w, r)
	}
}

var _ = Describe("a stream whose target closes the connection", func() {
	// Guards against the failure that a stream which its target broke off reaches the caller as complete.
	DescribeTable("is complete if it ends after an event",
		func(framing, text string, complete bool) {
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, newEngine("a", framed(framing, text)))
			got := call{path: "/note/"}.do(gt)
			Expect(got.err == nil).To(Equal(complete), "%v", got.err)
			Expect(got.status).To(Equal(http.StatusOK))
			if complete {
				Expect(got.body).To(Equal(text))
				return
			}
			Expect(text).To(HavePrefix(got.body))
			Expect(got.body).To(Or(HaveSuffix("\n\n"), HaveSuffix("\r\r")))
		},
		Entry("an event, by close", "close", twoEvents, true),
		Entry("an event, by a length", "length", twoEvents, true),
		Entry("an event, by chunks", "chunks", twoEvents, true),
		Entry("an empty line more", "close", twoEvents+"\n", true),
		Entry("a comment that no event follows", "close", twoEvents+": bye\n", true),
		Entry("lines that end as on Windows", "close", strings.ReplaceAll(twoEvents, "\n", "\r\n"), true),
		Entry("lines that end with a carriage return", "close", strings.ReplaceAll(twoEvents, "\n", "\r"), true),
		Entry("half an event after such lines", "close", strings.ReplaceAll(twoEvents+halfEvent, "\n", "\r"), false),
		Entry("half an event, by close", "close", twoEvents+halfEvent, false),
		Entry("half an event, by a length", "length", twoEvents+halfEvent, false),
		Entry("half an event, by chunks", "chunks", twoEvents+halfEvent, false),
		Entry("an event that lacks its empty line", "close", twoEvents+"id: 3\ndata: three\n", false),
		Entry("a comment and half an event", "close", twoEvents+": busy\n"+halfEvent, false),
		Entry("half a comment", "close", twoEvents+": bu", false),
	)

	// Guards against the failure that a stream which may be resumed isn't, because its end was taken for complete.
	It("goes on at another target if it ends inside an event and may be resumed", func() {
		answer := breakAfterTwo("close", strings.TrimPrefix(threeEvents, twoEvents))
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(threeEvents))
	})

	// Guards against the failure that events reach the caller only at the end of the stream, because
	// their lines end with a carriage return alone.
	It("is forwarded event by event whatever its lines end with", func() {
		first, second := "id: 1\rdata: one\r\r", "id: 2\rdata: two\r\r"
		received := make(chan struct{})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, first)
			http.NewResponseController(w).Flush()
			<-received
			fmt.Fprint(w, second)
		}))
		resp, err := http.DefaultTransport.RoundTrip(call{path: "/note/"}.request(gt))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		begin := make([]byte, len(first))
		_, err = io.ReadFull(resp.Body, begin)
		close(received)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(begin)).To(Equal(first))
		Expect(io.ReadAll(resp.Body)).To(Equal([]byte(second)))
	})

	// Guards against the failure that a target which crashes before its first event gives an empty success.
	DescribeTable("gives a failure if it has no event, unless the target says that this is all",
		func(framing, lastEventID string, status int) {
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, newEngine("a", framed(framing, "")))
			got := call{path: "/note/", header: map[string]string{"Last-Event-Id": lastEventID}}.do(gt)
			Expect(got.status).To(Equal(status))
		},
		Entry("its end isn't stated", "close", "", http.StatusBadGateway),
		Entry("its end is stated by a length", "length", "", http.StatusOK),
		Entry("its end is stated by chunks", "chunks", "", http.StatusOK),
		Entry("nothing is left after the caller's last event", "close", "7", http.StatusOK),
	)

	// Guards against the failure that a resumed stream is cut off at the length that its first target had
	// stated for its own response.
	It("isn't bound to the length that a broken target stated", func() {
		const third = "id: 3\ndata: a longer third event\n\n"
		answer := breakAfterTwo("length", third)
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(twoEvents + third))
	})

	// Guards against the failure that a caller gets events twice, because a target that continues a
	// stream isn't told where.
	It("isn't resumed if its events have no ids", func() {
		text := "data: one\n\ndata: two\n\n"
		answer := framed("close", text+"data: th")
		first, second := newEngine("a", answer), newEngine("b", answer)
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, first, second)
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).To(HaveOccurred())
		Expect(got.body).To(Equal(text))
		Expect(len(first.requests()) + len(second.requests())).To(Equal(1))
	})

	It("is resumed if its target has sent no more than a comment", func() {
		var requests atomic.Int32
		answer := func(w http.ResponseWriter, r *http.Request) {
			if requests.Add(1) == 1 {
				framed("close", ": reading\n\nid: 1")(w, r)
				return
			}
			framed("close", twoEvents)(w, r)
		}
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/resumed/"}.do(gt)
		Expect(got.err).NotTo(HaveOccurred())
		Expect(got.body).To(Equal(": reading\n\n" + twoEvents))
	})

	It("gives a failure if it ends inside its first event", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", framed("close", halfEvent)))
		Expect(call{path: "/note/"}.do(gt).status).To(Equal(http.StatusBadGateway))
	})
})

// askHTTP10 sends a request of HTTP/1.0, whose response can't come in chunks.
func askHTTP10(gt *gate, path string) net.Conn {
	conn, err := net.Dial("tcp", gt.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	fmt.Fprintf(conn, "POST %s HTTP/1.0\r\nHost: desk.example\r\nX-Id: r1\r\nX-Key: k1\r\nContent-Length: 0\r\n\r\n", path)
	return conn
}

var _ = Describe("a caller of HTTP/1.0", func() {
	// Guards against the failure that a truncated response looks complete to a caller that knows no
	// chunks, because its connection ends in the same way as after a complete one.
	DescribeTable("gets a reset if the response is truncated",
		func(path string, answer http.HandlerFunc, complete bool) {
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, newEngine("a", answer))
			raw, err := io.ReadAll(askHTTP10(gt, path))
			if complete {
				Expect(err).NotTo(HaveOccurred())
				Expect(string(raw)).To(HaveSuffix("\r\n\r\n" + twoEvents))
				return
			}
			Expect(err).To(MatchError(syscall.ECONNRESET))
		},
		Entry("a stream", "/note/", framed("chunks", twoEvents), true),
		Entry("a stream that ends inside an event", "/note/", framed("close", twoEvents+halfEvent), false),
		Entry("a plain response", "/ticket/", framed("chunks", twoEvents), true),
		Entry("a plain response that breaks off", "/ticket/", truncatedChunks, false),
	)

	It("gets a reset if the daemon ends before the response does", func() {
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			fmt.Fprint(w, twoEvents)
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		}))
		in := bufio.NewReader(askHTTP10(gt, "/note/"))
		for line := ""; line != "data: two\n"; {
			var err error
			line, err = in.ReadString('\n')
			Expect(err).NotTo(HaveOccurred())
		}
		gt.crash()
		_, err := io.ReadAll(in)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})
})

// truncatedChunks responds with chunks, more of them than the gateway holds back, and closes the
// connection without the last one.
func truncatedChunks(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprint(w, strings.Repeat("half", 64<<10))
	http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

// breakOnce returns a handler that breaks its first response off and completes all later ones, with the
// given body.
func breakOnce(body string, finish func(net.Conn)) http.HandlerFunc {
	var calls atomic.Int32
	return func(w http.ResponseWriter, _ *http.Request) {
		if calls.Add(1) > 1 {
			fmt.Fprint(w, body)
			return
		}
		w.Header().Set("Transfer-Encoding", "identity")
		fmt.Fprint(w, body[:len(body)-1])
		http.NewResponseController(w).Flush()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
		finish(conn)
	}
}

// resetConn ends a connection with a reset.
func resetConn(conn net.Conn) {
	conn.(*net.TCPConn).SetLinger(0)
	conn.Close()
}

var _ = Describe("a plain response that its target breaks off", func() {
	const short, long = 800, 1 << 20

	// Guards against the failure that a caller gets a truncated response, although nothing of it had
	// been sent when it broke off and another target could have served the request.
	DescribeTable("is truncated for its caller only if a part of it was sent",
		func(path string, length, status, runs int, truncated bool) {
			body := strings.Repeat("x", length)
			answer := breakOnce(body, resetConn)
			first, second := newEngine("a", answer), newEngine("b", answer)
			gt := newGate("entry-1")
			gt.configure(1, config(), 1, first, second)
			got := call{path: path}.do(gt)
			Expect(got.status).To(Equal(status))
			Expect(got.err != nil).To(Equal(truncated))
			if status == http.StatusOK && !truncated {
				Expect(got.body).To(Equal(body))
			}
			Expect(len(first.requests()) + len(second.requests())).To(Equal(runs))
		},
		Entry("a short one that may be repeated", "/lookup/", short, http.StatusOK, 2, false),
		Entry("a short one that may run only once", "/ticket/", short, http.StatusBadGateway, 1, false),
		Entry("a long one", "/lookup/", long, http.StatusOK, 1, true),
	)

	It("is replaced in time if its target stops in the middle", func() {
		body := strings.Repeat("x", short)
		answer := breakOnce(body, func(conn net.Conn) { DeferCleanup(conn.Close) })
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal(body))
	})
})
