package yuccagate

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"time"
)

// The limits on the addresses for readiness and for operators. Probes and operators send short heads and no bodies, and read
// what they request.
const (
	sideHeadBytes    = 8 << 10
	sideReadTimeout  = 5 * time.Second
	sideWriteTimeout = 10 * time.Second
	sideIdleTimeout  = time.Minute
	// sideConns is how many connections each of the addresses has. If there is one more, the one on which nothing has
	// arrived for longest is closed, so that probes are answered whoever else connects.
	sideConns = 32
)

// NewSideServer returns a server for an address other than that of callers, within limits that keep clients there from taking
// the process's memory and descriptors.
func NewSideServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: sideReadTimeout,
		ReadTimeout:       sideReadTimeout,
		WriteTimeout:      sideWriteTimeout,
		IdleTimeout:       sideIdleTimeout,
		MaxHeaderBytes:    sideHeadBytes,
		// The general handler of such requests reads their bodies.
		DisableGeneralOptionsHandler: true,
	}
}

// ListenSide listens on an address for a server that NewSideServer has returned.
func ListenSide(address string) (net.Listener, error) {
	inner, err := Listen(address)
	if err != nil {
		return nil, err
	}
	return &sideListener{Listener: inner, conns: list.New()}, nil
}

// sideListener bounds the number of open connections by closing the one that has been silent for longest.
type sideListener struct {
	net.Listener

	mu sync.Mutex
	// conns holds the open connections, the one on which nothing has arrived for longest first.
	conns *list.List
}

// Accept returns the next connection.
func (lis *sideListener) Accept() (net.Conn, error) {
	raw, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &sideConn{Conn: raw, listener: lis}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.conns.Len() >= sideConns {
		silent := lis.conns.Front()
		lis.conns.Remove(silent)
		_ = silent.Value.(*sideConn).Conn.Close()
	}
	conn.place = lis.conns.PushBack(conn)
	return conn, nil
}

// sideConn is a connection of a sideListener.
type sideConn struct {
	net.Conn
	listener *sideListener
	place    *list.Element
}

// Read reads from the connection, and records that something has arrived.
func (conn *sideConn) Read(buf []byte) (int, error) {
	n, err := conn.Conn.Read(buf)
	if n > 0 {
		conn.listener.mu.Lock()
		conn.listener.conns.MoveToBack(conn.place)
		conn.listener.mu.Unlock()
	}
	return n, err
}

// Close closes the connection.
func (conn *sideConn) Close() error {
	conn.listener.mu.Lock()
	conn.listener.conns.Remove(conn.place)
	conn.listener.mu.Unlock()
	return conn.Conn.Close()
}
