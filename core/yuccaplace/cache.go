package yuccaplace

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// block is one recorded prefix block in a target's cache, linked by last use.
type block struct {
	hash         uint64
	newer, older int32
}

// record is what the leader believes a target's prefix cache holds, the least
// recently used block first out, bounded by the engine's own cache.
//
// The engines publish their cache late and with gaps, so the record is made from what
// was sent there and merely corrected by the events.
type record struct {
	limit  int
	places map[uint64]int32
	blocks []block
	free   []int32
	newest int32
	oldest int32
	// hits and stored count blocks that were found and blocks that were new, both
	// fading with each prompt.
	hits   float64
	stored float64
}

// note counts what a prompt found and what it stored.
func (rec *record) note(hits, stored int) {
	rec.hits += valueWeight * (float64(hits) - rec.hits)
	rec.stored += valueWeight * (float64(stored) - rec.stored)
}

// worth is how many blocks were found lately for each that was stored: what pushing a
// block out of a full cache is likely to cost later.
func (rec *record) worth() float64 {
	if len(rec.places) < rec.limit || rec.stored <= 0 {
		return 0
	}
	return min(rec.hits/rec.stored, mostWorth)
}

const none = -1

func newRecord(cache yuccaid.Tokens) record {
	return record{
		limit:  int(cache / yuccaqueue.BlockTokens),
		places: map[uint64]int32{},
		newest: none,
		oldest: none,
	}
}

// touch makes a block the most recently used; it returns the hash that had to go for
// it and whether the block is new.
func (rec *record) touch(hash uint64) (evicted uint64, gone, fresh bool) {
	if rec.limit == 0 {
		return 0, false, false
	}
	if at, found := rec.places[hash]; found {
		rec.unlink(at)
		rec.link(at)
		return 0, false, false
	}
	if len(rec.places) >= rec.limit {
		evicted, gone = rec.blocks[rec.oldest].hash, true
		rec.drop(evicted)
	}
	at := rec.slot()
	rec.blocks[at].hash = hash
	rec.places[hash] = at
	rec.link(at)
	return evicted, gone, true
}

func (rec *record) drop(hash uint64) bool {
	at, found := rec.places[hash]
	if !found {
		return false
	}
	rec.unlink(at)
	delete(rec.places, hash)
	rec.free = append(rec.free, at)
	return true
}

func (rec *record) slot() int32 {
	if last := len(rec.free) - 1; last >= 0 {
		at := rec.free[last]
		rec.free = rec.free[:last]
		return at
	}
	rec.blocks = append(rec.blocks, block{})
	return int32(len(rec.blocks) - 1)
}

func (rec *record) link(at int32) {
	rec.blocks[at].newer, rec.blocks[at].older = none, rec.newest
	if rec.newest != none {
		rec.blocks[rec.newest].newer = at
	} else {
		rec.oldest = at
	}
	rec.newest = at
}

func (rec *record) unlink(at int32) {
	one := rec.blocks[at]
	if one.newer != none {
		rec.blocks[one.newer].older = one.older
	} else {
		rec.newest = one.older
	}
	if one.older != none {
		rec.blocks[one.older].newer = one.newer
	} else {
		rec.oldest = one.newer
	}
}
