package yuccaplace

import "yuccacleat/core/yuccaid"

// Target is the configuration of one target of a pool.
//
// Prefill and Decode are initial estimates that observations replace; Decode is the
// rate of one answer, not of the whole batch. Cache is the size of the prefix cache. A
// plain service has slots, but no rates in tokens and no cache.
type Target struct {
	Name    yuccaid.Target
	Slots   int
	Prefill yuccaid.TokenRate
	Decode  yuccaid.TokenRate
	Cache   yuccaid.Tokens
	Leaving bool
}

// Policy holds the weights in the cost of a target: GoodputWeight for the time until
// the answer is complete, WasteWeight for prefill that another target's cache would
// have saved. A zero weight means 1.
type Policy struct {
	GoodputWeight float64
	WasteWeight   float64
}
