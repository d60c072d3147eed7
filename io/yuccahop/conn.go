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

	"yuccacleat/io/yuccahead"
)

var (
	errForeign = errors.New("the connection brings answers to other requests")
	errNoHead  = errors.New("the connection ended before an answer")
	// errUploadFailed is the error of an answer that nothing but its connection ends, if that may have been a reset.
	errUploadFailed = errors.New("the connection broke off while the request's body was sent")
)

// closeWait is the system's state of a connection whose other end has sent all that it will send, and that wasn't reset.
const closeWait = 8

// conn is one connection to a target. It serves one request at a time.
type conn struct {
	client  *Client
	address string
	raw     net.Conn
	in      *bufio.Reader
	// allowance is what in reads from.
	allowance *allowance
	// until is when the connection is too old to be used again.
	until time.Time
	// skipped says that an answer to another request came: what else may come is unknown.
	skipped bool
}

func newConn(client *Client, address string, raw net.Conn) *conn {
	allowed := &allowance{from: raw}
	return &conn{client: client, address: address, raw: raw, in: bufio.NewReaderSize(allowed, readBuffer), allowance: allowed}
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

// endedByTarget reports whether the target has ended the connection for its part, and it hasn't been reset.
//
// The system tells of a reset once only. If a request's body is still being written then, its writer may be told, and the
// reader sees what looks like the end of the answer.
func (cn *conn) endedByTarget() bool {
	sys, ok := cn.raw.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, failed := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = failed == nil && info.State == closeWait
	})
	return err == nil && ended
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
// request is read to its end and dropped. What is read before the own head is bounded,
// since a target may send it without end.
func (cn *conn) awaitHead(method string, own func(http.Header) bool) (*http.Response, error) {
	cn.allowance.startExchange()
	for skipped := 0; skipped <= cn.client.limits.Foreign; {
		resp, err := cn.readHead(method)
		if err != nil {
			return nil, err
		}
		if resp == nil {
			continue
		}
		if own(resp.Header) {
			cn.allowance.endPreamble()
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

// readHead reads the next head. It returns nil for the head of an interim answer.
func (cn *conn) readHead(method string) (*http.Response, error) {
	buffered, _ := cn.in.Peek(cn.in.Buffered())
	if err := cn.allowance.startHead(buffered); err != nil {
		return nil, err
	}
	resp, err := cn.parseHead(method)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, errNoHead
	}
	cn.allowance.endHead()
	return resp, err
}

// parseHead passes over a head whose beginning shows an interim answer, since thousands of
// them, parsed, would leave megabytes to the collector.
func (cn *conn) parseHead(method string) (*http.Response, error) {
	if _, err := cn.in.Peek(1); err != nil {
		return nil, err
	}
	buffered, _ := cn.in.Peek(cn.in.Buffered())
	if startsInterim(buffered) {
		return nil, cn.skipHead()
	}
	resp, err := http.ReadResponse(cn.in, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	if err := yuccahead.CheckHTTP1(resp); err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusOK {
		return nil, nil
	}
	return resp, nil
}

// startsInterim reports whether what has come of a head shows an interim answer.
func startsInterim(head []byte) bool {
	status, isHTTP := bytes.CutPrefix(head, []byte("HTTP/1.1 "))
	if !isHTTP || len(status) < len("100 ") || bytes.HasPrefix(status, []byte("101")) {
		return false
	}
	return status[0] == '1' && isDigit(status[1]) && isDigit(status[2]) && bytes.IndexByte([]byte(" \r\n"), status[3]) >= 0
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// skipHead reads to the end of a head.
func (cn *conn) skipHead() error {
	within := false
	for {
		line, more, err := cn.in.ReadLine()
		if err != nil {
			return err
		}
		if len(line) == 0 && !within {
			return nil
		}
		within = more
	}
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
