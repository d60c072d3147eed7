package yuccaplace

import (
	"slices"
	"sort"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// prefixes knows for each recorded block which targets hold it.
//
// The index runs from block to targets, so that a request asks once for its prompt
// and not once for each target.
type prefixes struct {
	holders map[uint64][]*TargetState
}

func (pre *prefixes) add(hash uint64, node *TargetState) {
	pre.holders[hash] = append(pre.holders[hash], node)
}

func (pre *prefixes) drop(hash uint64, node *TargetState) {
	list := pre.holders[hash]
	at := slices.Index(list, node)
	if at < 0 {
		return
	}
	last := len(list) - 1
	list[at] = list[last]
	list[last] = nil
	if last == 0 {
		delete(pre.holders, hash)
		return
	}
	pre.holders[hash] = list[:last]
}

// sent records that a prompt went to a target. The deepest block is touched first:
// then the last block of a chain is evicted before the ones it builds on, as in the
// engines, and holding a block implies holding those before it.
func (pre *prefixes) sent(node *TargetState, hashes []uint64) {
	hashes = hashes[:min(len(hashes), maxPrefixes, node.cache.limit)]
	stored := 0
	for _, hash := range slices.Backward(hashes) {
		if pre.touch(node, hash) {
			stored++
		}
	}
	node.cache.note(len(hashes)-stored, stored)
}

// touch records the use of a block and reports whether it is new there.
func (pre *prefixes) touch(node *TargetState, hash uint64) bool {
	evicted, gone, fresh := node.cache.touch(hash)
	if gone {
		pre.drop(evicted, node)
	}
	if fresh {
		pre.add(hash, node)
	}
	return fresh
}

// stored adds blocks that a target says it has. Those already recorded keep their
// place: the events come late and say nothing about the order of use.
func (pre *prefixes) stored(node *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		if _, found := node.cache.places[hash]; !found && node.cache.limit > 0 {
			pre.touch(node, hash)
		}
	}
}

func (pre *prefixes) evicted(node *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		if node.cache.drop(hash) {
			pre.drop(hash, node)
		}
	}
}

func (pre *prefixes) clear(node *TargetState) {
	for hash := range node.cache.places {
		pre.drop(hash, node)
	}
	node.cache = newRecord(node.Target.Cache)
}

// deepest returns how much of the prompt some target holds.
func (pre *prefixes) deepest(hashes []uint64) yuccaid.Tokens {
	hashes = hashes[:min(len(hashes), maxPrefixes)]
	depth := sort.Search(len(hashes), func(at int) bool { return len(pre.holders[hashes[at]]) == 0 })
	return yuccaid.Tokens(depth) * yuccaqueue.BlockTokens
}

// mark notes on every target how much of the prompt it holds, under a new stamp, and
// returns the longest. The depth at which any target holds the prompt is found by
// bisection, and the walk back ends once every holder of the first block is known.
func (pre *prefixes) mark(stamp uint64, hashes []uint64) yuccaid.Tokens {
	hashes = hashes[:min(len(hashes), maxPrefixes)]
	if len(hashes) == 0 || len(pre.holders[hashes[0]]) == 0 {
		return 0
	}
	depth := sort.Search(len(hashes), func(at int) bool { return len(pre.holders[hashes[at]]) == 0 })
	seen := 0
	for at := depth - 1; at >= 0 && seen < len(pre.holders[hashes[0]]); at-- {
		for _, node := range pre.holders[hashes[at]] {
			if node.stamp != stamp {
				node.stamp = stamp
				node.hit = yuccaid.Tokens(at+1) * yuccaqueue.BlockTokens
				seen++
			}
		}
	}
	return yuccaid.Tokens(depth) * yuccaqueue.BlockTokens
}
