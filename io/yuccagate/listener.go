package yuccagate

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

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
	// onRejected is called with the reason when a connection is rejected, before it is closed.
	onRejected func(time.Time, Rejection)
	// admits reports whether a new connection may be read from.
	admits func() bool
	// reads reports whether the first request on a connection may be read.
	reads func(net.Conn) bool
	// heads bounds the heads that are being read.
	heads *headBounds

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
func NewListener(inner net.Listener, maxConns int, onRejected func(time.Time, Rejection), options ...ListenerOption) *Listener {
	lis := &Listener{Listener: inner, maxConns: maxConns, onRejected: onRejected, conns: make(map[*callerConn]bool)}
	lis.admits = func() bool { return true }
	lis.reads = func(net.Conn) bool { return true }
	lis.heads = newHeadBounds(0)
	for _, option := range options {
		option(lis)
	}
	return lis
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
		if lis.maxConns > 0 && lis.Count() >= lis.maxConns && !lis.closeLongestIdle() {
			lis.closeLongestUnfinished(time.Now())
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
	conn := newCallerConn(time.Now(), raw, lis)
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

// closeLongestIdle closes the connection that has been idle for longest, and reports whether any is idle and has no
// unread request.
func (lis *Listener) closeLongestIdle() bool {
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
	return longest != nil
}

// closeLongestUnfinished closes the connection whose head has been unfinished for longest, if any has been for longer than
// unfinishedHeadTime and nothing of it is unread. Otherwise clients that leave heads unfinished would keep all others out.
func (lis *Listener) closeLongestUnfinished(now time.Time) {
	var longest *callerConn
	since := now.Add(-unfinishedHeadTime)
	for _, conn := range lis.openConns() {
		began := conn.headStart()
		if !began.IsZero() && began.Before(since) && !hasUnread(conn.Conn) {
			longest, since = conn, began
		}
	}
	if longest != nil {
		longest.closeUnfinished()
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
