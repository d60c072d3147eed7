package yuccagate

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Listener hands callers' connections to an http.Server and can close those that are idle
// without losing a request.
//
// The server's own closing of idle connections may strike between the arrival of a
// request's first bytes and the server's noticing them. The request would be passed on to
// a target and its caller would get no answer. Here both are decided under one lock: either
// the bytes count, or the connection was closed before and they are dropped unread.
type Listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// NewListener wraps a listener; State has to be the server's ConnState.
func NewListener(inner net.Listener) *Listener {
	return &Listener{Listener: inner, conns: make(map[*callerConn]struct{})}
}

// Accept returns the next connection.
func (lis *Listener) Accept() (net.Conn, error) {
	raw, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &callerConn{Conn: raw, listener: lis}
	lis.mu.Lock()
	lis.conns[conn] = struct{}{}
	lis.mu.Unlock()
	return conn, nil
}

// State notes what the server does with a connection.
func (lis *Listener) State(raw net.Conn, state http.ConnState) {
	if conn, ok := raw.(*callerConn); ok && state == http.StateIdle {
		conn.idle(time.Now())
	}
}

// CloseIdle closes the connections that have been idle since a time or longer.
func (lis *Listener) CloseIdle(since time.Time) {
	lis.mu.Lock()
	var list []*callerConn
	for conn := range lis.conns {
		list = append(list, conn)
	}
	lis.mu.Unlock()
	for _, conn := range list {
		conn.closeIdle(since)
	}
}

// Count returns how many connections are open.
func (lis *Listener) Count() int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return len(lis.conns)
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	listener *Listener

	mu sync.Mutex
	// idleSince is when the last answer ended, zero while a request is under way.
	idleSince time.Time
	closed    bool
}

// Read ends the idle time with the first byte, unless the connection was closed before.
func (conn *callerConn) Read(into []byte) (int, error) {
	got, err := conn.Conn.Read(into)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed {
		return 0, net.ErrClosed
	}
	if got > 0 {
		conn.idleSince = time.Time{}
	}
	return got, err
}

// Close closes the connection and forgets it.
func (conn *callerConn) Close() error {
	conn.listener.mu.Lock()
	delete(conn.listener.conns, conn)
	conn.listener.mu.Unlock()
	return conn.Conn.Close()
}

func (conn *callerConn) idle(now time.Time) {
	// The last answer's time limit must not cut the next one, should its head be unreadable.
	_ = conn.Conn.SetWriteDeadline(time.Time{})
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.idleSince = now
}

func (conn *callerConn) closeIdle(since time.Time) {
	conn.mu.Lock()
	if conn.idleSince.IsZero() || conn.idleSince.After(since) {
		conn.mu.Unlock()
		return
	}
	conn.closed = true
	conn.mu.Unlock()
	conn.Close()
}
