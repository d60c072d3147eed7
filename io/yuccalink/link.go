package yuccalink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"yuccacleat/io/yuccawire"
)

// link is one control connection. One goroutine reads and one writes.
type link struct {
	hub    *Hub
	peer   *peer
	str    *stream
	wished string
	born   time.Time

	mu      sync.Mutex
	queue   [][]byte
	bytes   int
	wake    chan struct{}
	retired atomic.Bool

	closing sync.Once
	done    chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
}

// newLink starts reading and writing on a connection whose handshake is done.
func newLink(hub *Hub, other *peer, raw net.Conn, wished string) *link {
	lk := &link{
		hub:    hub,
		peer:   other,
		str:    hub.wrap(raw),
		wished: wished,
		born:   time.Now(),
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),

		written: make(chan struct{}),
	}
	hub.group.Go(func() { lk.readAll() })
	hub.group.Go(func() { lk.writeAll() })
	return lk
}

// enqueue adds a frame to what waits, unless that is too much.
func (lk *link) enqueue(kind yuccawire.Kind, raw []byte) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.retired.Load() {
		return ErrNoLink
	}
	full := len(lk.queue) >= lk.hub.limits.QueueFrames
	if full || lk.bytes+len(raw) > lk.hub.limits.QueueBytes {
		return ErrBacklog
	}
	lk.queue = append(lk.queue, raw)
	lk.bytes += len(raw)
	lk.hub.sent[kind].add(len(raw))
	lk.rouse()
	return nil
}

// rouse makes the writer look at the queue.
func (lk *link) rouse() {
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

// take returns all that waits.
func (lk *link) take() [][]byte {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	queue := lk.queue
	lk.queue, lk.bytes = nil, 0
	return queue
}

// retire ends the connection gracefully: nothing new is queued on it, what waits goes
// out with a goodbye, and the peer closes.
//
// The lock keeps a message from being queued after the writer's last look.
func (lk *link) retire() {
	lk.mu.Lock()
	lk.retired.Store(true)
	lk.mu.Unlock()
	lk.rouse()
}

// close ends the connection at once.
func (lk *link) close(cause error) {
	lk.closing.Do(func() {
		lk.retired.Store(true)
		close(lk.done)
		lk.str.Close()
		if !errors.Is(cause, io.EOF) && !errors.Is(cause, ErrClosed) {
			lk.hub.onFault(lk.peer.member.Address, lk.explain(cause))
		}
	})
}

func (lk *link) explain(cause error) error {
	if errors.Is(cause, os.ErrDeadlineExceeded) {
		return &SilentError{Address: lk.peer.member.Address, Limit: lk.hub.limits.Silence}
	}
	return cause
}

// readAll hands on frames until the connection ends.
func (lk *link) readAll() {
	defer lk.hub.unlink(lk)
	in := bufio.NewReader(lk.str)
	for {
		frame, err := yuccawire.Read(in)
		if err != nil {
			lk.close(err)
			return
		}
		lk.hub.took(frame)
		if frame.Kind == yuccawire.KindBye {
			lk.farewell()
			return
		}
		if lk.peer.crowded.Load() && time.Since(lk.born) > lk.hub.limits.Linger {
			lk.hub.prune(lk)
		}
		if frame.Kind != yuccawire.KindKeepAlive {
			lk.peer.deliver(lk.hub, frame)
		}
	}
}

// farewell answers a goodbye: what still waits goes out before the end.
func (lk *link) farewell() {
	lk.retire()
	select {
	case <-lk.written:
	case <-time.After(lk.hub.limits.Farewell):
	}
	lk.close(io.EOF)
}

// writeAll sends what is queued, and a keep-alive when nothing was for a while.
func (lk *link) writeAll() {
	defer close(lk.written)
	out := bufio.NewWriter(lk.str)
	idle := time.NewTimer(lk.hub.limits.KeepAliveEvery)
	defer idle.Stop()
	for {
		select {
		case <-lk.done:
			return
		case <-lk.wake:
		case <-idle.C:
			lk.enqueue(yuccawire.KindKeepAlive, keepAlive)
		}
		last := lk.retired.Load()
		if err := lk.flush(out, last); err != nil {
			lk.close(err)
			return
		}
		if last {
			lk.hangUp()
			return
		}
		idle.Reset(lk.hub.limits.KeepAliveEvery)
	}
}

func (lk *link) flush(out *bufio.Writer, last bool) error {
	queue := lk.take()
	if last {
		queue = append(queue, bye)
		lk.hub.sent[yuccawire.KindBye].add(len(bye))
	}
	for _, raw := range queue {
		if _, err := out.Write(raw); err != nil {
			return err
		}
	}
	return out.Flush()
}

// hangUp closes this end's half; the reader goes on until the peer has closed its own.
func (lk *link) hangUp() {
	if tcp, ok := lk.str.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

var (
	keepAlive = mustEncode(yuccawire.KindKeepAlive)
	bye       = mustEncode(yuccawire.KindBye)
)

// mustEncode makes the frames that never change; nil always encodes.
func mustEncode(kind yuccawire.Kind) []byte {
	raw, err := yuccawire.Encode(kind, nil)
	if err != nil {
		panic(err)
	}
	return raw
}
