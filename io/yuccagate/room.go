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
	// firstPiece is how much of a body is made room for before any of it has come: a caller
	// may announce megabytes and send nothing.
	firstPiece = 8 << 10
	// roomBack is when a caller should come back that found no room in this daemon's memory.
	roomBack = 500 * time.Millisecond
	// crowdedFor is how long a daemon that turned a connection away isn't ready: the balancer
	// looks once a second and takes a daemon out after two looks.
	crowdedFor = 3 * time.Second
	// detailRoom tells such a refusal from one by a full queue.
	detailRoom = "memory"
)

var errNoRoom = errors.New("the daemon's memory for requests is lent out")

// room lends this daemon's memory to the goroutines that serve callers.
type room struct {
	mu    sync.Mutex
	space *yuccaspace.MemoryLimiter
}

func newRoom(limit yuccaid.Bytes) *room {
	return &room{space: yuccaspace.New(limit)}
}

func (rm *room) take(rank int, size yuccaid.Bytes) bool {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	return rm.space.Reserve(rank, size)
}

func (rm *room) give(size yuccaid.Bytes) {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	rm.space.Release(size)
}

func (rm *room) taken() yuccaid.Bytes {
	rm.mu.Lock()
	defer rm.mu.Unlock()
	return rm.space.Reserved()
}

// turnedAway notes that a caller's connection found no room.
func (gate *Gate) turnedAway(now time.Time) {
	gate.metrics.turnedAway()
	if was := gate.turned.Swap(now.UnixNano()); now.Sub(time.Unix(0, was)) > crowdedFor {
		gate.log.belief("callers turned away", "connections", gate.bounds.CallerConnections)
	}
}

// crowded reports whether this daemon lately had no room for a connection.
func (gate *Gate) crowded(now time.Time) bool {
	at := gate.turned.Load()
	return at != 0 && now.Sub(time.Unix(0, at)) < crowdedFor
}

// hold takes memory for the request, which it keeps until it ends.
func (req *request) hold(size yuccaid.Bytes) bool {
	if !req.gate.room.take(req.spaceRank(), size) {
		return false
	}
	req.held += size
	return true
}

// release gives back what the request holds.
func (req *request) release() {
	req.gate.room.give(req.held)
	req.held = 0
}

// spaceRank is the rank by which memory is lent: the account's before the route's.
func (req *request) spaceRank() int {
	if req.account != nil && req.account.HasRank {
		return req.account.Rank
	}
	return req.route.Rank
}

// readAll reads a body of a length, or to its end where the length is below zero. Room is
// taken as the bytes come, doubling what is there.
func readAll(from io.Reader, length int64, hold func(yuccaid.Bytes) bool) ([]byte, error) {
	var raw []byte
	for {
		if len(raw) == cap(raw) {
			size := max(2*cap(raw), firstPiece)
			if length >= 0 {
				// One byte more than the body finds its end without growing again.
				size = min(size, int(length)+1)
			}
			size = max(size, cap(raw)+1)
			if !hold(yuccaid.Bytes(size - cap(raw))) {
				return nil, errNoRoom
			}
			grown := make([]byte, len(raw), size)
			copy(grown, raw)
			raw = grown
		}
		got, err := from.Read(raw[len(raw):cap(raw)])
		raw = raw[:len(raw)+got]
		if err == io.EOF {
			return raw, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
