package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"yuccacleat/io/yuccahop"
)

// makeBusy has this process work so much, on one processor, that each goroutine runs seldom, until the spec ends.
func makeBusy(goroutines int) {
	before := runtime.GOMAXPROCS(1)
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for range goroutines {
		group.Go(func() {
			for ctx.Err() == nil {
			}
		})
	}
	DeferCleanup(func() {
		stop()
		group.Wait()
		runtime.GOMAXPROCS(before)
	})
}

// unansweredAddress returns an address at which connections are neither accepted nor refused: its queue of new ones is full.
func unansweredAddress() string {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { _ = unix.Close(fd) })
	Expect(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}})).To(Succeed())
	Expect(unix.Listen(fd, 0)).To(Succeed())
	name, err := unix.Getsockname(fd)
	Expect(err).NotTo(HaveOccurred())
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		DeferCleanup(conn.Close)
	}
}

var _ = Describe("a dial", Serial, func() {
	send := func(client *yuccahop.Client, address string) error {
		answer, err := client.Send(context.Background(), address, &yuccahop.Outgoing{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{"X-Id": {"a"}}}, func(http.Header) bool { return true })
		if err == nil {
			answer.Close()
		}
		return err
	}

	// Guards against the failure that a daemon which is short of processor time takes sound targets for unreachable.
	It("succeeds in a process that is short of processor time", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			readRequest(in)
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		client := yuccahop.New()
		DeferCleanup(client.Close)
		makeBusy(60)
		Expect(send(client, tgt.address())).To(Succeed())
	})

	It("is given up in time if the target doesn't answer", func() {
		limits := yuccahop.DefaultLimits()
		client := yuccahop.New(yuccahop.WithLimits(limits))
		DeferCleanup(client.Close)
		address := unansweredAddress()
		began := time.Now()
		err := send(client, address)
		Expect(err).To(BeAssignableToTypeOf(&yuccahop.UnsentError{}))
		Expect(err).To(MatchError(ContainSubstring("i/o timeout")))
		Expect(time.Since(began)).To(BeNumerically("~", limits.Dial, limits.Dial))
	})
})
