package yuccalink

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yuccacleat/io/yuccawire"
)

// link is one control connection, with one goroutine that reads and one that writes.
type link struct {
	hub     *Hub
	peer    *peer
	stream  *stream
	dialled string
	born    time.Time

	mu    sync.Mutex
	queue [][]byte
	// frames and bytes are the number and size of the frames that are queued or being written.
	frames, bytes int

	wake    chan struct{}
	retired atomic.Bool

	closing sync.Once
	done    chan struct{}
	// written is closed when the writer has ended.
	written chan struct{}
}

// newLink starts a control connection after its handshake.
func newLink(hub *Hub, other *peer, raw net.Conn, dialled string) *link {
	lk := &link{
		hub:     hub,
		peer:    other,
		stream:  hub.wrap(raw),
		dialled: dialled,
		born:    time.Now(),
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),

		written: make(chan struct{}),
	}
	hub.group.Go(func() { lk.readAll() })
	hub.group.Go(func() { lk.writeAll() })
	return lk
}

// enqueue queues a frame, or fails with ErrBacklog if the queue is full.
func (lk *link) enqueue(kind yuccawire.Kind, raw []byte) error {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.retired.Load() {
		return ErrNoLink
	}
	full := lk.frames >= lk.hub.limits.QueueFrames
	if full || lk.bytes+len(raw) > lk.hub.limits.QueueBytes {
		return ErrBacklog
	}
	lk.queue = append(lk.queue, raw)
	lk.frames++
	lk.bytes += len(raw)
	lk.hub.sent[kind].add(len(raw))
	lk.wakeWriter()
	return nil
}

// wakeWriter makes the writer check the queue.
func (lk *link) wakeWriter() {
	select {
	case lk.wake <- struct{}{}:
	default:
	}
}

// take removes all frames from the queue and returns them.
func (lk *link) take() [][]byte {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	queue := lk.queue
	lk.queue = nil
	return queue
}

// releaseWritten subtracts frames that have been written from the counts that bound the queue.
func (lk *link) releaseWritten(queue [][]byte) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	lk.frames -= len(queue)
	for _, raw := range queue {
		lk.bytes -= len(raw)
	}
}

// retire closes the connection gracefully: it accepts no new frames, sends the queued ones and a closing
// message, and the peer closes the connection.
//
// The lock prevents that a frame is queued after the writer has checked the queue for the last time.
func (lk *link) retire() {
	lk.mu.Lock()
	lk.retired.Store(true)
	lk.mu.Unlock()
	lk.wakeWriter()
}

// close closes the connection at once.
func (lk *link) close(cause error) {
	lk.closing.Do(func() {
		lk.retired.Store(true)
		close(lk.done)
		lk.stream.Close()
		if !errors.Is(cause, io.EOF) && !errors.Is(cause, ErrClosed) {
			address := lk.peer.member.Address
			lk.hub.onFault(address, explain(cause, address, lk.hub.limits))
		}
	})
}

// readAll delivers frames until the connection ends.
func (lk *link) readAll() {
	defer lk.hub.unlink(lk)
	in := bufio.NewReader(lk.stream)
	for {
		frame, err := yuccawire.Read(in)
		if err != nil {
			lk.close(err)
			return
		}
		lk.hub.countReceived(frame)
		if frame.Kind == yuccawire.KindBye {
			lk.farewell()
			return
		}
		if lk.peer.hasSeveralLinks.Load() && time.Since(lk.born) > lk.hub.limits.Linger {
			lk.hub.prune(lk)
		}
		if frame.Kind != yuccawire.KindKeepAlive {
			lk.peer.deliver(lk.hub, frame)
		}
	}
}

// farewell handles the peer's closing message: it sends the queued frames and closes the connection.
func (lk *link) farewell() {
	lk.retire()
	select {
	case <-lk.written:
	case <-time.After(lk.hub.limits.Farewell):
	}
	lk.close(io.EOF)
}

// writeAll sends queued frames, and keep-alives while none are queued.
func (lk *link) writeAll() {
	defer close(lk.written)
	out := bufio.NewWriter(lk.stream)
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
	for _, raw := range queue {
		if _, err := out.Write(raw); err != nil {
			return err
		}
	}
	if last {
		out.Write(bye)
		lk.hub.sent[yuccawire.KindBye].add(len(bye))
	}
	defer lk.releaseWritten(queue)
	return out.Flush()
}

// hangUp closes the connection for writing. The reader continues until the peer has closed its side.
func (lk *link) hangUp() {
	if tcp, ok := lk.stream.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
}

var (
	keepAlive = mustEncode(yuccawire.KindKeepAlive)
	bye       = mustEncode(yuccawire.KindBye)
)

// mustEncode encodes a frame without a body, which can't fail.
func mustEncode(kind yuccawire.Kind) []byte {
	raw, err := yuccawire.Encode(kind, nil)
	if err != nil {
		panic(err)
	}
	return raw
}
