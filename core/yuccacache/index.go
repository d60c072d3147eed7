package yuccacache

import (
	"slices"
	"sort"
)

// Part is one part of a prompt: the hash of the part and all parts before it, and the part's size.
type Part struct {
	Hash uint64
	Size int64
}

// Index records which engines hold each part. H identifies an engine. The zero value isn't usable;
// use NewIndex.
type Index[H comparable] struct {
	holders map[uint64][]H
}

// NewIndex returns an empty index.
func NewIndex[H comparable]() Index[H] {
	return Index[H]{holders: make(map[uint64][]H)}
}

// Len returns the number of parts that any engine holds.
func (idx *Index[H]) Len() int { return len(idx.holders) }

// Holders returns the engines that hold a part. The slice must not be modified.
func (idx *Index[H]) Holders(hash uint64) []H { return idx.holders[hash] }

// Touch records the use of a part on an engine in the engine's model and in the index, and reports
// whether the engine didn't hold the part before.
func (idx *Index[H]) Touch(holder H, mod *Model, part Part) (added bool) {
	added = mod.Touch(part.Hash, part.Size, func(evicted uint64) { idx.remove(holder, evicted) })
	if added {
		idx.holders[part.Hash] = append(idx.holders[part.Hash], holder)
	}
	return added
}

// Drop removes a part from an engine's model and from the index, and reports whether the engine held
// it.
func (idx *Index[H]) Drop(holder H, mod *Model, hash uint64) bool {
	if !mod.Drop(hash) {
		return false
	}
	idx.remove(holder, hash)
	return true
}

// Clear removes all parts of an engine from the index.
func (idx *Index[H]) Clear(holder H, mod *Model) {
	for _, hash := range mod.Hashes() {
		idx.Drop(holder, mod, hash)
	}
}

// remove removes an engine from the holders of a part.
func (idx *Index[H]) remove(holder H, hash uint64) {
	list := idx.holders[hash]
	at := slices.Index(list, holder)
	if at < 0 {
		return
	}
	last := len(list) - 1
	list[at] = list[last]
	clear(list[last:])
	if last == 0 {
		delete(idx.holders, hash)
		return
	}
	idx.holders[hash] = list[:last]
}

// LongestHeld returns how many parts from the start of a prompt any one engine holds. The parts are
// given in the order of the prompt.
func (idx *Index[H]) LongestHeld(count int, hashAt func(at int) uint64) int {
	return sort.Search(count, func(at int) bool { return len(idx.holders[hashAt(at)]) == 0 })
}

// VisitHeld calls visit for each engine that holds the start of a prompt, with the number of parts
// from the start of the prompt that the engine holds, the engines with the most parts first. An
// engine may be visited again with a smaller number; visit returns whether the engine is visited for
// the first time.
//
// The parts of a prompt are recorded so that an engine which holds a part holds all parts before it.
// The walk back from the last held part therefore ends once every holder of the first part was
// visited.
func (idx *Index[H]) VisitHeld(count int, hashAt func(at int) uint64, visit func(holder H, parts int) (first bool)) {
	if count == 0 || len(idx.holders[hashAt(0)]) == 0 {
		return
	}
	visited, all := 0, len(idx.holders[hashAt(0)])
	for at := idx.LongestHeld(count, hashAt) - 1; at >= 0 && visited < all; at-- {
		for _, holder := range idx.holders[hashAt(at)] {
			if visit(holder, at+1) {
				visited++
			}
		}
	}
}
