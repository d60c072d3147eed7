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

// sized returns a gateway whose machine has so much memory and so many descriptors.
func sized(memory, descriptors int) *gate {
	return newGateOf(listen(), "odessa", "entry-1", func(set *yuccagate.Settings) {
		set.Machine = yuccaspace.ProcessLimits{Memory: yuccaid.Bytes(memory), Descriptors: descriptors}
	})
}

// dial opens a caller's connection and writes something on it.
func dial(gt *gate, text string) net.Conn {
	conn, err := net.Dial("tcp", gt.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { conn.Close() })
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// head is a request's head on a connection that stays.
func head(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\n", path, id, length)
}

// statusOn reads one answer and returns its status, or zero if the connection ended first.
// One that neither answers nor ends is a failure after a while, not an end.
func statusOn(conn net.Conn) int {
	Expect(conn.SetReadDeadline(time.Now().Add(time.Minute))).To(Succeed())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		Expect(os.IsTimeout(err)).To(BeFalse(), "neither answered nor ended")
		return 0
	}
	_, err = io.Copy(io.Discard, resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

// ranked is the usual configuration with the lookups' route below the others.
func ranked() yuccaroute.Config {
	changed := config()
	changed.Routes[0].Rank = 1
	changed.Limits.Body = 4 << 20
	return changed
}

var _ = Describe("a gateway on a small machine", func() {
	// A caller asks for a long answer and never reads it. What it was sent fills its
	// connection, and writing stands still. Were there no bound, its target's place would be
	// taken for as long as the caller likes, and a few such callers would hold all places.
	It("gives a place back whose caller reads nothing, when its time is up", func() {
		eng := newEngine("a", func(w http.ResponseWriter, r *http.Request) {
			piece := strings.Repeat("x", 64<<10)
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, piece); err != nil {
					return
				}
			}
		})
		gt := newGate("entry-1")
		gt.know(1, config(), 1, eng)
		dial(gt, head("/lookup/", "r1", 0))
		Eventually(gt.busy).Should(Equal(1))
		Eventually(gt.busy, 6*time.Second).Should(BeZero())
		Eventually(func() int64 { return gt.Status().OpenRequests }, 6*time.Second).Should(BeZero())
	})

	// Callers announce long prompts, send most of them and then no more. Were all of that
	// kept without a bound, the process would outgrow its machine and be killed, with every
	// request that it holds.
	It("refuses bodies that its memory has no room for, urgent ones last", func() {
		eng := newEngine("a", nil)
		gt := sized(8<<20, 0)
		gt.know(1, ranked(), 4, eng)
		const sent = 512<<10 - 1
		part := strings.Repeat("x", sent)
		each := yuccaspace.RequestOverhead + sent + 1
		for turn := range 5 {
			dial(gt, head("/lookup/", fmt.Sprint("letter", turn), 1<<20)+part)
			Eventually(func() yuccaid.Bytes { return gt.Status().HeldBytes }).Should(Equal(yuccaid.Bytes(turn+1) * each))
		}
		Expect(statusOn(dial(gt, head("/lookup/", "late", sent)+part))).To(Equal(http.StatusServiceUnavailable))
		Expect(statusOn(dial(gt, head("/ticket/", "urgent", 64<<10)+part[:64<<10]))).To(Equal(http.StatusOK))
		Expect(eng.requests()).To(HaveLen(1))
		Expect(gt.lines.all()).To(ContainSubstring("memory"))
	})

	// What requests held is free again when they have ended, however they did.
	It("has all of its memory again when its requests have ended", func() {
		eng := newEngine("a", nil)
		gt := sized(8<<20, 0)
		gt.know(1, ranked(), 4, eng)
		for turn := range 40 {
			body := strings.Repeat("x", turn<<13)
			Expect(call{path: "/lookup/", id: fmt.Sprint("r", turn), body: body}.do(gt).status).To(Equal(http.StatusOK))
		}
		conn := dial(gt, head("/lookup/", "gone", 1<<20)+"begun")
		Eventually(func() yuccaid.Bytes { return gt.Status().HeldBytes }).ShouldNot(BeZero())
		conn.Close()
		Eventually(func() yuccaid.Bytes { return gt.Status().HeldBytes }).Should(BeZero())
	})

	// A machine has descriptors for sixteen callers. All have been served and keep their
	// connections. One more comes: it gets the place of one of them, and no other is harmed.
	It("closes one idle connection when a caller finds no room", func() {
		gt := sized(0, 1)
		kept := config()
		kept.Limits.IdleTimeout = time.Minute
		gt.know(1, kept, 4, newEngine("a", nil))
		var conns []net.Conn
		for turn := range 16 {
			conn := dial(gt, head("/lookup/", fmt.Sprint("r", turn), 0))
			Expect(statusOn(conn)).To(Equal(http.StatusOK))
			conns = append(conns, conn)
		}
		Expect(statusOn(dial(gt, head("/lookup/", "more", 0)))).To(Equal(http.StatusOK))
		Expect(gt.Ready()).To(BeTrue())
		ended := 0
		for turn, conn := range conns {
			fmt.Fprint(conn, head("/lookup/", fmt.Sprint("again", turn), 0))
			switch got := statusOn(conn); got {
			case 0:
				ended++
			default:
				Expect(got).To(Equal(http.StatusOK))
			}
		}
		Expect(ended).To(Equal(1))
	})

	// All of the sixteen callers wait for their answers. One more is turned away before
	// anything is read of it, so it may go elsewhere with what runs only once, and the
	// balancer is told to send nobody for a while.
	It("turns callers away unread when all others are being served, and isn't ready then", func() {
		release := make(chan struct{})
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			<-release
			fmt.Fprint(w, "done")
		})
		gt := sized(0, 1)
		gt.know(1, config(), 20, eng)
		var conns []net.Conn
		for turn := range 16 {
			conns = append(conns, dial(gt, head("/ticket/", fmt.Sprint("r", turn), 0)))
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
			Expect(statusOn(conn)).To(Equal(http.StatusOK))
		}
		Expect(eng.requests()).To(HaveLen(16))
		Eventually(gt.Ready, 5*time.Second).Should(BeTrue())
	})
})
