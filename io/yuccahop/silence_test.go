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

const (
	// silence is how long a sound target may show nothing.
	silence = 2 * time.Second
	// longBody doesn't fit into the buffers between a client and a target that doesn't read.
	longBody = 4 << 20
	// smallBuffer is the receive buffer of a target that doesn't read.
	smallBuffer = 64 << 10
)

// silentTarget is a sound target that is silent once, at a place of the exchange.
type silentTarget struct {
	// place is where it falls silent.
	place string
	// body is the length of the request's body.
	body int
	// serve serves the request and calls pause where the target is silent.
	serve func(conn net.Conn, in *bufio.Reader, pause func())
}

var silentTargets = []silentTarget{
	{"before it reads the request", 4, func(conn net.Conn, in *bufio.Reader, pause func()) {
		pause()
		id, body := readRequest(in)
		fmt.Fprint(conn, answer(id, body))
	}},
	{"before it reads a long request", longBody, func(conn net.Conn, in *bufio.Reader, pause func()) {
		pause()
		id, body := readRequest(in)
		fmt.Fprint(conn, answer(id, body))
	}},
	{"within a long request", longBody, func(conn net.Conn, in *bufio.Reader, pause func()) {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		pause()
		body, _ := io.ReadAll(req.Body)
		fmt.Fprint(conn, answer(req.Header.Get("X-Id"), string(body)))
	}},
	{"before the head", 4, func(conn net.Conn, in *bufio.Reader, pause func()) {
		id, body := readRequest(in)
		pause()
		fmt.Fprint(conn, answer(id, body))
	}},
	{"within the head", 4, func(conn net.Conn, in *bufio.Reader, pause func()) {
		id, body := readRequest(in)
		whole := answer(id, body)
		fmt.Fprint(conn, whole[:20])
		pause()
		fmt.Fprint(conn, whole[20:])
	}},
	{"within the body", 4, func(conn net.Conn, in *bufio.Reader, pause func()) {
		id, body := readRequest(in)
		whole := answer(id, body)
		fmt.Fprint(conn, whole[:len(whole)-2])
		pause()
		fmt.Fprint(conn, whole[len(whole)-2:])
	}},
}

// exchange sends a request to the target and returns why there was no whole answer.
func (st silentTarget) exchange(cl *yuccahop.Client) error {
	tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
		conn.(*net.TCPConn).SetReadBuffer(smallBuffer)
		st.serve(conn, in, func() { time.Sleep(silence) })
	})
	body := strings.Repeat("x", st.body)
	got, err := call(context.Background(), cl, tgt, "a", body)
	if err == nil && got != body {
		return fmt.Errorf("%d bytes of %d", len(got), len(body))
	}
	return err
}

// unusedConn is a connection that is unused for a time, to a target that is silent from shortly
// before the next request.
type unusedConn struct {
	name string
	// limit is how long the target keeps an unused connection, and field how it says so.
	limit time.Duration
	field string
	// unused is the time between the first answer and the next request.
	unused time.Duration
	// conns is how many connections the two requests take.
	conns int64
}

var unusedConns = []unusedConn{
	{"a limit that isn't named", 5 * time.Second, "", 3900 * time.Millisecond, 2},
	{"a limit that is named", 3 * time.Second, "Keep-Alive: timeout=3\r\n", 2300 * time.Millisecond, 2},
	{"a limit that is far", 5 * time.Second, "Keep-Alive: timeout=5\r\n", 1900 * time.Millisecond, 1},
}

// exchange sends two requests and returns why the second had no whole answer.
func (us unusedConn) exchange(cl *yuccahop.Client) error {
	tgt := newTarget(func(conn net.Conn, in *bufio.Reader) {
		for {
			id, body := readRequest(in)
			if id == "" {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, us.field, len(body), body)
			conn.SetReadDeadline(time.Now().Add(us.limit))
			time.Sleep(us.unused - 100*time.Millisecond + silence)
		}
	})
	ctx := context.Background()
	if _, err := call(ctx, cl, tgt, "a", "x"); err != nil {
		return err
	}
	time.Sleep(us.unused)
	if _, err := call(ctx, cl, tgt, "b", "x"); err != nil {
		return err
	}
	if conns := tgt.conns.Load(); conns != us.conns {
		return fmt.Errorf("%d connections, not %d", conns, us.conns)
	}
	return nil
}

var _ = Describe("a sound target that is silent", func() {
	// Guards against the failure that a target which is silent for 2 s has its request given up.
	It("is waited for, wherever in an exchange it is", func() {
		cl := yuccahop.New()
		DeferCleanup(cl.Close)
		results := make(map[string]chan error)
		for _, st := range silentTargets {
			result := make(chan error, 1)
			results[st.place] = result
			go func() {
				defer GinkgoRecover()
				result <- st.exchange(cl)
			}()
		}
		failed := make(map[string]string)
		for place, result := range results {
			var err error
			Eventually(result, 5*silence).Should(Receive(&err), place)
			if err != nil {
				failed[place] = err.Error()
			}
		}
		Expect(failed).To(BeEmpty())
	})

	// Guards against the failure that a request is sent to a silent target whose limit for unused connections runs out before it reads again.
	It("isn't sent a request on a connection that it closes when it goes on", func() {
		cl := yuccahop.New()
		DeferCleanup(cl.Close)
		results := make(map[string]chan error)
		for _, us := range unusedConns {
			result := make(chan error, 1)
			results[us.name] = result
			go func() {
				defer GinkgoRecover()
				result <- us.exchange(cl)
			}()
		}
		failed := make(map[string]string)
		for name, result := range results {
			var err error
			Eventually(result, 5*silence).Should(Receive(&err), name)
			if err != nil {
				failed[name] = err.Error()
			}
		}
		Expect(failed).To(BeEmpty())
	})

	// Guards against the failure that a target which is silent before it accepts a connection is taken for unreachable.
	It("is waited for before it accepts a connection", func() {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		tgt := &target{listener: listener}
		DeferCleanup(func() { listener.Close() })
		go func() {
			time.Sleep(silence)
			conn, err := listener.Accept()
			if err == nil {
				defer conn.Close()
				echo(conn, bufio.NewReader(conn))
			}
		}()
		cl := yuccahop.New()
		DeferCleanup(cl.Close)
		got, err := call(context.Background(), cl, tgt, "a", "x")
		Expect(err).NotTo(HaveOccurred())
		Expect(got).To(Equal("got x"))
	})
})
