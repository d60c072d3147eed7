package yuccagate_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// longestBody is the length up to which responses that aren't streams are relayed.
const longestBody = 64 << 20

var _ = Describe("a plain response without end", func() {
	// Guards against the failure that a daemon relays bytes until the request's deadline.
	DescribeTable("is cut off, so that its caller doesn't take it for whole",
		func(path, head, text string) {
			tgt := &endlessTarget{head: head, text: text}
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", tgt.ServeHTTP))
			resp, err := http.DefaultTransport.RoundTrip(call{path: path}.request(gt))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			length, err := io.Copy(io.Discard, resp.Body)
			Expect(err).To(MatchError(io.ErrUnexpectedEOF))
			Expect(length).To(BeNumerically("<=", longestBody))
			Eventually(tgt.closed.Load, 5*time.Second).Should(Equal(int32(1)))
			Expect(gt.lines.all()).To(ContainSubstring("mend the target"))
		},
		Entry("in chunks", "/ticket/", "Transfer-Encoding: chunked\r\n\r\n", "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n"),
		Entry("without a stated end", "/ticket/", "\r\n", "x"),
		Entry("of a stream's route", "/note/", "Content-Type: text/plain\r\n\r\n", "x"),
	)

	// Guards against the failure that a caller without chunks takes a cut-off response for whole, because
	// its connection ends in the same way.
	It("ends with a reset for a caller of HTTP/1.0", func() {
		tgt := &endlessTarget{head: "\r\n", text: "x"}
		gt := newGate("entry-1")
		gt.configure(1, longConfig(), 1, newEngine("a", tgt.ServeHTTP))
		length, err := io.Copy(io.Discard, askHTTP10(gt, "/ticket/"))
		Expect(err).To(MatchError(syscall.ECONNRESET))
		Expect(length).To(BeNumerically("<=", longestBody+4<<10))
	})

	// Guards against the failure that a caller is promised a response that will be cut off.
	DescribeTable("is refused before its head if its stated length is beyond the bound",
		func(length int) {
			tgt := &endlessTarget{head: fmt.Sprintf("Content-Length: %d\r\n\r\n", length), text: "x"}
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", tgt.ServeHTTP))
			got := call{path: "/ticket/"}.do(gt)
			Expect(got.err).NotTo(HaveOccurred())
			Expect(got.status).To(Equal(http.StatusBadGateway))
			Eventually(tgt.closed.Load, 5*time.Second).Should(Equal(int32(1)))
			Expect(gt.lines.all()).To(ContainSubstring("mend the target"))
		},
		Entry("just beyond it", longestBody+1),
		Entry("far beyond it", 1<<50),
	)

	// Guards against the failure that one target which states too long a response loses a request that another
	// target would have served.
	It("is asked of another target if the request may be repeated", func() {
		endless := &endlessTarget{head: "Content-Length: 1000000000000\r\n\r\n", text: "x"}
		var calls atomic.Int32
		answer := func(w http.ResponseWriter, r *http.Request) {
			if calls.Add(1) == 1 {
				endless.ServeHTTP(w, r)
				return
			}
			fmt.Fprint(w, "done")
		}
		gt := newGate("entry-1")
		gt.configure(1, longConfig(), 1, newEngine("a", answer), newEngine("b", answer))
		got := call{path: "/lookup/"}.do(gt)
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body).To(Equal("done"))
	})

	// Guards against the failure that a response is refused whose body is within the bound.
	DescribeTable("is relayed whole if its body is within the bound",
		func(method string, stated, length int) {
			gt := newGate("entry-1")
			gt.configure(1, longConfig(), 1, newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
				if stated >= 0 {
					w.Header().Set("Content-Length", fmt.Sprint(stated))
				}
				piece := make([]byte, 64<<10)
				for range length / len(piece) {
					_, _ = w.Write(piece)
				}
			}))
			resp, err := http.DefaultTransport.RoundTrip(call{method: method, path: "/ticket/"}.request(gt))
			Expect(err).NotTo(HaveOccurred())
			defer resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusOK))
			Expect(resp.ContentLength).To(Equal(int64(stated)))
			Expect(io.Copy(io.Discard, resp.Body)).To(Equal(int64(length)))
		},
		Entry("of a stated length", http.MethodPost, longestBody, longestBody),
		Entry("in chunks", http.MethodPost, -1, longestBody),
		Entry("which is empty, since only the head was asked for", http.MethodHead, 2*longestBody, 0),
	)
})
