package yuccaplace

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// block is one prefix block, of yuccaqueue.BlockTokens prompt tokens, in a cacheModel.
// newer and older are the positions of its neighbours in the order of last use, or
// noBlock.
type block struct {
	hash         uint64
	newer, older int32
}

// cacheModel is the leader's estimate of which prefix blocks a target's cache holds.
// The model holds as many blocks as the engine's cache and evicts the least recently
// used block first.
//
// The engines publish their cache events late and with gaps. The model is therefore
// built from the prompts that were sent to the target, and the events only correct it.
type cacheModel struct {
	limit  int              // in blocks
	index  map[uint64]int32 // position in the slice blocks, by hash
	blocks []block
	free   []int32 // unused positions in the slice blocks
	newest int32   // position of the most recently used block, or noBlock
	oldest int32   // position of the least recently used block, or noBlock
	// hits and stored are moving averages over prompts: how many blocks of a prompt
	// were found in the model, and how many were added to it.
	hits   float64
	stored float64
}

// updateAverages adds one prompt's numbers of found and added blocks to the averages.
func (model *cacheModel) updateAverages(hits, stored int) {
	model.hits += evictionCostWeight * (float64(hits) - model.hits)
	model.stored += evictionCostWeight * (float64(stored) - model.stored)
}

// evictionCost estimates how many blocks will have to be computed again later for each
// block that is evicted now: the average number of blocks found per prompt, divided by
// the average number added, up to maxEvictionCost. The cost is 0 while the cache isn't
// full, because nothing is evicted then.
func (model *cacheModel) evictionCost() float64 {
	if len(model.index) < model.limit || model.stored <= 0 {
		return 0
	}
	return min(model.hits/model.stored, maxEvictionCost)
}

// noBlock stands for the position of a block that doesn't exist.
const noBlock = -1

func newCacheModel(cache yuccaid.Tokens) cacheModel {
	return cacheModel{
		limit:  int(cache / yuccaqueue.BlockTokens),
		index:  map[uint64]int32{},
		newest: noBlock,
		oldest: noBlock,
	}
}

// touch makes a block the most recently used one and adds it if it is absent. It
// returns the hash of the block that was evicted for it, whether a block was evicted,
// and whether the touched block was added.
func (model *cacheModel) touch(hash uint64) (evicted uint64, didEvict, added bool) {
	if model.limit == 0 {
		return 0, false, false
	}
	if at, found := model.index[hash]; found {
		model.unlink(at)
		model.link(at)
		return 0, false, false
	}
	if len(model.index) >= model.limit {
		evicted, didEvict = model.blocks[model.oldest].hash, true
		model.drop(evicted)
	}
	at := model.allocate()
	model.blocks[at].hash = hash
	model.index[hash] = at
	model.link(at)
	return evicted, didEvict, true
}

// drop removes a block and reports whether the model held it.
func (model *cacheModel) drop(hash uint64) bool {
	at, found := model.index[hash]
	if !found {
		return false
	}
	model.unlink(at)
	delete(model.index, hash)
	model.free = append(model.free, at)
	return true
}

// allocate returns an unused position in the slice blocks.
func (model *cacheModel) allocate() int32 {
	if last := len(model.free) - 1; last >= 0 {
		at := model.free[last]
		model.free = model.free[:last]
		return at
	}
	model.blocks = append(model.blocks, block{})
	return int32(len(model.blocks) - 1)
}

// link makes the block at the position the most recently used one.
func (model *cacheModel) link(at int32) {
	model.blocks[at].newer, model.blocks[at].older = noBlock, model.newest
	if model.newest != noBlock {
		model.blocks[model.newest].newer = at
	} else {
		model.oldest = at
	}
	model.newest = at
}

// unlink takes the block at the position out of the order of last use.
func (model *cacheModel) unlink(at int32) {
	removed := model.blocks[at]
	if removed.newer != noBlock {
		model.blocks[removed.newer].older = removed.older
	} else {
		model.newest = removed.older
	}
	if removed.older != noBlock {
		model.blocks[removed.older].newer = removed.newer
	} else {
		model.oldest = removed.newer
	}
}
