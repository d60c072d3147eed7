package yuccadaemon

import (
	"context"
	"sync"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// Piece is one part of an answer; positions count from zero without gaps.
type Piece struct {
	Position int    `msgpack:"position" json:"position"`
	Data     []byte `msgpack:"data" json:"data"`
}

// Answer collects the pieces of one request and lets any number of readers follow
// it from any position until its outcome.
type Answer struct {
	id   yuccaid.RequestID
	base int

	mu      sync.Mutex
	pieces  []Piece
	bytes   yuccaid.Bytes
	outcome *yuccaonce.Outcome
	changed chan struct{}
	readers int
	seen    bool
	// leave, if set, is called each time the last reader goes.
	leave func()
}

func newAnswer(id yuccaid.RequestID) *Answer {
	return &Answer{id: id, changed: make(chan struct{})}
}

// ID returns the request that is answered.
func (ans *Answer) ID() yuccaid.RequestID {
	return ans.id
}

// Next waits for pieces from a position on, or for the outcome once there are none
// left; it fails only when the context ends.
func (ans *Answer) Next(ctx context.Context, from int) ([]Piece, *yuccaonce.Outcome, error) {
	for {
		ans.mu.Lock()
		pieces, outcome, changed := ans.after(from)
		ans.mu.Unlock()
		if len(pieces) > 0 || outcome != nil {
			return pieces, outcome, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, nil, ctx.Err()
		}
	}
}

// Join counts a reader in.
func (ans *Answer) Join() {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.readers++
}

// Leave counts a reader out; told says that the reader got the outcome.
func (ans *Answer) Leave(told bool) {
	ans.mu.Lock()
	ans.readers--
	ans.seen = ans.seen || told
	last := ans.readers == 0
	ans.mu.Unlock()
	if last && ans.leave != nil {
		ans.leave()
	}
}

// delivered reports whether some reader was told the outcome and none still reads.
func (ans *Answer) delivered() bool {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	return ans.seen && ans.readers == 0
}

// abandoned reports whether nobody reads an answer that has not ended.
func (ans *Answer) abandoned() bool {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	return ans.readers == 0 && ans.outcome == nil
}

func (ans *Answer) after(from int) ([]Piece, *yuccaonce.Outcome, <-chan struct{}) {
	index := max(from-ans.base, 0)
	if index < len(ans.pieces) {
		return ans.pieces[index:len(ans.pieces):len(ans.pieces)], nil, nil
	}
	return nil, ans.outcome, ans.changed
}

func (ans *Answer) add(data []byte) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	ans.pieces = append(ans.pieces, Piece{Position: ans.base + len(ans.pieces), Data: data})
	ans.bytes += yuccaid.Bytes(len(data))
	ans.wake()
}

// next is the position of the piece that must come next.
func (ans *Answer) next() int {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	return ans.base + len(ans.pieces)
}

// size is what the answer costs in memory.
func (ans *Answer) size() yuccaid.Bytes {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	return ans.bytes
}

func (ans *Answer) end(outcome yuccaonce.Outcome) {
	ans.mu.Lock()
	defer ans.mu.Unlock()
	if ans.outcome != nil {
		return
	}
	ans.outcome = &outcome
	ans.wake()
}

func (ans *Answer) wake() {
	close(ans.changed)
	ans.changed = make(chan struct{})
}
