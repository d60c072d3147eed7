package yuccagate

import (
	"maps"
	"net"
	"net/http"
	"slices"
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
	// most bounds the connections, zero for no bound.
	most int
	// crowded is called when a connection was turned away.
	crowded func(time.Time)

	mu    sync.Mutex
	conns map[*callerConn]struct{}
}

// NewListener wraps a listener; State has to be the server's ConnState. Of more connections
// than most, unless that is zero, idle ones are closed or else the newest, and crowded hears
// of the latter.
func NewListener(inner net.Listener, most int, crowded func(time.Time)) *Listener {
	return &Listener{Listener: inner, most: most, crowded: crowded, conns: make(map[*callerConn]struct{})}
}

// Accept returns the next connection.
//
// Connections without a bound use up the descriptors; then the daemon reaches neither
// targets nor peers, and all of its requests fail instead of a few. A connection that is
// closed before anything was read tells its caller that nothing ran.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lis.most > 0 && lis.Count() >= lis.most {
			lis.closeLongestIdle()
		}
		if conn := lis.keep(raw); conn != nil {
			return conn, nil
		}
		lis.crowded(time.Now())
		raw.Close()
	}
}

// keep takes a connection into account, or returns nil if there is no room for it.
func (lis *Listener) keep(raw net.Conn) net.Conn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.most > 0 && len(lis.conns) >= lis.most {
		return nil
	}
	conn := &callerConn{Conn: raw, listener: lis}
	lis.conns[conn] = struct{}{}
	return conn
}

// closeLongestIdle closes the connection that has been idle for longest, if any is idle.
func (lis *Listener) closeLongestIdle() {
	var longest *callerConn
	var since time.Time
	for _, conn := range lis.list() {
		if idle := conn.idleFrom(); !idle.IsZero() && (longest == nil || idle.Before(since)) {
			longest, since = conn, idle
		}
	}
	if longest != nil {
		longest.closeIdle(since)
	}
}

func (lis *Listener) list() []*callerConn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return slices.Collect(maps.Keys(lis.conns))
}

// ConnState notes what the server does with a connection.
func (lis *Listener) ConnState(raw net.Conn, state http.ConnState) {
	if conn, ok := raw.(*callerConn); ok && state == http.StateIdle {
		conn.idle(time.Now())
	}
}

// CloseIdle closes the connections that have been idle since a time or longer.
func (lis *Listener) CloseIdle(since time.Time) {
	for _, conn := range lis.list() {
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

// idleFrom returns since when the connection has been idle, zero if it isn't.
func (conn *callerConn) idleFrom() time.Time {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.idleSince
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
