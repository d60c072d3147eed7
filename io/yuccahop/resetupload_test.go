package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

const (
	// earlyPart is what a target sends of its answer's body before it has read the request.
	earlyPart = "a part of the answer"
	unstated  = "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\n"
)

var _ = DescribeTable("an answer without a length whose target hasn't read the request's long body",
	func(end func(conn *net.TCPConn, in *bufio.Reader), sound bool) {
		answered := make(chan struct{})
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			_ = conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
			fmt.Fprint(conn, unstated+earlyPart)
			<-answered
			end(conn.(*net.TCPConn), in)
		})
		client := yuccahop.New()
		DeferCleanup(client.Close)
		got, err := client.Send(context.Background(), tgt.address(), outgoing("a", strings.Repeat("x", longBody)), own("a"))
		Expect(err).NotTo(HaveOccurred())
		defer got.Close()
		begin := make([]byte, len(earlyPart))
		_, err = io.ReadFull(got, begin)
		Expect(err).NotTo(HaveOccurred())
		close(answered)
		// The writer of the body learns of the connection's end before the reader of the answer does.
		time.Sleep(300 * time.Millisecond)
		_, err = io.ReadAll(got)
		Expect(err == nil).To(Equal(sound), "%v", err)
		Expect(got.Whole()).To(Equal(sound))
	},
	// Guards against the failure that a part of an answer looks whole, because only the upload has noticed the reset.
	Entry("isn't whole if the connection is reset", func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.SetLinger(0)
		conn.Close()
	}, false),
	Entry("isn't whole if the target closes with the body unread, which resets the connection", func(conn *net.TCPConn, _ *bufio.Reader) {
		conn.Close()
	}, false),
	// Guards against the failure that a whole answer is refused because its target doesn't read on.
	Entry("is whole if the target ends its answer and reads nothing more", func(conn *net.TCPConn, _ *bufio.Reader) {
		_ = conn.CloseWrite()
		time.Sleep(time.Second)
	}, true),
	Entry("is whole if the target ends its answer and reads on", func(conn *net.TCPConn, in *bufio.Reader) {
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	}, true),
	Entry("is whole if the target reads the body first", func(conn *net.TCPConn, in *bufio.Reader) {
		readRequest(in)
		conn.Close()
	}, true),
)
