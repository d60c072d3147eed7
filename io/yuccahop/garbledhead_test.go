package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

// Guards against the failure that what is no answer in the protocol reaches the caller as one, or that its body is read as the
// next head.
var _ = DescribeTable("a head that is none in the protocol",
	func(head string) {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprint(conn, strings.ReplaceAll(head, "ID", id)+answer(id, "of a body"))
		})
		client := yuccahop.New()
		DeferCleanup(client.Close)
		got, err := call(context.Background(), client, tgt, "a", "x")
		Expect(lost(err)).To(BeTrue(), "%q, %v", got, err)
	},
	Entry("status 000", "HTTP/1.1 000 \r\nX-Id: ID\r\n\r\n"),
	Entry("status 000 with a length", "HTTP/1.1 000 Down\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n"),
	Entry("status 099", "HTTP/1.1 099 Low\r\nX-Id: ID\r\n\r\n"),
	Entry("status 700", "HTTP/1.1 700 High\r\nX-Id: ID\r\n\r\n"),
	Entry("another protocol", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n"),
	Entry("a blank before the colon", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length : 0\r\n\r\n"),
	Entry("a blank in a name", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX Other: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("a control byte in a name", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX\x01Other: 1\r\nContent-Length: 0\r\n\r\n"),
	Entry("a control byte in a value", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Other: \x00\r\nContent-Length: 0\r\n\r\n"),
	Entry("a blank in a name of an answer to another request", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length : 5\r\n\r\n"),
)
