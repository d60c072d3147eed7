package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"yuccacleat/io/yuccahop"
)

// forgottenWithin bounds how long a request waits on a connection that its path has forgotten.
const forgottenWithin = 5 * time.Second

// forget drops all packets that come in on a connection, so that nothing is acknowledged.
func forget(conn net.Conn) error {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	drop := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	prog := unix.SockFprog{Len: uint16(len(drop)), Filter: &drop[0]}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &prog)
	})
	if err != nil {
		return err
	}
	return failed
}

var _ = Describe("a connection that its path has forgotten", func() {
	// Guards against the failure that a request waits for a quarter of an hour on a path that drops everything.
	DescribeTable("ends its exchange in seconds",
		func(body string, serve func(conn net.Conn, in *bufio.Reader)) {
			quit := make(chan struct{})
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				defer GinkgoRecover()
				serve(conn, in)
				<-quit
			})
			DeferCleanup(func() { close(quit) })
			cl := yuccahop.New()
			DeferCleanup(cl.Close)
			ctx, leave := context.WithTimeout(context.Background(), 2*forgottenWithin)
			defer leave()
			_, err := call(ctx, cl, tgt, "warm", "")
			Expect(err).NotTo(HaveOccurred())
			start := time.Now()
			_, err = call(ctx, cl, tgt, "a", body)
			Expect(lost(err)).To(BeTrue(), "%v", err)
			AddReportEntry("lost", fmt.Sprint(time.Since(start).Round(10*time.Millisecond), " ", err))
			Expect(time.Since(start)).To(BeNumerically("<", forgottenWithin))
			Expect(tgt.conns.Load()).To(Equal(int64(1)))
		},
		Entry("before the request", "x", func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			Expect(forget(conn)).To(Succeed())
			fmt.Fprint(conn, answer(id, ""))
		}),
		Entry("within the request", strings.Repeat("x", longBody), func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprint(conn, answer(id, ""))
			_, err := http.ReadRequest(in)
			Expect(err).NotTo(HaveOccurred())
			Expect(forget(conn)).To(Succeed())
		}),
		Entry("before the answer", "x", func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprint(conn, answer(id, ""))
			readRequest(in)
			Expect(forget(conn)).To(Succeed())
		}),
	)
})
