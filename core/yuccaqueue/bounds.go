package yuccaqueue

import "yuccacleat/core/yuccaid"

// Bounds limits what may wait. A queue without bounds turns an overload into waits
// that no deadline survives, and then serves only requests that are already late.
//
// A bound in tokens may be overrun by the last request that was let in, so that a
// long prompt is never refused merely because many short ones wait.
type Bounds struct {
	Requests          int
	Tokens            yuccaid.Tokens
	AccountRequests   int
	AccountTokens     yuccaid.Tokens
	LowerTierRequests int
	LowerTierTokens   yuccaid.Tokens
}

// DefaultBounds returns the bounds of a queue that was given none.
func DefaultBounds() Bounds {
	return BoundsFor(defaultRequests, defaultTokens)
}

// BoundsFor derives the bounds of accounts and of the lower tiers from the pool's.
func BoundsFor(requests int, tokens yuccaid.Tokens) Bounds {
	part := func(share float64) (int, yuccaid.Tokens) {
		return max(int(float64(requests)*share), 1), max(yuccaid.Tokens(float64(tokens)*share), 1)
	}
	bounds := Bounds{Requests: requests, Tokens: tokens}
	bounds.AccountRequests, bounds.AccountTokens = part(accountShare)
	bounds.LowerTierRequests, bounds.LowerTierTokens = part(lowerShare)
	return bounds
}

func (bounds *Bounds) poolFull(ld load) bool {
	return ld.requests >= bounds.Requests || ld.tokens >= bounds.Tokens
}

func (bounds *Bounds) accountFull(ld load) bool {
	return ld.requests >= bounds.AccountRequests || ld.tokens >= bounds.AccountTokens
}

func (bounds *Bounds) lowerFull(ld load) bool {
	return ld.requests >= bounds.LowerTierRequests || ld.tokens >= bounds.LowerTierTokens
}
