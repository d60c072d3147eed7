package yuccagate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// newEarlyEngine starts a target that answers before it reads a request's body, without a length, and then resets the
// connection.
func newEarlyEngine(contentType, part string) *engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { listener.Close() })
	go func() {
		for conn, err := listener.Accept(); err == nil; conn, err = listener.Accept() {
			go answerEarly(conn.(*net.TCPConn), contentType, part)
		}
	}()
	return &engine{name: "a", version: "v1", listener: listener}
}

func answerEarly(conn *net.TCPConn, contentType, part string) {
	defer conn.Close()
	_ = conn.SetReadBuffer(64 << 10)
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A caller that doesn't read holds up the daemon, and the daemon the target.
	_ = conn.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: %s\r\nX-Id: %s\r\n\r\n%s", contentType, req.Header.Get("X-Id"), part)
	time.Sleep(20 * time.Millisecond)
	_ = conn.SetLinger(0)
}

var _ = Describe("a target that answers a long upload at once and resets the connection", func() {
	// Guards against the failure that the part of the answer that came before the reset reaches the caller as whole.
	DescribeTable("is never taken for one that has answered",
		func(path, contentType, part string) {
			gt := newGate("entry-1")
			long := longConfig()
			long.Limits.Body = 16 << 20
			gt.configure(1, long, 1, newEarlyEngine(contentType, part))
			for turn := range 12 {
				got := call{path: path, id: fmt.Sprint("r", turn), body: strings.Repeat("x", 12<<20)}.do(gt)
				Expect(got.err != nil || got.status >= http.StatusInternalServerError).To(BeTrue(), "turn %d: %d with %d bytes", turn, got.status, len(got.body))
			}
		},
		Entry("with a short part", "/ticket/", "text/plain", "a part"),
		Entry("with a long part", "/ticket/", "text/plain", strings.Repeat("p", 200<<10)),
		Entry("with whole events", "/note/", "text/event-stream", twoEvents),
	)

	// Guards against the same where the caller reads late, so that the daemon's upload notices the reset before its reader does.
	It("is never taken for one that has answered by a caller that reads late", func() {
		gt := newGate("entry-1")
		long := longConfig()
		long.Limits.Body = 16 << 20
		gt.configure(1, long, 1, newEarlyEngine("text/plain", strings.Repeat("p", 32<<20)))
		conn := dial(gt, requestHead("/ticket/", "late", 12<<20)+strings.Repeat("x", 12<<20))
		time.Sleep(600 * time.Millisecond)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		length, err := io.Copy(io.Discard, resp.Body)
		Expect(err).To(HaveOccurred(), "%d bytes", length)
	})

	// Guards against the failure that what isn't an answer in the protocol is passed on.
	DescribeTable("and one whose head is none in the protocol get the caller a 502",
		func(head string) {
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := w.(http.Hijacker).Hijack()
				if err != nil {
					return
				}
				defer conn.Close()
				fmt.Fprint(conn, head)
				_ = w.Header().Write(conn)
				fmt.Fprint(conn, "\r\nHTTP/1.1 200 OK\r\n")
				_ = w.Header().Write(conn)
				fmt.Fprint(conn, "Content-Length: 4\r\n\r\nbody")
			}))
			got := call{path: "/ticket/"}.do(gt)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
		},
		Entry("status 000", "HTTP/1.1 000 \r\n"),
		Entry("a blank in a name", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n"),
		Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nX\x02: 4\r\n"),
	)
})
