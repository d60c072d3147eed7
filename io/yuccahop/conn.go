package yuccahop

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errForeign = errors.New("the connection brings answers to other requests")
	errNoHead  = errors.New("the connection ended before an answer")
)

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	client  *Client
	address string
	raw     net.Conn
	in      *bufio.Reader
	// until is when the connection is too old to be used again.
	until time.Time
	// skipped says that an answer to another request came: what else may come is unknown.
	skipped bool
}

func newConn(client *Client, address string, raw net.Conn) *conn {
	return &conn{client: client, address: address, raw: raw, in: bufio.NewReaderSize(raw, readBuffer)}
}

// quiet reports whether the connection is open and has brought nothing while unused. What
// it brought would be a farewell or an answer to nobody; the next request would be lost
// with it, or get that answer.
func (cn *conn) quiet() bool {
	if cn.in.Buffered() > 0 {
		return false
	}
	sys, ok := cn.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failed := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(failed, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange sends one request and waits for the head of its answer.
func (cn *conn) exchange(ctx context.Context, out *Outgoing, own func(http.Header) bool) (*Answer, error) {
	stop := context.AfterFunc(ctx, func() { cn.raw.Close() })
	cn.resetOnClose(true)
	up := newUpload()
	head := cn.head(out)
	if len(out.Body) <= eagerBody {
		head.Write(out.Body)
		sent, err := cn.raw.Write(head.Bytes())
		up.finish(err)
		if err != nil && sent == 0 {
			stop()
			cn.raw.Close()
			return nil, &UnsentError{Address: cn.address, Cause: err}
		}
	} else {
		go func() {
			_, err := cn.raw.Write(head.Bytes())
			if err == nil {
				_, err = cn.raw.Write(out.Body)
			}
			up.finish(err)
		}()
	}
	resp, err := cn.awaitHead(out.Method, own)
	if err != nil {
		stop()
		cn.raw.Close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &LostError{Address: cn.address, Cause: err}
	}
	cn.resetOnClose(false)
	return newAnswer(cn, resp, up, stop), nil
}

// resetOnClose sets whether the connection is reset when it is closed, by this client or because its process
// ends. Until an answer has come, a cut link may hold up the request. A connection that was closed in order
// would deliver the request when the link heals, though nobody waits for it any more.
func (cn *conn) resetOnClose(reset bool) {
	tcp, ok := cn.raw.(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds)
}

func (cn *conn) head(out *Outgoing) *bytes.Buffer {
	var head bytes.Buffer
	head.Grow(1024 + min(len(out.Body), eagerBody))
	head.WriteString(out.Method)
	head.WriteByte(' ')
	head.WriteString(out.URI)
	head.WriteString(" HTTP/1.1\r\nHost: ")
	head.WriteString(out.Host)
	head.WriteString("\r\n")
	_ = out.Header.Write(&head)
	if out.Body != nil {
		head.WriteString("Content-Length: ")
		head.WriteString(strconv.Itoa(len(out.Body)))
		head.WriteString("\r\n")
	}
	head.WriteString("\r\n")
	return &head
}

// awaitHead reads heads until one belongs to the request.
//
// A target may answer an earlier request late, at the point where this one's answer is
// due. Its caller would get what was meant for another; so an answer that names another
// request is read to its end and dropped.
func (cn *conn) awaitHead(method string, own func(http.Header) bool) (*http.Response, error) {
	for skipped := 0; skipped <= cn.client.limits.Foreign; {
		resp, err := http.ReadResponse(cn.in, &http.Request{Method: method})
		if err != nil {
			if errors.Is(err, io.ErrUnexpectedEOF) {
				err = errNoHead
			}
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if own(resp.Header) {
			return resp, nil
		}
		cn.skipped = true
		skipped++
		if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			break
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// keep puts the connection back if nothing of its exchange is left on it.
func (cn *conn) keep(resp *http.Response, now time.Time) {
	if cn.skipped || resp.Close || cn.in.Buffered() > 0 {
		cn.raw.Close()
		return
	}
	cn.until = now.Add(cn.client.idleFor(resp.Header))
	cn.client.put(cn)
}

// idleFor returns how long a connection may be kept unused after an answer.
func (cl *Client) idleFor(header http.Header) time.Duration {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if strings.EqualFold(strings.TrimSpace(name), "timeout") && err == nil && seconds >= 0 {
			return time.Duration(seconds)*time.Second - cl.limits.IdleMargin
		}
	}
	return cl.limits.Idle
}

// upload is the writing of a request's body, which may still go on when the answer comes.
type upload struct {
	once sync.Once
	done chan struct{}
	err  error
}

func newUpload() *upload {
	return &upload{done: make(chan struct{})}
}

func (up *upload) finish(err error) {
	up.once.Do(func() {
		up.err = err
		close(up.done)
	})
}

// whole reports whether the target has been sent the whole body.
func (up *upload) whole() bool {
	select {
	case <-up.done:
		return up.err == nil
	default:
		return false
	}
}
