package yuccagate

import (
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// longAgo is a read deadline that interrupts a reader.
var longAgo = time.Unix(0, 0)

// Listener accepts callers' connections for an http.Server, and can close idle ones without
// losing a request.
//
// If http.Server closed idle connections itself, it could close a connection after the first bytes
// of a request had been read, but before the server had noticed these bytes. The request would then
// be lost, or be forwarded to a target without a response to its caller. Here only the goroutine that
// reads from a connection closes it for being idle: it is interrupted, and closes the connection if
// no bytes have arrived. However long the process stands still in between, a request that has
// arrived is served.
type Listener struct {
	net.Listener
	// maxConns bounds the number of open connections; zero means no bound.
	maxConns int
	// onRejected is called when a connection is rejected, before it is closed.
	onRejected func(time.Time, rejection)
	// admits reports whether a new connection may be read from.
	admits func() bool
	// reads reports whether the first request on a connection may be read.
	reads func(net.Conn) bool

	mu sync.Mutex
	// conns holds the open connections, and whether each is being closed for being idle. closing
	// is the number of those that are.
	conns   map[*callerConn]bool
	closing int
	// closesUnused reports whether connections are closed as soon as they are idle.
	closesUnused bool
}

// NewListener wraps a listener. The caller has to set the method ConnState as the http.Server's
// ConnState hook. When a new connection would exceed maxConns, the connection that has been idle
// for longest is closed. If no connection is idle, the new connection is rejected and onRejected is
// called. A maxConns of zero means no bound.
func NewListener(inner net.Listener, maxConns int, onRejected func(time.Time, rejection), options ...ListenerOption) *Listener {
	lis := &Listener{Listener: inner, maxConns: maxConns, onRejected: onRejected, conns: make(map[*callerConn]bool)}
	lis.admits = func() bool { return true }
	lis.reads = func(net.Conn) bool { return true }
	for _, option := range options {
		option(lis)
	}
	return lis
}

// rejection is why a connection is rejected, as metrics name it.
type rejection string

const (
	rejectedConnections rejection = "connections"
	rejectedProcessor   rejection = "processor"
	rejectedMemory      rejection = "memory"
)

// ListenerOption configures a listener.
type ListenerOption func(*Listener)

// AdmitIf has the listener reject new connections unless the function reports true.
func AdmitIf(admits func() bool) ListenerOption {
	return func(lis *Listener) { lis.admits = admits }
}

// ReadIf has the listener reject new connections after they have been accepted unless the function reports true. It is
// called before anything is read, and may wait for the first bytes, which it must leave in the socket.
func ReadIf(reads func(net.Conn) bool) ListenerOption {
	return func(lis *Listener) { lis.reads = reads }
}

// Accept returns the next connection that the bound on connections allows, and rejects connections
// beyond the bound.
//
// Without a bound, callers' connections could use up the file descriptors. Then the daemon could
// connect neither to targets nor to other daemons, and all of its requests would fail instead of a
// few.
// A rejected connection is closed before anything is read from it, so its caller knows that the
// request did not run.
func (lis *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := lis.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if lis.maxConns > 0 && lis.Count() >= lis.maxConns {
			lis.closeLongestIdle()
		}
		reason := rejectedProcessor
		if lis.admits() {
			if conn := lis.track(raw); conn != nil {
				return conn, nil
			}
			reason = rejectedConnections
		}
		lis.onRejected(time.Now(), reason)
		raw.Close()
	}
}

// track wraps a connection and records it as open. It returns nil if the bound on connections is
// reached.
func (lis *Listener) track(raw net.Conn) net.Conn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.maxConns > 0 && len(lis.conns)-lis.closing >= lis.maxConns {
		return nil
	}
	conn := &callerConn{Conn: raw, listener: lis}
	lis.conns[conn] = false
	return conn
}

// markClosing records whether an open connection is being closed for being idle.
func (lis *Listener) markClosing(conn *callerConn, closing bool) {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	before, open := lis.conns[conn]
	if !open || before == closing {
		return
	}
	lis.conns[conn] = closing
	if closing {
		lis.closing++
	} else {
		lis.closing--
	}
}

// remove removes a connection that is closed.
func (lis *Listener) remove(conn *callerConn) {
	lis.markClosing(conn, false)
	lis.mu.Lock()
	defer lis.mu.Unlock()
	delete(lis.conns, conn)
}

// closeLongestIdle closes the connection that has been idle for longest, if any is idle and has no
// unread request.
func (lis *Listener) closeLongestIdle() {
	var longest *callerConn
	var since time.Time
	for _, conn := range lis.openConns() {
		idleSince := conn.idleStart()
		if !idleSince.IsZero() && (longest == nil || idleSince.Before(since)) && !hasUnread(conn.Conn) {
			longest, since = conn, idleSince
		}
	}
	if longest != nil {
		longest.closeIdle(since)
	}
}

// openConns returns the open connections.
func (lis *Listener) openConns() []*callerConn {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return slices.Collect(maps.Keys(lis.conns))
}

// ConnState is the http.Server hook that reports to the listener when a connection becomes idle.
func (lis *Listener) ConnState(raw net.Conn, state http.ConnState) {
	conn, ok := raw.(*callerConn)
	if !ok || state != http.StateIdle {
		return
	}
	now := time.Now()
	conn.markIdle(now)
	if lis.doesCloseUnused() {
		conn.closeIdle(now)
	}
}

func (lis *Listener) doesCloseUnused() bool {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.closesUnused
}

// CloseIdle closes the connections that became idle at the given time or earlier.
func (lis *Listener) CloseIdle(since time.Time) {
	for _, conn := range lis.openConns() {
		conn.closeIdle(since)
	}
}

// CloseUnused closes the connections that are idle or on which no byte has arrived yet, and from now on
// each other connection once it is idle.
func (lis *Listener) CloseUnused() {
	lis.mu.Lock()
	lis.closesUnused = true
	lis.mu.Unlock()
	now := time.Now()
	for _, conn := range lis.openConns() {
		conn.closeUnused(now)
	}
}

// Count returns the number of open connections, without those that are being closed.
func (lis *Listener) Count() int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return len(lis.conns) - lis.closing
}

// CountBusy returns the number of open connections on which a request, or the first bytes of one,
// have or may have arrived whose response has not ended.
func (lis *Listener) CountBusy() int {
	count := 0
	for _, conn := range lis.openConns() {
		if conn.isBusy() {
			count++
		}
	}
	return count
}

// callerConn is one connection of a caller.
type callerConn struct {
	net.Conn
	listener *Listener

	// began reports whether Read has been called. It belongs to the reader.
	began bool

	mu sync.Mutex
	// idleSince is when the connection became idle after its last response. It is zero before the
	// first response has ended, and while a request is being read or served.
	idleSince time.Time
	// busy reports whether bytes of a request have arrived whose response has not ended.
	busy bool
	// closing reports whether closeIdle has interrupted the reader, which closes the connection
	// unless bytes have arrived.
	closing bool
}

// Read reads from the connection, and marks it as in use once a byte has arrived. If closeIdle has
// interrupted it and no byte has arrived, Read returns an error, after which the server closes the
// connection. The first Read closes the connection if its request may not be read.
func (conn *callerConn) Read(buf []byte) (int, error) {
	if !conn.began {
		conn.began = true
		if !conn.listener.reads(conn.Conn) {
			conn.reject()
			return 0, io.EOF
		}
	}
	for {
		n, err := conn.Conn.Read(buf)
		if again := conn.afterRead(n); !again {
			return n, err
		}
	}
}

// reject closes the connection with its request unread. The kernel resets the connection of a caller whose request has
// arrived, so that the caller can't take the end for a response.
func (conn *callerConn) reject() {
	conn.listener.onRejected(time.Now(), rejectedMemory)
	_ = conn.Close()
}

// afterRead records that n bytes were read. It reports whether to read again because closeIdle has
// interrupted the read although bytes have arrived.
func (conn *callerConn) afterRead(n int) (again bool) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if n > 0 {
		conn.idleSince = time.Time{}
		conn.busy = true
	}
	if !conn.closing || n == 0 && !hasUnread(conn.Conn) {
		return false
	}
	conn.closing = false
	conn.listener.markClosing(conn, false)
	_ = conn.Conn.SetReadDeadline(time.Time{})
	return n == 0
}

// SetReadDeadline sets the read deadline, unless the reader has been interrupted.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closing {
		return nil
	}
	return conn.Conn.SetReadDeadline(deadline)
}

func (conn *callerConn) isBusy() bool {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.busy || conn.closing || hasUnread(conn.Conn)
}

// Close closes the connection and removes it from the listener's open connections.
func (conn *callerConn) Close() error {
	conn.listener.remove(conn)
	return conn.Conn.Close()
}

// markIdle records that the connection is idle as of now.
func (conn *callerConn) markIdle(now time.Time) {
	// The write deadline of the last response must not apply to the next response. If the head of
	// the next request can't be read, the server responds with an error without setting a new
	// deadline.
	_ = conn.Conn.SetWriteDeadline(time.Time{})
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.idleSince = now
	conn.busy = false
}

// idleStart returns when the connection became idle, or zero if the connection isn't idle.
func (conn *callerConn) idleStart() time.Time {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.idleSince
}

// closeIdle has the connection closed if it became idle at the given time or earlier and is still
// idle. A process that gets little processor time may not have read a request that has arrived
// already; such a connection isn't idle.
func (conn *callerConn) closeIdle(since time.Time) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closing || conn.idleSince.IsZero() || conn.idleSince.After(since) || hasUnread(conn.Conn) {
		return
	}
	conn.closing = true
	conn.listener.markClosing(conn, true)
	_ = conn.Conn.SetReadDeadline(longAgo)
}

// closeUnused has the connection closed if no request, or part of one, has arrived whose response has not
// ended.
func (conn *callerConn) closeUnused(now time.Time) {
	conn.mu.Lock()
	if !conn.busy && conn.idleSince.IsZero() {
		conn.idleSince = now
	}
	conn.mu.Unlock()
	conn.closeIdle(now)
}

// hasUnread reports whether bytes have arrived on a connection that nobody has read. It doesn't wait for
// a read that is under way.
func hasUnread(conn net.Conn) bool {
	sys, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	count := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		count, _, _ = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && count > 0
}
