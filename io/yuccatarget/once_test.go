package yuccatarget_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

// middle answers connections by hand and counts the requests that come over them.
type middle struct {
	listener net.Listener
	serving  sync.WaitGroup

	mu    sync.Mutex
	seen  map[string]int
	conns []net.Conn
}

// startMiddle reads each request's head, and its body if told so, and hands the
// connection to answer.
func startMiddle(readBody bool, answer func(conn net.Conn, method string)) *middle {
	mid := &middle{listener: listen(), seen: make(map[string]int)}
	mid.serving.Go(func() {
		for {
			conn, err := mid.listener.Accept()
			if err != nil {
				return
			}
			mid.serving.Go(func() { mid.handle(conn, readBody, answer) })
		}
	})
	DeferCleanup(func() {
		_ = mid.listener.Close()
		mid.mu.Lock()
		for _, conn := range mid.conns {
			_ = conn.Close()
		}
		mid.mu.Unlock()
		mid.serving.Wait()
	})
	return mid
}

func (mid *middle) handle(conn net.Conn, readBody bool, answer func(conn net.Conn, method string)) {
	mid.mu.Lock()
	mid.conns = append(mid.conns, conn)
	mid.mu.Unlock()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	mid.mu.Lock()
	mid.seen[req.Method]++
	mid.mu.Unlock()
	if readBody {
		_, _ = io.Copy(io.Discard, req.Body)
	}
	answer(conn, req.Method)
}

func (mid *middle) count(method string) int {
	mid.mu.Lock()
	defer mid.mu.Unlock()
	return mid.seen[method]
}

// Something between the two ends closes a connection after it has taken the request, or
// sends an answer that says nothing of the run. An HTTP library takes that for a stale
// connection and sends the request again, and the caller's fee is charged twice.
var _ = DescribeTable("a call is sent once",
	func(idempotent, plain bool, answer string) {
		mid := startMiddle(true, func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, answer)
			_ = conn.Close()
		})
		cl := newHastyClient()
		for id := 1; id <= 3; id++ {
			call, _ := callFor(plain, "a", mid.listener.Addr().String())
			call.Idempotent = idempotent
			_, err := cl.Run(testContext(), call, (&answerText{}).add)
			Expect(err).To(beLost())
			Expect(mid.count(http.MethodPost)).To(Equal(id))
			Expect(mid.count(http.MethodGet) > 0).To(Equal(!plain))
		}
	},
	Entry("plain, closed without an answer", false, true, ""),
	Entry("plain and idempotent, closed without an answer", true, true, ""),
	Entry("engine, closed without an answer", true, false, ""),
	Entry("half a status line", false, true, "HTTP/1.1 20"),
	Entry("408 of an idle connection", true, true, "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n"),
	Entry("redirect", true, true, "HTTP/1.1 307 Temporary Redirect\r\nLocation: /v1/call/again\r\nContent-Length: 0\r\n\r\n"),
	Entry("503 that says nothing of the run", false, true, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
	Entry("503 about another request", false, true,
		"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 47\r\n\r\n"+`{"id":"zz","kind":"refused","ran":"notRun"}    `),
	Entry("a refusal behind status 000", false, true,
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 503 Service Unavailable\r\nContent-Length: 33\r\n\r\n"+`{"kind":"refused","ran":"notRun"}`),
	Entry("a refusal with a blank in a field's name", false, true,
		"HTTP/1.1 503 Service Unavailable\r\nX Other: 1\r\nContent-Length: 33\r\n\r\n"+`{"kind":"refused","ran":"notRun"}`),
	Entry("503 cut short", false, true, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 90\r\n\r\n"+`{"kind":"refused","ran":"notRun"}`),
)

// A target refuses a long prompt before it has read all of it. The rest can't be sent
// any more, but the refusal is there, and the caller may try elsewhere at once.
var _ = It("takes a refusal that comes before the whole call was sent", func() {
	mid := startMiddle(false, func(conn net.Conn, _ string) {
		_, _ = io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 33\r\n\r\n"+`{"kind":"refused","ran":"notRun"}`)
	})
	call, _ := callFor(false, "a", mid.listener.Addr().String())
	call.Body = make([]byte, 32<<20)
	_, err := newClient().Run(testContext(), call, (&answerText{}).add)
	Expect(err).To(BeAssignableToTypeOf(&yuccatarget.RefusedError{}))
})

// A target that starts to leave refuses to go on with an answer that it began. Its words
// are those of a refusal, but they are about the resume: the call itself ran.
var _ = It("does not take the refusal of a resume for one of the call", func() {
	mid := startMiddle(true, func(conn net.Conn, method string) {
		answer := "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
		if method == http.MethodGet {
			answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 33\r\n\r\n" + `{"kind":"leaving","ran":"notRun"}`
		}
		_, _ = io.WriteString(conn, answer)
		_ = conn.Close()
	})
	_, err := newHastyClient().Run(testContext(), generation("a", mid.listener.Addr().String(), 5), (&answerText{}).add)
	Expect(err).To(beLost())
	Expect(mid.count(http.MethodGet)).To(BeNumerically(">", 0))
})

// A target that is out of memory sends a byte now and then. The connection looks alive,
// and a caller without a deadline would wait for good.
var _ = DescribeTable("a target that trickles is given up",
	func(plain bool) {
		mid := startMiddle(true, func(conn net.Conn, _ string) {
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{")
			for err == nil {
				time.Sleep(10 * time.Millisecond)
				_, err = io.WriteString(conn, " ")
			}
		})
		call, _ := callFor(plain, "a", mid.listener.Addr().String())
		ctx := testContext()
		_, err := newHastyClient().Run(ctx, call, (&answerText{}).add)
		Expect(err).To(beLost())
		Expect(ctx.Err()).NotTo(HaveOccurred())
	},
	Entry("engine", false),
	Entry("plain", true),
)

// A caller gives up before its call has left, or while the target works on it.
var _ = Describe("a caller that gives up", func() {
	It("is told that nothing was sent", func() {
		eng := startEngine()
		ctx, cancel := context.WithCancel(testContext())
		cancel()
		_, err := newClient().Run(ctx, generation("a", eng.Address(), 5), (&answerText{}).add)
		Expect(err).To(beUnsent())
		Expect(err).To(MatchError(context.Canceled))
		Expect(eng.Runs()).To(BeEmpty())
	})

	It("is told that the call may have run", func() {
		eng := startEngine(yuccastand.WithRates(1000, 1))
		ctx, cancel := context.WithCancel(testContext())
		go func() {
			defer cancel()
			for len(eng.Runs()) == 0 && ctx.Err() == nil {
				time.Sleep(time.Millisecond)
			}
		}()
		ended := make(chan error, 1)
		go func() {
			_, err := newClient(yuccatarget.WithProgress(2*limit)).Run(ctx, generation("a", eng.Address(), 50), (&answerText{}).add)
			ended <- err
		}()
		var err error
		Eventually(ended).WithTimeout(limit).Should(Receive(&err))
		Expect(err).To(beLost())
		Expect(err).To(MatchError(context.Canceled))
	})

	It("gets its own error back from the pieces' function", func() {
		eng := startEngine()
		_, err := newClient().Run(testContext(), generation("a", eng.Address(), 5), func(yuccatarget.Piece) error { return io.ErrShortWrite })
		Expect(err).To(beLost())
		Expect(err).To(MatchError(io.ErrShortWrite))
	})
})

// A target is paused between taking the connection and reading the call, wakes after the
// client has given up, and runs the call then. Had the client said "not run" meanwhile,
// the caller would have opened it anew and had it twice.
var _ = It("does not say \"not run\" of a call that a paused target runs later", func() {
	plain := startPlain(yuccastand.WithPlainFaults(yuccastand.Faults{Dead: yuccastand.DeathMute}))
	_, err := newHastyClient().Run(testContext(), ticket("t", plain.Address()), (&answerText{}).add)
	Expect(err).To(beLost())
	Expect(plain.Runs()).To(BeEmpty())
	plain.SetFaults(yuccastand.Faults{})
	Eventually(plain.Runs).WithTimeout(limit).Should(HaveLen(1))
})
