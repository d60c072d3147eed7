package yuccaplace

import "yuccacleat/core/yuccaid"

// Target is the configuration of one target of a pool.
//
// Prefill and Decode are initial estimates that observations replace; Decode is the
// rate of one answer, not of the whole batch. A plain service has only slots.
type Target struct {
	Name    yuccaid.Target
	Slots   int
	Prefill yuccaid.TokenRate
	Decode  yuccaid.TokenRate
	Cache   yuccaid.Tokens
	Leaving bool
}

// Policy weighs goodput against wasted prefill; a zero weight means 1.
type Policy struct {
	GoodputWeight float64
	WasteWeight   float64
}
