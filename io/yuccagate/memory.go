package yuccagate

import (
	"errors"
	"io"
	"sync"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
)

const (
	// firstReadBytes is the most memory that is reserved for a body before any of the body has
	// arrived. It is small because a caller may announce megabytes and send nothing. The buffer
	// then grows with what arrives.
	firstReadBytes = 8 << 10
	// memoryRetryAfter is the retry-after of requests that are refused because the daemon's
	// memory for requests is used up.
	memoryRetryAfter = 500 * time.Millisecond
	// rejectedNotReadyFor is how long a daemon reports that it isn't ready after it has rejected a
	// caller's connection. The balancer checks once a second whether a daemon is ready, and stops
	// sending callers to the daemon after two failed checks.
	rejectedNotReadyFor = 3 * time.Second
	// detailMemory is the detail of a KindBusy problem for lack of memory. It tells such a problem
	// from a KindBusy problem for a full queue.
	detailMemory = "memory"
)

var errNoMemory = errors.New("the daemon's memory for requests is used up")

// memory bounds the memory that this daemon's open requests use. It is safe for concurrent use.
type memory struct {
	mu      sync.Mutex
	limiter *yuccaspace.MemoryLimiter
}

func newMemory(limit yuccaid.Bytes) *memory {
	return &memory{limiter: yuccaspace.New(limit)}
}

// reserve reserves memory for a request of the given rank, and reports whether there was enough.
func (mem *memory) reserve(rank int, size yuccaid.Bytes) bool {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	return mem.limiter.Reserve(rank, size)
}

// hasRoom reports whether memory could be reserved for a request of the given rank now.
func (mem *memory) hasRoom(rank int, size yuccaid.Bytes) bool {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	return mem.limiter.HasRoom(rank, size)
}

func (mem *memory) release(size yuccaid.Bytes) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	mem.limiter.Release(size)
}

func (mem *memory) reserved() yuccaid.Bytes {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	return mem.limiter.Reserved()
}

// connRejected records that a caller's connection was rejected. The rejection is logged only if no
// other connection was rejected within rejectedNotReadyFor before it.
func (gate *Gate) connRejected(now time.Time, reason Rejection) {
	gate.metrics.connRejected(reason)
	if reason == rejectedHeads {
		// Heads that find no room are those of few clients; the daemon serves others as before.
		return
	}
	if previous := gate.callerRejectedAt.Swap(&now); previous == nil || now.Sub(*previous) > rejectedNotReadyFor {
		gate.log.stateChange("callers turned away", "reason", reason, "connections", gate.processBounds.CallerConnections)
	}
}

// rejectedCallerRecently reports whether this daemon rejected a caller's connection within
// rejectedNotReadyFor.
func (gate *Gate) rejectedCallerRecently(now time.Time) bool {
	at := gate.callerRejectedAt.Load()
	return at != nil && now.Sub(*at) < rejectedNotReadyFor
}

// reserve reserves memory for the request until release is called, and reports whether there was
// enough.
func (req *callerRequest) reserve(size yuccaid.Bytes) bool {
	if !req.gate.memory.reserve(req.memoryRank(), size) {
		return false
	}
	req.reserved.Add(int64(size))
	return true
}

// release frees all memory reserved for the request.
func (req *callerRequest) release() {
	for _, buf := range req.eventBuffers {
		buf.release()
	}
	req.gate.memory.release(yuccaid.Bytes(req.reserved.Swap(0)))
}

// takeEventBuffer returns a buffer for the events of an attempt: one of an earlier attempt if there is one, so that its
// memory is reserved once.
func (req *callerRequest) takeEventBuffer() *eventBuffer {
	last := len(req.eventBuffers) - 1
	if last < 0 {
		return &eventBuffer{reserve: req.reserve}
	}
	buf := req.eventBuffers[last]
	req.eventBuffers = req.eventBuffers[:last]
	return buf
}

// giveEventBuffer keeps the buffer of an attempt that has ended for the next one.
func (req *callerRequest) giveEventBuffer(buf *eventBuffer) {
	if buf != nil {
		req.eventBuffers = append(req.eventBuffers, buf)
	}
}

// memoryRank returns the rank that decides how much of the memory the request may use: the
// account's rank if it has one, else the route's.
func (req *callerRequest) memoryRank() int {
	if req.account != nil && req.account.HasRank {
		return req.account.Rank
	}
	return req.route.Rank
}

// readAll reads a body of the given length. A negative length means that the length is unknown. It
// reserves memory as the bytes arrive, doubling the buffer each time it is full.
func readAll(body io.Reader, length int64, reserve func(yuccaid.Bytes) bool) ([]byte, error) {
	var buf []byte
	for {
		if len(buf) == cap(buf) {
			size := max(2*cap(buf), firstReadBytes)
			if length >= 0 {
				// One byte more than the body's length lets Read return io.EOF without growing
				// the buffer again.
				size = min(size, int(length)+1)
			}
			size = max(size, cap(buf)+1)
			if !reserve(yuccaid.Bytes(size - cap(buf))) {
				return nil, errNoMemory
			}
			grown := make([]byte, len(buf), size)
			copy(grown, buf)
			buf = grown
		}
		n, err := body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
