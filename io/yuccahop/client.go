package yuccahop

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Outgoing is a request as it goes to a target.
//
// Header must hold neither Host nor a length nor fields that concern one connection; the
// client sets them. A nil Body sends no length.
type Outgoing struct {
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
}

// Client holds the connections of one daemon to targets.
type Client struct {
	limits Limits
	dial   func(ctx context.Context, address string) (net.Conn, error)

	mu     sync.Mutex
	idle   map[string][]*conn
	kept   int
	opened atomic.Int64
	reused atomic.Int64
}

// Option changes how a Client behaves.
type Option func(*Client)

// WithLimits sets the limits on time and connections.
func WithLimits(limits Limits) Option {
	return func(cl *Client) { cl.limits = limits }
}

// New returns a client without connections.
func New(options ...Option) *Client {
	cl := &Client{limits: DefaultLimits(), idle: make(map[string][]*conn)}
	for _, option := range options {
		option(cl)
	}
	cl.dial = cl.dialer()
	return cl
}

// Opened returns how many connections were opened, and Reused how often one served again.
func (cl *Client) Opened() int64 { return cl.opened.Load() }

// Reused returns how many requests went out on a connection that had served before.
func (cl *Client) Reused() int64 { return cl.reused.Load() }

// dialer sets what makes a dead connection show: the kernel alone would keep one that a
// path has forgotten for a quarter of an hour.
func (cl *Client) dialer() func(context.Context, string) (net.Conn, error) {
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: cl.limits.KeepAlive, Interval: cl.limits.KeepAlive, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(cl.limits.Unacknowledged.Milliseconds()))
				if cl.limits.ReceiveBuffer > 0 {
					// Where the system refuses, its own size stays.
					_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, cl.limits.ReceiveBuffer)
				}
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return dialWithin(ctx, cl.limits.Dial, dialer, address)
	}
}

// Send sends a request and returns the answer once its head has come. Own tells whether a
// head answers this request; answers that it disowns are skipped. When the context ends
// the connection is closed, which tells the target that nobody waits any more.
//
// The error is an *UnsentError or a *LostError.
func (cl *Client) Send(ctx context.Context, address string, out *Outgoing, own func(http.Header) bool) (*Answer, error) {
	cn := cl.take(address, time.Now())
	if cn == nil {
		raw, err := cl.dial(ctx, address)
		if err != nil {
			return nil, &UnsentError{Address: address, Cause: err}
		}
		cl.opened.Add(1)
		cn = newConn(cl, address, raw)
	} else {
		cl.reused.Add(1)
	}
	return cn.exchange(ctx, out, own)
}

// Forget closes the unused connections to an address whose target is gone: another target
// may get the address.
func (cl *Client) Forget(address string) {
	cl.mu.Lock()
	conns := cl.idle[address]
	delete(cl.idle, address)
	cl.kept -= len(conns)
	cl.mu.Unlock()
	for _, cn := range conns {
		cn.raw.Close()
	}
}

// Sweep closes the connections that have been unused for too long.
func (cl *Client) Sweep(now time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for address, conns := range cl.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if now.Before(cn.until) {
				kept = append(kept, cn)
			} else {
				cn.raw.Close()
				cl.kept--
			}
		}
		if len(kept) == 0 {
			delete(cl.idle, address)
			continue
		}
		cl.idle[address] = kept
	}
}

// Close closes all unused connections.
func (cl *Client) Close() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, conns := range cl.idle {
		for _, cn := range conns {
			cn.raw.Close()
		}
	}
	clear(cl.idle)
	cl.kept = 0
}

// take returns the connection that was used last, which is the least likely to have been
// closed by the target, or nil.
func (cl *Client) take(address string, now time.Time) *conn {
	for {
		cn := cl.pop(address)
		if cn == nil {
			return nil
		}
		if now.Before(cn.until) && cn.quiet() {
			return cn
		}
		cn.raw.Close()
	}
}

func (cl *Client) pop(address string) *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	conns := cl.idle[address]
	if len(conns) == 0 {
		return nil
	}
	last := len(conns) - 1
	cn := conns[last]
	cl.idle[address] = conns[:last]
	cl.kept--
	return cn
}

func (cl *Client) put(cn *conn) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.idle[cn.address]) >= cl.limits.IdlePerTarget || cl.limits.IdleTotal > 0 && cl.kept >= cl.limits.IdleTotal {
		cn.raw.Close()
		return
	}
	cl.idle[cn.address] = append(cl.idle[cn.address], cn)
	cl.kept++
}
