package yuccaplace

import (
	"slices"
	"sort"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// prefixIndex is an index from the hash of each recorded block to the targets that hold
// the block. With it a prompt is looked up once, and not once for each target.
type prefixIndex struct {
	holders map[uint64][]*TargetState
}

func (pre *prefixIndex) add(hash uint64, state *TargetState) {
	pre.holders[hash] = append(pre.holders[hash], state)
}

func (pre *prefixIndex) drop(hash uint64, state *TargetState) {
	list := pre.holders[hash]
	at := slices.Index(list, state)
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

// recordPrompt records that a prompt was sent to a target. The last block is touched
// first, so the last block of a prompt is evicted before the blocks that precede it, as
// in the engines. A target that holds a block therefore holds all preceding blocks of
// the prompt too.
func (pre *prefixIndex) recordPrompt(state *TargetState, hashes []uint64) {
	hashes = hashes[:min(len(hashes), maxPromptBlocks, state.cache.limit)]
	stored := 0
	for _, hash := range slices.Backward(hashes) {
		if pre.touch(state, hash) {
			stored++
		}
	}
	state.cache.updateAverages(len(hashes)-stored, stored)
}

// touch records the use of a block and reports whether the target didn't hold it
// before.
func (pre *prefixIndex) touch(state *TargetState, hash uint64) bool {
	evicted, didEvict, added := state.cache.touch(hash)
	if didEvict {
		pre.drop(evicted, state)
	}
	if added {
		pre.add(hash, state)
	}
	return added
}

// addStored adds blocks that a target has reported. Blocks already recorded keep their
// position in the order of use, because cache events come late and don't report when a
// block was used.
func (pre *prefixIndex) addStored(state *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		if _, found := state.cache.index[hash]; !found && state.cache.limit > 0 {
			pre.touch(state, hash)
		}
	}
}

// removeEvicted removes blocks that a target has reported as evicted.
func (pre *prefixIndex) removeEvicted(state *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		if state.cache.drop(hash) {
			pre.drop(hash, state)
		}
	}
}

// clear removes all blocks of a target and gives it an empty cache model.
func (pre *prefixIndex) clear(state *TargetState) {
	for hash := range state.cache.index {
		pre.drop(hash, state)
	}
	state.cache = newCacheModel(state.Target.Cache)
}

// longestHeld returns the largest number of prompt tokens that any target holds.
func (pre *prefixIndex) longestHeld(hashes []uint64) yuccaid.Tokens {
	hashes = hashes[:min(len(hashes), maxPromptBlocks)]
	heldBlocks := sort.Search(len(hashes), func(at int) bool { return len(pre.holders[hashes[at]]) == 0 })
	return yuccaid.Tokens(heldBlocks) * yuccaqueue.BlockTokens
}

// markHeld sets heldPrefix and the given generation on every target that holds part of
// the prompt, and returns the largest heldPrefix. Bisection finds the number of leading
// blocks that any target holds; the walk back from the last of these blocks ends once
// every holder of the first block is marked.
func (pre *prefixIndex) markHeld(generation uint64, hashes []uint64) yuccaid.Tokens {
	hashes = hashes[:min(len(hashes), maxPromptBlocks)]
	if len(hashes) == 0 || len(pre.holders[hashes[0]]) == 0 {
		return 0
	}
	heldBlocks := sort.Search(len(hashes), func(at int) bool { return len(pre.holders[hashes[at]]) == 0 })
	marked := 0
	for at := heldBlocks - 1; at >= 0 && marked < len(pre.holders[hashes[0]]); at-- {
		for _, state := range pre.holders[hashes[at]] {
			if state.generation != generation {
				state.generation = generation
				state.heldPrefix = yuccaid.Tokens(at+1) * yuccaqueue.BlockTokens
				marked++
			}
		}
	}
	return yuccaid.Tokens(heldBlocks) * yuccaqueue.BlockTokens
}
