package yuccagate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/core/yuccaspace"
	"yuccacleat/io/yuccagate"
)

// newGateWithLimits returns a gateway that may use the given memory and number of descriptors.
func newGateWithLimits(memory, descriptors int) *gate {
	return newGateOf(listen(), "odessa", "entry-1", func(set *yuccagate.Settings) {
		set.ProcessLimits = yuccaspace.ProcessLimits{Memory: yuccaid.Bytes(memory), Descriptors: descriptors}
	})
}

// dial opens a caller's connection and writes the text to it.
func dial(gt *gate, text string) net.Conn {
	conn, err := net.Dial("tcp", gt.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// requestHead returns the head of a request that doesn't close its connection.
func requestHead(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// readStatus reads one response and returns its status, or zero if the connection ended first. If
// the connection gives neither a response nor its end within a minute, the test fails.
func readStatus(conn net.Conn) int {
	Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		Expect(os.IsTimeout(err)).To(BeFalse(), "neither responded nor ended")
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

// rankedConfig returns the usual configuration, with rank 1 for the lookups' route, which is less
// urgent than the rank 0 of the other routes, and a limit of 4 MB for bodies.
func rankedConfig() yuccaroute.Config {
	changed := config()
	changed.Routes[0].Rank = 1
	changed.Limits.Body = 4 << 20
	return changed
}

var _ = Describe("a gateway on a small machine", func() {
	// A caller requests a long response and never reads it. The connection's buffers fill up
	// and the gateway's writes block. Without a write deadline, the target's slot would be
	// occupied until the caller closes its connection, and a few such callers would occupy all
	// slots.
	It("frees the slot of a caller that reads nothing when the deadline has passed", func() {
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			piece := strings.Repeat("x", 64<<10)
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, piece); err != nil {
					return
				}
			}
		})
		gt := newGate("entry-1")
		gt.configure(1, config(), 1, eng)
		dial(gt, requestHead("/lookup/", "r1", 0))
		Eventually(gt.busy).Should(Equal(1))
		Eventually(gt.busy, 6*time.Second).Should(BeZero())
		Eventually(func() int64 { return gt.Status().OpenRequests }, 6*time.Second).Should(BeZero())
	})

	// Callers announce long prompts, send most of them and then stop. If the gateway kept what it
	// received without a bound, its process would exceed the VM's memory and be killed, and every
	// request that it holds would be lost.
	It("refuses bodies that its memory has no room for, urgent ones last", func() {
		eng := newEngine("a", nil)
		gt := newGateWithLimits(8<<20, 0)
		gt.configure(1, rankedConfig(), 4, eng)
		const sent = 512<<10 - 1
		part := strings.Repeat("x", sent)
		// The buffer of a body has grown to 512 KB, one byte more than was sent.
		reservedEach := yuccaspace.RequestOverhead + sent + 1
		for turn := range 5 {
			dial(gt, requestHead("/lookup/", fmt.Sprint("letter", turn), 1<<20)+part)
			Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(Equal(yuccaid.Bytes(turn+1) * reservedEach))
		}
		Expect(readStatus(dial(gt, requestHead("/lookup/", "late", sent)+part))).To(Equal(http.StatusServiceUnavailable))
		Expect(readStatus(dial(gt, requestHead("/ticket/", "urgent", 64<<10)+part[:64<<10]))).To(Equal(http.StatusOK))
		Expect(eng.requests()).To(HaveLen(1))
		Expect(gt.lines.all()).To(ContainSubstring("memory"))
	})

	// Guards against the failure that requests are read which find no memory, or that urgent ones, for which memory is kept, are left unread too.
	It("leaves less urgent requests unread once many have found no memory, and serves urgent ones", func() {
		eng := newEngine("a", nil)
		gt := newGateWithLimits(8<<20, 0)
		gt.configure(1, rankedConfig(), 4, eng)
		const sent = 512<<10 - 1
		part := strings.Repeat("x", sent)
		// send returns the status of a request on a new connection, zero if that was closed for another reason than want of
		// processor time.
		send := func(text string) int {
			for {
				before := gt.turnedAway()
				if status := readStatus(dial(gt, text)); status != 0 || gt.turnedAway() == before {
					return status
				}
			}
		}
		const each = yuccaspace.RequestOverhead + sent + 1
		var stalled []net.Conn
		for turn := range 5 {
			stalled = append(stalled, dial(gt, requestHead("/lookup/", fmt.Sprint("stalled", turn), 1<<20)+part))
			Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(Equal(yuccaid.Bytes(turn+1) * each))
		}
		none := gt.turnedAwayFor("memory")
		for turn := range 4 {
			Expect(send(requestHead("/lookup/", fmt.Sprint("refused", turn), sent))).To(Equal(http.StatusServiceUnavailable))
		}
		Expect(gt.turnedAwayFor("memory")).To(Equal(none))
		Eventually(func() int { return send(requestHead("/lookup/", "unread", sent)) }).Should(BeZero())
		Expect(gt.Ready()).To(BeFalse())
		Expect(gt.turnedAwayFor("memory")).NotTo(Equal(none))
		Expect(send(requestHead("/ticket/", "urgent", 64<<10) + part[:64<<10])).To(Equal(http.StatusOK))
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(Equal(5 * yuccaid.Bytes(each)))
		Expect(send(requestHead("/lookup/", "small", 0))).To(Equal(http.StatusOK))
		for _, conn := range stalled {
			conn.Close()
		}
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(BeZero())
		Expect(send(requestHead("/lookup/", "later", sent) + part)).To(Equal(http.StatusOK))
	})

	// A request ends with a response or because its caller leaves. If either way of ending didn't
	// free the request's memory, the daemon would sooner or later refuse every request.
	It("frees all memory of requests that have ended", func() {
		eng := newEngine("a", nil)
		gt := newGateWithLimits(8<<20, 0)
		gt.configure(1, rankedConfig(), 4, eng)
		for turn := range 40 {
			body := strings.Repeat("x", turn<<13)
			Expect(call{path: "/lookup/", id: fmt.Sprint("r", turn), body: body}.do(gt).status).To(Equal(http.StatusOK))
		}
		conn := dial(gt, requestHead("/lookup/", "gone", 1<<20)+"begun")
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).ShouldNot(BeZero())
		conn.Close()
		Eventually(func() yuccaid.Bytes { return gt.Status().ReservedBytes }).Should(BeZero())
	})

	// The process has file descriptors for sixteen callers. All have been served and keep their
	// connections open. One more caller arrives. One idle connection is closed to make room for
	// this caller, and the other connections are not affected.
	It("closes one idle connection when a caller finds no room", func() {
		gt := newGateWithLimits(0, 1)
		longIdle := config()
		longIdle.Limits.IdleTimeout = time.Minute
		gt.configure(1, longIdle, 4, newEngine("a", nil))
		var conns []net.Conn
		for turn := range 16 {
			conn := dial(gt, requestHead("/lookup/", fmt.Sprint("r", turn), 0))
			Expect(readStatus(conn)).To(Equal(http.StatusOK))
			conns = append(conns, conn)
		}
		Expect(readStatus(dial(gt, requestHead("/lookup/", "more", 0)))).To(Equal(http.StatusOK))
		Expect(gt.Ready()).To(BeTrue())
		closed := 0
		for turn, conn := range conns {
			fmt.Fprint(conn, requestHead("/lookup/", fmt.Sprint("again", turn), 0))
			switch got := readStatus(conn); got {
			case 0:
				closed++
			default:
				Expect(got).To(Equal(http.StatusOK))
			}
		}
		Expect(closed).To(Equal(1))
	})

	// All sixteen callers wait for their responses. The connection of one more caller is closed
	// before anything is read from it. So this caller may send its request to another daemon, even
	// if the request must run only once. The gateway then reports for a while that it isn't ready,
	// so that the balancer sends no callers to this gateway.
	It("rejects connections unread while all others are being served, and isn't ready then", func() {
		release := make(chan struct{})
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(w, "done")
		})
		gt := newGateWithLimits(0, 1)
		gt.configure(1, config(), 20, eng)
		var conns []net.Conn
		for turn := range 16 {
			conns = append(conns, dial(gt, requestHead("/ticket/", fmt.Sprint("r", turn), 0)))
		}
		Eventually(eng.running.Load).Should(Equal(int64(16)))
		more, err := net.Dial("tcp", gt.address)
		Expect(err).NotTo(HaveOccurred())
		defer more.Close()
		_, err = more.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(gt.Ready()).To(BeFalse())
		close(release)
		for _, conn := range conns {
			Expect(readStatus(conn)).To(Equal(http.StatusOK))
		}
		Expect(eng.requests()).To(HaveLen(16))
		Eventually(gt.Ready, 5*time.Second).Should(BeTrue())
	})
})
