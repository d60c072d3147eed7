package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

var _ = Describe("a client that gives a request up", func() {
	// Guards against the failure that a link which was cut delivers the request when it heals.
	DescribeTable("resets the connection until the head of the answer has come, and ends it in order from then on",
		func(head string, end error) {
			started, ended := make(chan struct{}), make(chan error, 1)
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				readRequest(in)
				fmt.Fprint(conn, head)
				close(started)
				_, err := in.ReadByte()
				ended <- err
			})
			cl := yuccahop.New()
			DeferCleanup(cl.Close)
			ctx, leave := context.WithCancel(context.Background())
			go func() {
				defer GinkgoRecover()
				if ans, err := cl.Send(ctx, tgt.address(), outgoing("a", "x"), own("a")); err == nil {
					_, _ = io.ReadAll(ans)
					ans.Close()
				}
			}()
			<-started
			Consistently(ended, "50ms").ShouldNot(Receive())
			leave()
			Eventually(ended).Should(Receive(MatchError(end)))
		},
		Entry("no answer", "", syscall.ECONNRESET),
		Entry("half a head", "HTTP/1.1 200 OK\r\nX-Id: a\r\n", syscall.ECONNRESET),
		Entry("a head", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", io.EOF),
	)
})
