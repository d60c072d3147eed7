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
	// firstReadBytes is the memory reserved for a body before any of it has arrived, because a
	// caller may announce megabytes and send nothing.
	firstReadBytes = 8 << 10
	// memoryRetryAfter is the retry-after of requests that are refused because the daemon's
	// memory for requests is used up.
	memoryRetryAfter = 500 * time.Millisecond
	// rejectedNotReadyFor is how long a daemon isn't ready after it rejected a caller's
	// connection: the balancer checks once a second and takes a daemon out after two failed
	// checks.
	rejectedNotReadyFor = 3 * time.Second
	// detailMemory distinguishes a refusal for lack of memory from one for a full queue.
	detailMemory = "memory"
)

var errNoMemory = errors.New("the daemon's memory for requests is used up")

// memory reserves this daemon's memory for requests; many goroutines use it at once.
type memory struct {
	mu    sync.Mutex
	space *yuccaspace.MemoryLimiter
}

func newMemory(limit yuccaid.Bytes) *memory {
	return &memory{space: yuccaspace.New(limit)}
}

func (mem *memory) allocate(rank int, size yuccaid.Bytes) bool {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	return mem.space.Reserve(rank, size)
}

func (mem *memory) free(size yuccaid.Bytes) {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	mem.space.Release(size)
}

func (mem *memory) allocated() yuccaid.Bytes {
	mem.mu.Lock()
	defer mem.mu.Unlock()
	return mem.space.Reserved()
}

// connRejected records that a caller's connection was rejected because the bound was reached.
func (gate *Gate) connRejected(now time.Time) {
	gate.metrics.connRejected()
	if previous := gate.connRejectedAt.Swap(now.UnixNano()); now.Sub(time.Unix(0, previous)) > rejectedNotReadyFor {
		gate.log.stateChange("callers turned away", "connections", gate.bounds.CallerConnections)
	}
}

// rejectedRecently reports whether this daemon rejected a caller's connection within
// rejectedNotReadyFor.
func (gate *Gate) rejectedRecently(now time.Time) bool {
	at := gate.connRejectedAt.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < rejectedNotReadyFor
}

// reserve reserves memory for the request until release, and reports whether there was enough.
func (req *callerRequest) reserve(size yuccaid.Bytes) bool {
	if !req.gate.memory.allocate(req.memoryRank(), size) {
		return false
	}
	req.reserved += size
	return true
}

// release frees all memory reserved for the request.
func (req *callerRequest) release() {
	req.gate.memory.free(req.reserved)
	req.reserved = 0
}

// memoryRank returns the rank that decides how much of the memory the request may use: the
// account's rank if it has one, else the route's.
func (req *callerRequest) memoryRank() int {
	if req.account != nil && req.account.HasRank {
		return req.account.Rank
	}
	return req.route.Rank
}

// readAll reads a body of the given length, or to its end if the length is negative. It
// reserves memory as the bytes arrive, doubling the buffer each time.
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
