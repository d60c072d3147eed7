package yuccahop_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccahop"
)

// target is a target that writes what a test tells it, byte for byte.
type target struct {
	listener net.Listener
	conns    atomic.Int64
}

// newTarget serves each connection by a function.
func newTarget(serve func(conn net.Conn, in *bufio.Reader)) *target {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	tgt := &target{listener: listener}
	DeferCleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			tgt.conns.Add(1)
			go func() {
				defer conn.Close()
				serve(conn, bufio.NewReader(conn))
			}()
		}
	}()
	return tgt
}

func (tgt *target) address() string { return tgt.listener.Addr().String() }

// readRequest reads one request whole and returns its id, or an empty one at the end.
func readRequest(in *bufio.Reader) (id, body string) {
	req, err := http.ReadRequest(in)
	if err != nil {
		return "", ""
	}
	raw, _ := io.ReadAll(req.Body)
	return req.Header.Get("X-Id"), string(raw)
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// echo answers each request with its own body.
func echo(conn net.Conn, in *bufio.Reader) {
	for {
		id, body := readRequest(in)
		if id == "" {
			return
		}
		fmt.Fprint(conn, answer(id, "got "+body))
	}
}

func outgoing(id, body string) *yuccahop.Outgoing {
	header := http.Header{}
	header.Set("X-Id", id)
	return &yuccahop.Outgoing{Method: http.MethodPost, URI: "/run", Host: "desk.example", Header: header, Body: []byte(body)}
}

func own(id string) func(http.Header) bool {
	return func(header http.Header) bool { return header.Get("X-Id") == id }
}

// call sends one request and returns the whole answer.
func call(ctx context.Context, cl *yuccahop.Client, tgt *target, id, body string) (string, error) {
	ans, err := cl.Send(ctx, tgt.address(), outgoing(id, body), own(id))
	if err != nil {
		return "", err
	}
	defer ans.Close()
	raw, err := io.ReadAll(ans)
	return string(raw), err
}

func lost(err error) bool {
	var is *yuccahop.LostError
	return errors.As(err, &is)
}

func unsent(err error) bool {
	var is *yuccahop.UnsentError
	return errors.As(err, &is)
}

var _ = Describe("a client of targets", func() {
	var cl *yuccahop.Client
	ctx := context.Background()

	BeforeEach(func() {
		cl = yuccahop.New()
		DeferCleanup(cl.Close)
	})

	It("uses a connection again", func() {
		tgt := newTarget(echo)
		for at := range 5 {
			got, err := call(ctx, cl, tgt, fmt.Sprint("r", at), "x")
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal("got x"))
		}
		Expect(tgt.conns.Load()).To(Equal(int64(1)))
		Expect(cl.Opened()).To(Equal(int64(1)))
		Expect(cl.Reused()).To(Equal(int64(4)))
	})

	It("says that nothing was sent when no connection could be opened", func() {
		tgt := newTarget(echo)
		tgt.listener.Close()
		_, err := call(ctx, cl, tgt, "r", "x")
		Expect(unsent(err)).To(BeTrue(), "%v", err)
	})

	// The target closes a connection that was idle for too long just before the next request.
	// Sent there, a request that may run only once would be lost for nothing.
	It("doesn't use a connection that the target has closed", func() {
		closed := make(chan struct{})
		var first atomic.Bool
		first.Store(true)
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			if !first.CompareAndSwap(true, false) {
				echo(conn, in)
				return
			}
			id, _ := readRequest(in)
			fmt.Fprint(conn, answer(id, "one"))
			conn.Close()
			close(closed)
		})
		_, err := call(ctx, cl, tgt, "a", "")
		Expect(err).NotTo(HaveOccurred())
		<-closed
		Eventually(func() error { _, err := call(ctx, cl, tgt, "b", "x"); return err }).Should(Succeed())
		Expect(tgt.conns.Load()).To(Equal(int64(2)))
	})

	It("keeps to the time that the target names", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n", id)
			readRequest(in)
		})
		for _, id := range []string{"a", "b"} {
			_, err := call(ctx, cl, tgt, id, "")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(tgt.conns.Load()).To(Equal(int64(2)))
	})

	// A target answers a request a second time, at the point where the next one's answer is
	// due. The next caller would read what was meant for another.
	It("skips an answer to another request and then drops the connection", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			for {
				id, _ := readRequest(in)
				if id == "" {
					return
				}
				if id == "b" {
					fmt.Fprint(conn, answer("a", "late and foreign"))
				}
				fmt.Fprint(conn, answer(id, "own of "+id))
			}
		})
		for _, id := range []string{"a", "b", "c"} {
			got, err := call(ctx, cl, tgt, id, "")
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal("own of " + id))
		}
		Expect(tgt.conns.Load()).To(Equal(int64(2)))
	})

	// The same, but the second answer is there before the next request is sent.
	It("doesn't use a connection that brought something while it was unused", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprint(conn, answer(id, "one")+answer(id, "one"))
			if id, _ = readRequest(in); id != "" {
				fmt.Fprint(conn, answer(id, "on a connection with leftovers"))
			}
		})
		_, err := call(ctx, cl, tgt, "a", "")
		Expect(err).NotTo(HaveOccurred())
		got, err := call(ctx, cl, tgt, "b", "")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("one"))
	})

	DescribeTable("says that a request may have run when what came is no answer to it",
		func(bytes string) {
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				readRequest(in)
				fmt.Fprint(conn, bytes)
			})
			_, err := call(ctx, cl, tgt, "a", "x")
			Expect(lost(err)).To(BeTrue(), "%v", err)
		},
		Entry("nothing", ""),
		Entry("half a head", "HTTP/1.1 200 OK\r\nX-Id:"),
		Entry("garbage", "\x00\x01\x02 what is this\r\n\r\n"),
		Entry("answers to others only", strings.Repeat(answer("z", "foreign"), 5)),
		Entry("an answer to another that never ends", "HTTP/1.1 200 OK\r\nX-Id: z\r\n\r\nand so on"),
		Entry("a status that isn't final, and no more", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	)

	It("passes over a status that isn't final", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprint(conn, "HTTP/1.1 100 Continue\r\n\r\n"+answer(id, "final"))
		})
		got, err := call(ctx, cl, tgt, "a", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("final"))
	})

	DescribeTable("tells an answer that was cut short from a whole one",
		func(head, body string, whole bool) {
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				id, _ := readRequest(in)
				fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%s\r\n%s", id, head, body)
			})
			_, err := call(ctx, cl, tgt, "a", "x")
			Expect(err == nil).To(Equal(whole), "%v", err)
		},
		Entry("a length that is met", "Content-Length: 4\r\n", "four", true),
		Entry("a length that isn't met", "Content-Length: 9\r\n", "four", false),
		Entry("chunks with their end", "Transfer-Encoding: chunked\r\n", "4\r\nfour\r\n0\r\n\r\n", true),
		Entry("chunks without their end", "Transfer-Encoding: chunked\r\n", "4\r\nfour\r\n", false),
		Entry("no length, ended by a close", "", "four", true),
	)

	DescribeTable("tells how an answer's end is stated",
		func(method, head string, framing yuccahop.Framing, name string) {
			tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
				id, _ := readRequest(in)
				fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\n\r\n", head, id)
			})
			out := outgoing("a", "")
			out.Method = method
			ans, err := cl.Send(ctx, tgt.address(), out, own("a"))
			Expect(err).NotTo(HaveOccurred())
			defer ans.Close()
			Expect(ans.Framing()).To(Equal(framing))
			Expect(ans.Framing().String()).To(Equal(name))
		},
		Entry("a length", "POST", "200 OK\r\nContent-Length: 4", yuccahop.FramedByLength, "length"),
		Entry("chunks", "POST", "200 OK\r\nTransfer-Encoding: chunked", yuccahop.FramedByChunks, "chunks"),
		Entry("neither", "POST", "200 OK", yuccahop.FramedByClose, "close"),
		Entry("a status without a body", "POST", "204 No Content", yuccahop.FramedByLength, "length"),
		Entry("a method without a body", "HEAD", "200 OK", yuccahop.FramedByLength, "length"),
	)

	It("takes an answer without length that ends with a reset for cut short", func() {
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			id, _ := readRequest(in)
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\nfour", id)
			time.Sleep(50 * time.Millisecond)
			conn.(*net.TCPConn).SetLinger(0)
		})
		ans, err := cl.Send(ctx, tgt.address(), outgoing("a", "x"), own("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.Framing()).To(Equal(yuccahop.FramedByClose))
		_, err = io.ReadAll(ans)
		Expect(err).To(HaveOccurred())
		Expect(ans.Whole()).To(BeFalse())
	})

	// A target rejects a long request before it has read it, keeps the connection and goes on
	// reading. What comes next on the connection it would take for the rest of the body.
	It("doesn't use a connection again on which a body is still under way", func() {
		release := make(chan struct{})
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			conn.(*net.TCPConn).SetReadBuffer(4 << 10)
			req, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			fmt.Fprint(conn, answer(req.Header.Get("X-Id"), "too long"))
			<-release
		})
		DeferCleanup(func() { close(release) })
		for _, id := range []string{"a", "b"} {
			got, err := call(ctx, cl, tgt, id, strings.Repeat("x", 32<<20))
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal("too long"))
		}
		Expect(tgt.conns.Load()).To(Equal(int64(2)))
	})

	// A caller leaves while its request runs. The target would go on working for nobody if
	// the connection stayed open.
	It("closes the connection when the request is given up", func() {
		closed := make(chan struct{})
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			readRequest(in)
			in.ReadByte()
			close(closed)
		})
		leaving, leave := context.WithCancel(ctx)
		time.AfterFunc(30*time.Millisecond, leave)
		_, err := call(leaving, cl, tgt, "a", "x")
		Expect(lost(err)).To(BeTrue(), "%v", err)
		Eventually(closed).Should(BeClosed())
	})

	It("sends the request as it is", func() {
		got := make(chan string, 1)
		tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
			var text strings.Builder
			for {
				line, err := in.ReadString('\n')
				text.WriteString(line)
				if err != nil || line == "\r\n" {
					break
				}
			}
			got <- text.String()
			fmt.Fprint(conn, answer("a", ""))
		})
		out := outgoing("a", "")
		out.Method, out.URI, out.Body = http.MethodGet, "/a%2Fb/?q=1&q=%20", nil
		_, err := cl.Send(ctx, tgt.address(), out, own("a"))
		Expect(err).NotTo(HaveOccurred())
		Expect(<-got).To(Equal("GET /a%2Fb/?q=1&q=%20 HTTP/1.1\r\nHost: desk.example\r\nX-Id: a\r\n\r\n"))
	})
})
