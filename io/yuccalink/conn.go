package yuccalink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// Conn is one traffic connection. One goroutine may receive while others send.
type Conn struct {
	hub     *Hub
	peer    yuccapeer.Member
	str     *stream
	in      *bufio.Reader
	sending sync.Mutex
	sentAt  time.Time
	closing sync.Once
	done    chan struct{}
}

// startTraffic begins a traffic connection whose handshake is done.
func (hub *Hub) startTraffic(raw net.Conn, member yuccapeer.Member) (*Conn, error) {
	str := hub.wrap(raw)
	conn := &Conn{
		hub:    hub,
		peer:   member,
		str:    str,
		in:     bufio.NewReader(str),
		sentAt: time.Now(),
		done:   make(chan struct{}),
	}
	hub.mu.Lock()
	defer hub.mu.Unlock()
	if hub.closed {
		raw.Close()
		return nil, ErrClosed
	}
	hub.traffic[conn] = struct{}{}
	hub.group.Go(func() { conn.keepAlive() })
	return conn, nil
}

// Peer returns the daemon at the other end, as it proved itself.
func (conn *Conn) Peer() yuccapeer.Member { return conn.peer }

// Send writes one message and waits until the system has taken it, but no longer than
// the write limit. After an error the connection is closed.
func (conn *Conn) Send(kind yuccawire.Kind, body any) error {
	raw, err := yuccawire.Encode(kind, body)
	if err != nil {
		return err
	}
	conn.sending.Lock()
	defer conn.sending.Unlock()
	return conn.write(kind, raw)
}

// Receive returns the next message. It fails with *SilentError if the peer sends
// nothing, not even a keep-alive, for the silence limit, with io.EOF after the peer's
// goodbye, and with ErrCut if the connection ends without one.
func (conn *Conn) Receive() (yuccawire.Frame, error) {
	for {
		frame, err := yuccawire.Read(conn.in)
		if err != nil {
			return yuccawire.Frame{}, conn.fail(err)
		}
		conn.hub.took(frame)
		switch frame.Kind {
		case yuccawire.KindKeepAlive:
		case yuccawire.KindBye:
			conn.end()
			return yuccawire.Frame{}, io.EOF
		default:
			return frame, nil
		}
	}
}

// Close says goodbye and ends the connection. It doesn't wait for a Send that hangs.
func (conn *Conn) Close() error {
	if conn.sending.TryLock() {
		conn.write(yuccawire.KindBye, bye)
		conn.sending.Unlock()
	}
	conn.end()
	return nil
}

// write is called with sending held.
func (conn *Conn) write(kind yuccawire.Kind, raw []byte) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	if _, err := conn.str.Write(raw); err != nil {
		return conn.fail(err)
	}
	conn.hub.sent[kind].add(len(raw))
	conn.sentAt = time.Now()
	return nil
}

// fail closes the connection and returns the typed error for its cause.
func (conn *Conn) fail(cause error) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	conn.end()
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		return &SilentError{Address: conn.peer.Address, Limit: conn.hub.limits.Silence}
	}
	if errors.Is(cause, io.EOF) {
		return ErrCut
	}
	return cause
}

func (conn *Conn) end() {
	conn.closing.Do(func() {
		close(conn.done)
		conn.str.Close()
		conn.hub.mu.Lock()
		defer conn.hub.mu.Unlock()
		delete(conn.hub.traffic, conn)
	})
}

// keepAlive tells the peer that this end lives while it has nothing to say.
func (conn *Conn) keepAlive() {
	every := time.NewTicker(conn.hub.limits.KeepAliveEvery)
	defer every.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-every.C:
			conn.prod()
		}
	}
}

// prod sends a keep-alive unless something was sent of late. A failure shows itself
// to whoever uses the connection.
func (conn *Conn) prod() {
	conn.sending.Lock()
	defer conn.sending.Unlock()
	if time.Since(conn.sentAt) >= conn.hub.limits.KeepAliveEvery/2 {
		conn.write(yuccawire.KindKeepAlive, keepAlive)
	}
}
