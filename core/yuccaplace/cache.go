package yuccaplace

import (
	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// cacheModel is the leader's estimate of which prefix blocks, of yuccaqueue.BlockTokens prompt
// tokens each, a target's cache holds.
//
// The engines publish their cache events late and with gaps. The model is therefore
// built from the prompts that were sent to the target, and the events only correct it.
type cacheModel struct {
	yuccacache.Model
	// hits and stored are moving averages over prompts: how many blocks of a prompt
	// were found in the model, and how many were added to it.
	hits   float64
	stored float64
}

func newCacheModel(cache yuccaid.Tokens) cacheModel {
	return cacheModel{Model: yuccacache.New(int64(cache/yuccaqueue.BlockTokens), 0)}
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
	if !model.Full(1) || model.stored <= 0 {
		return 0
	}
	return min(model.hits/model.stored, maxEvictionCost)
}
