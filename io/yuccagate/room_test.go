package yuccagate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroute"
)

// dial opens a caller's connection and writes something on it.
func dial(gt *gate, text string) net.Conn {
	conn, err := net.Dial("tcp", gt.address)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	_, err = io.WriteString(conn, text)
	Expect(err).NotTo(HaveOccurred())
	return conn
}

// head is a request's head on a connection that stays.
func head(path, id string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: desk.example\r\nX-Id: %s\r\nX-Key: k1\r\nContent-Length: %d\r\n\r\n", path, id, length)
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
		Eventually(func() int64 { return gt.Status().Open }, 6*time.Second).Should(BeZero())
	})
})
