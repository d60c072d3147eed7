package yuccaplace

import (
	"slices"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// prefixIndex is an index from the hash of each recorded block to the targets that hold
// the block.
type prefixIndex struct {
	yuccacache.Index[*TargetState]
}

// recordPrompt records that a prompt was sent to a target. The last block is touched
// first, so the last block of a prompt is evicted before the blocks that precede it, as
// in the engines. A target that holds a block therefore holds all preceding blocks of
// the prompt too.
func (pre *prefixIndex) recordPrompt(state *TargetState, hashes []uint64) {
	hashes = hashes[:min(len(hashes), maxPromptBlocks, int(state.cache.Limit()))]
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
	return pre.Touch(state, &state.cache.Model, yuccacache.Part{Hash: hash, Size: 1})
}

// addStored adds blocks that a target has reported. Blocks already recorded keep their
// position in the order of use, because cache events come late and don't report when a
// block was used.
func (pre *prefixIndex) addStored(state *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		if !state.cache.Holds(hash) {
			pre.touch(state, hash)
		}
	}
}

// removeEvicted removes blocks that a target has reported as evicted.
func (pre *prefixIndex) removeEvicted(state *TargetState, hashes []uint64) {
	for _, hash := range hashes {
		pre.Drop(state, &state.cache.Model, hash)
	}
}

// clear removes all blocks of a target and gives it an empty cache model.
func (pre *prefixIndex) clear(state *TargetState) {
	pre.Clear(state, &state.cache.Model)
	state.cache = newCacheModel(state.Target.Cache)
}

// longestHeld returns the largest number of prompt tokens that any target holds.
func (pre *prefixIndex) longestHeld(hashes []uint64) yuccaid.Tokens {
	return blockTokens(pre.LongestHeld(min(len(hashes), maxPromptBlocks), func(at int) uint64 { return hashes[at] }))
}

// markHeld sets heldPrefix and the given generation on every target that holds part of
// the prompt, and returns the largest heldPrefix.
func (pre *prefixIndex) markHeld(generation uint64, hashes []uint64) yuccaid.Tokens {
	longest := 0
	pre.VisitHeld(min(len(hashes), maxPromptBlocks), func(at int) uint64 { return hashes[at] }, func(state *TargetState, blocks int) bool {
		longest = max(longest, blocks)
		if state.generation == generation {
			return false
		}
		state.generation = generation
		state.heldPrefix = blockTokens(blocks)
		return true
	})
	return blockTokens(longest)
}

// blockTokens returns the number of prompt tokens in the given number of blocks.
func blockTokens(blocks int) yuccaid.Tokens {
	return yuccaid.Tokens(blocks) * yuccaqueue.BlockTokens
}
