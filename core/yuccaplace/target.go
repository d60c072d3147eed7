package yuccaplace

import "yuccacleat/core/yuccaid"

// Target is what the configuration says of one target of a pool.
//
// Prefill and Decode are first guesses that observation replaces; Decode is the rate
// of one answer, not of the whole batch. A plain service has slots only.
type Target struct {
	Name    yuccaid.Target
	Slots   int
	Prefill yuccaid.TokenRate
	Decode  yuccaid.TokenRate
	Cache   yuccaid.Tokens
	Leaving bool
}

// Policy weighs goodput against wasted prefill; zero values mean one each.
type Policy struct {
	GoodputWeight float64
	WasteWeight   float64
}
