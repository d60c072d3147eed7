package yuccagate

import (
	"bytes"
	"errors"
	"net"
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

const (
	// headTimeout bounds the time for reading a request's head, and headBytes its size, where the configuration sets no limits.
	headTimeout = 10 * time.Second
	headBytes   = 128 << 10
	// readAheadBytes is how much of a body may come with its head, as the server reads through a buffer of this size.
	readAheadBytes = 4 << 10
	// lingerTime and lingerBytes bound what is read after the refusal of a head. If the connection were closed with unread
	// bytes, the reset could reach the caller before it has read the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 64 << 10
)

// unfinishedHeadTime is how long a head may be unfinished while another connection needs its place. Callers send a head at
// once; a lost packet takes a part of that time.
const unfinishedHeadTime = time.Second

// errHeadRefused ends the reading of a head. The server writes no response after an error of reading.
var errHeadRefused = &net.OpError{Op: "read", Err: errors.New("the head is refused")}

// headLimits are the limits on a request's head.
type headLimits struct {
	size    yuccaid.Bytes
	timeout time.Duration
}

// defaultHeadLimits returns the limits of a daemon that has no configuration.
func defaultHeadLimits() headLimits { return headLimits{size: headBytes, timeout: headTimeout} }

// headLimits returns the limits of the configuration in force.
func (gate *Gate) headLimits() headLimits {
	limits := defaultHeadLimits()
	table := gate.tables.Load()
	if table == nil {
		return limits
	}
	configured := table.Config().Limits
	if configured.Header > 0 {
		limits.size = configured.Header
	}
	if configured.HeaderTimeout > 0 {
		limits.timeout = configured.HeaderTimeout
	}
	return limits
}

// headBounds bounds the heads that are read on all connections of a listener. It is safe for concurrent use.
type headBounds struct {
	limits func() headLimits
	// onLong is called when a head is refused for its size.
	onLong func()

	mu     sync.Mutex
	memory *yuccaspace.HeadLimiter
}

func newHeadBounds(memory yuccaid.Bytes) *headBounds {
	return &headBounds{limits: defaultHeadLimits, onLong: func() {}, memory: yuccaspace.NewHeadLimiter(memory)}
}

// newHeadBounds returns bounds on heads by the configuration in force and the memory of the process.
func (gate *Gate) newHeadBounds() *headBounds {
	heads := newHeadBounds(gate.processBounds.HeadMemory)
	heads.limits = gate.headLimits
	heads.onLong = func() { gate.metrics.problem(noRank, KindLargeHead, "") }
	return heads
}

// reserved returns how much memory is reserved for heads.
func (bnd *headBounds) reserved() yuccaid.Bytes {
	bnd.mu.Lock()
	defer bnd.mu.Unlock()
	return bnd.memory.Reserved()
}

// grow changes what one head has reserved, and reports whether enough memory was left.
func (bnd *headBounds) grow(from, to yuccaid.Bytes) bool {
	if from == to {
		return true
	}
	bnd.mu.Lock()
	defer bnd.mu.Unlock()
	return bnd.memory.Grow(from, to)
}

// callerHead is the head that is being read on a connection. All that arrives until a handler begins belongs to it.
type callerHead struct {
	bounds *headBounds
	// reading is set from the start of the connection, and from the end of a response, until a handler begins.
	reading bool
	// since is when the first byte arrived; for the first head, when the connection was accepted. It is zero while
	// the connection is idle.
	since time.Time
	size  yuccaid.Bytes
	lines int
	// reserved is the memory that is reserved for the head, until the request has reserved its own.
	reserved yuccaid.Bytes
}

// await has what arrives from now on count as a head that began at the given time, zero if it hasn't begun.
func (head *callerHead) await(since time.Time) {
	head.release()
	head.reading, head.since, head.size, head.lines = true, since, 0, 0
}

// deadline returns until when the head has to be read.
func (head *callerHead) deadline() time.Time { return head.since.Add(head.bounds.limits().timeout) }

// count adds bytes that were read. It reports whether the head is too long, and whether no memory is left for it.
func (head *callerHead) count(read []byte) (tooLong, noMemory bool) {
	if !head.reading {
		return false, false
	}
	head.size += yuccaid.Bytes(len(read))
	head.lines += bytes.Count(read, []byte("\n"))
	if head.size > head.bounds.limits().size+readAheadBytes {
		return true, false
	}
	needed := yuccaspace.HeadMemory(head.size, head.lines)
	if !head.bounds.grow(head.reserved, needed) {
		return false, true
	}
	head.reserved = needed
	return false, false
}

// release frees the memory that is reserved for the head.
func (head *callerHead) release() {
	head.bounds.grow(head.reserved, 0)
	head.reserved = 0
}

// countHead counts bytes that were read as part of a head, and refuses the head if it is too long or finds no memory.
func (conn *callerConn) countHead(read []byte) error {
	conn.mu.Lock()
	tooLong, noMemory := conn.head.count(read)
	conn.mu.Unlock()
	switch {
	case tooLong:
		conn.refuseLongHead()
		return errHeadRefused
	case noMemory:
		conn.listener.onRejected(time.Now(), rejectedHeads)
		return errHeadRefused
	}
	return nil
}

// refuseLongHead responds to a head that is too long to be read.
func (conn *callerConn) refuseLongHead() {
	conn.listener.heads.onLong()
	deadline := time.Now().Add(lingerTime)
	_ = conn.Conn.SetDeadline(deadline)
	if _, err := conn.Conn.Write((&Problem{Kind: KindLargeHead}).response()); err != nil {
		return
	}
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	buf := make([]byte, readAheadBytes)
	for discarded := 0; discarded < lingerBytes; {
		n, err := conn.Conn.Read(buf)
		if err != nil {
			return
		}
		discarded += n
	}
}

// beginRequest records that a head has been read whole and its request is served from now on. It returns how much memory
// the head takes, which stays reserved until releaseHead is called or the response has ended.
func (conn *callerConn) beginRequest() yuccaid.Bytes {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.head.reading = false
	conn.keepOpen()
	return conn.head.reserved
}

// releaseHead frees the memory that is reserved for the head, after its request has reserved its own.
func (conn *callerConn) releaseHead() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.head.release()
}

// headStart returns when the unfinished head on the connection began, or zero if there is none.
func (conn *callerConn) headStart() time.Time {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.head.reading || conn.closing {
		return time.Time{}
	}
	return conn.head.since
}

// closeUnfinished has the connection closed unless more of its head has arrived.
func (conn *callerConn) closeUnfinished() {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if !conn.head.reading || conn.head.since.IsZero() || conn.closing || hasUnread(conn.Conn) {
		return
	}
	conn.interrupt()
}
