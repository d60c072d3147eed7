package yuccagate

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// longAgo is a read deadline in the past, which interrupts a blocked read.
var longAgo = time.Unix(0, 0)

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
	// head is the head that is being read.
	head callerHead
}

// newCallerConn wraps a connection that was accepted now.
func newCallerConn(now time.Time, raw net.Conn, lis *Listener) *callerConn {
	conn := &callerConn{Conn: raw, listener: lis}
	conn.head.bounds = lis.heads
	conn.head.await(now)
	return conn
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
		if again := conn.afterRead(n); again {
			continue
		}
		if refused := conn.countHead(buf[:n]); refused != nil {
			return 0, refused
		}
		return n, err
	}
}

// Write writes to the connection. What the server writes while no handler runs is a refusal of a head, for which it sets no
// deadline: a caller that reads nothing would hold the connection for good.
func (conn *callerConn) Write(buf []byte) (int, error) {
	conn.mu.Lock()
	if conn.head.reading {
		_ = conn.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	}
	conn.mu.Unlock()
	return conn.Conn.Write(buf)
}

// reject closes the connection with its request unread. If bytes of the request have arrived, the kernel resets the
// connection, so that the caller can't take its end for the end of a response.
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
		conn.beginHead()
	}
	if !conn.closing || n == 0 && !hasUnread(conn.Conn) {
		return false
	}
	conn.keepOpen()
	return n == 0
}

// beginHead bounds the time for a head whose first byte has arrived. The server itself bounds it from the fourth byte on
// only, and passes over empty lines first.
func (conn *callerConn) beginHead() {
	if !conn.head.reading || !conn.head.since.IsZero() {
		return
	}
	conn.head.since = time.Now()
	if !conn.closing {
		_ = conn.Conn.SetReadDeadline(conn.head.deadline())
	}
}

// keepOpen takes it back if the connection is being closed for being idle.
func (conn *callerConn) keepOpen() {
	if !conn.closing {
		return
	}
	conn.closing = false
	conn.listener.markClosing(conn, false)
	deadline := time.Time{}
	if conn.head.reading && !conn.head.since.IsZero() {
		deadline = conn.head.deadline()
	}
	_ = conn.Conn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the read deadline, unless the reader has been interrupted. While a head is read, the deadline is that
// of the configuration.
func (conn *callerConn) SetReadDeadline(deadline time.Time) error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closing {
		return nil
	}
	if conn.head.reading && !conn.head.since.IsZero() && !deadline.IsZero() {
		deadline = conn.head.deadline()
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
	conn.releaseHead()
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
	conn.head.await(time.Time{})
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
	conn.interrupt()
}

// interrupt interrupts the reader, which closes the connection unless bytes have arrived.
func (conn *callerConn) interrupt() {
	conn.closing = true
	conn.listener.markClosing(conn, true)
	_ = conn.Conn.SetReadDeadline(longAgo)
}

// closeUnused has the connection closed unless a request, or part of one, has arrived whose response has
// not ended. Unlike closeIdle, it also closes a connection on which nothing has arrived yet.
func (conn *callerConn) closeUnused(now time.Time) {
	conn.mu.Lock()
	if !conn.busy && conn.idleSince.IsZero() {
		conn.idleSince = now
	}
	conn.mu.Unlock()
	conn.closeIdle(now)
}

// hasUnread reports whether a connection has received bytes that haven't been read yet. It doesn't wait for
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
