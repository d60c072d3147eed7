package yuccahop_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

// Guards against the failure that an answer whose head stops in its middle is taken for a whole one with an empty or a short body.
var _ = DescribeTable("an answer whose target closes within its head",
	func(head, before string, reset bool) {
		for cut := range len(head) {
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				for {
					id, body := readRequest(in)
					if id == "" {
						return
					}
					if body == "first" {
						fmt.Fprint(conn, answer(id, "whole"))
						continue
					}
					fmt.Fprint(conn, strings.Replace(before+head[:cut], "ID", id, 1))
					if reset {
						// The reset would overtake the bytes.
						time.Sleep(2 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					}
					return
				}
			})
			client := yuccahop.New()
			own := func(header http.Header) bool { return header.Get("X-Id") == "own" }
			first, err := client.Send(context.Background(), tgt.address(), outgoing("own", "first"), own)
			Expect(err).NotTo(HaveOccurred())
			Expect(io.ReadAll(first)).To(BeEquivalentTo("whole"))
			first.Close()
			got, err := client.Send(context.Background(), tgt.address(), outgoing("own", "second"), own)
			Expect(lost(err)).To(BeTrue(), "cut after %q: %+v, %v", head[:cut], got, err)
			client.Close()
		}
	},
	Entry("with a length", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 120\r\n\r\n", "", false),
	Entry("with a length of nothing", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 0\r\n\r\n", "", false),
	Entry("with a length, and a reset", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 120\r\n\r\n", "", true),
	Entry("in chunks", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", "", false),
	Entry("that ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nConnection: close\r\n\r\n", "", false),
	Entry("of HTTP/1.0", "HTTP/1.0 200 OK\r\nX-Id: ID\r\n\r\n", "", false),
	Entry("with bare line feeds", "HTTP/1.1 200 OK\nX-Id: ID\nContent-Length: 5\n\n", "", false),
	Entry("after an interim answer", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 120\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false),
	Entry("after another request's answer", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nContent-Length: 120\r\n\r\n", answer("other", "late"), false),
	Entry("with a folded field", "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Long: a\r\n b\r\nContent-Length: 120\r\n\r\n", "", false),
)
