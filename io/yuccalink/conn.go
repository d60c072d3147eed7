package yuccalink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

// Conn is one traffic connection. One goroutine may call Receive while others call Send.
type Conn struct {
	hub     *Hub
	peer    yuccapeer.Member
	stream  *stream
	in      *bufio.Reader
	sending sync.Mutex
	sentAt  time.Time
	closing sync.Once
	done    chan struct{}
}

// startTraffic starts a traffic connection after its handshake.
func (hub *Hub) startTraffic(raw net.Conn, member yuccapeer.Member) (*Conn, error) {
	wrapped := hub.wrap(raw)
	conn := &Conn{
		hub:    hub,
		peer:   member,
		stream: wrapped,
		in:     bufio.NewReader(wrapped),
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

// Peer returns the daemon at the other end, which the handshake has authenticated.
func (conn *Conn) Peer() yuccapeer.Member { return conn.peer }

// Send writes one message and returns when the operating system has accepted it. It fails with
// *StuckError if the peer accepts no data for Limits.Write. A failed write closes the connection.
func (conn *Conn) Send(kind yuccawire.Kind, body any) error {
	raw, err := yuccawire.Encode(kind, body)
	if err != nil {
		return err
	}
	conn.sending.Lock()
	defer conn.sending.Unlock()
	return conn.write(kind, raw)
}

// Receive returns the next message. It fails with *SilentError if the peer sends nothing, not even a
// keep-alive, for Limits.Silence. It returns io.EOF after the peer's closing message, and ErrCut if
// the connection ends without one.
func (conn *Conn) Receive() (yuccawire.Frame, error) {
	for {
		frame, err := yuccawire.Read(conn.in)
		if err != nil {
			return yuccawire.Frame{}, conn.fail(err)
		}
		conn.hub.countReceived(frame)
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

// Close sends a closing message and closes the connection. If a Send is blocked, Close doesn't wait
// for it and sends no closing message.
func (conn *Conn) Close() error {
	if conn.sending.TryLock() {
		conn.write(yuccawire.KindBye, bye)
		conn.sending.Unlock()
	}
	conn.end()
	return nil
}

// write writes one message. The caller must hold the mutex sending.
func (conn *Conn) write(kind yuccawire.Kind, raw []byte) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	if _, err := conn.stream.Write(raw); err != nil {
		return conn.fail(err)
	}
	conn.hub.sent[kind].add(len(raw))
	conn.sentAt = time.Now()
	return nil
}

// fail closes the connection and returns a typed error for the cause.
func (conn *Conn) fail(cause error) error {
	select {
	case <-conn.done:
		return ErrClosed
	default:
	}
	conn.end()
	if errors.Is(cause, io.EOF) {
		return ErrCut
	}
	return explain(cause, conn.peer.Address, conn.hub.limits)
}

func (conn *Conn) end() {
	conn.closing.Do(func() {
		close(conn.done)
		conn.stream.Close()
		conn.hub.mu.Lock()
		defer conn.hub.mu.Unlock()
		delete(conn.hub.traffic, conn)
	})
}

// keepAlive sends keep-alives while no other messages are sent.
func (conn *Conn) keepAlive() {
	every := time.NewTicker(conn.hub.limits.KeepAliveEvery)
	defer every.Stop()
	for {
		select {
		case <-conn.done:
			return
		case <-every.C:
			conn.sendKeepAlive()
		}
	}
}

// sendKeepAlive sends a keep-alive unless another message was sent recently. It ignores a failed
// write, because the next Send or Receive reports that the connection is closed.
func (conn *Conn) sendKeepAlive() {
	conn.sending.Lock()
	defer conn.sending.Unlock()
	if time.Since(conn.sentAt) >= conn.hub.limits.KeepAliveEvery/2 {
		conn.write(yuccawire.KindKeepAlive, keepAlive)
	}
}
