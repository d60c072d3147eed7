package yuccatrial

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// Waste counts prompt tokens that were computed in vain, by cause.
type Waste struct {
	Evicted   yuccaid.Tokens // computed before in the pool, held nowhere any more
	Elsewhere yuccaid.Tokens // another target of the pool held them
	Cancelled yuccaid.Tokens // the run was cancelled for a higher tier
	Dropped   yuccaid.Tokens // the deadline passed after the prompt was begun
}

// Total adds up all causes.
func (wst Waste) Total() yuccaid.Tokens {
	return wst.Evicted + wst.Elsewhere + wst.Cancelled + wst.Dropped
}

// recomputed counts the tokens of one prompt that had been computed before.
type recomputed struct {
	evicted, elsewhere yuccaid.Tokens
}

// blockBook knows which blocks a pool ever computed and how many targets hold each.
type blockBook map[uint64]int

func (bok blockBook) recomputed(missing []uint64) recomputed {
	var again recomputed
	for _, block := range missing {
		holders, seen := bok[block]
		switch {
		case holders > 0:
			again.elsewhere += yuccaqueue.BlockTokens
		case seen:
			again.evicted += yuccaqueue.BlockTokens
		}
	}
	return again
}

func (bok blockBook) stored(stored, evicted []uint64) {
	for _, block := range stored {
		bok[block]++
	}
	for _, block := range evicted {
		bok[block]--
	}
}
