package yuccaqueue

import "yuccacleat/core/yuccaid"

// Bounds limits the number and the tokens of waiting requests: of the whole queue, of
// one client account, and of all tiers below the top one together.
//
// Without bounds an overload turns into waits longer than any deadline, and the queue
// then serves only requests that are already late. The last admitted request may exceed
// a bound in tokens, so that a long prompt is never refused merely because many short
// ones wait.
type Bounds struct {
	Requests          int
	Tokens            yuccaid.Tokens
	AccountRequests   int
	AccountTokens     yuccaid.Tokens
	LowerTierRequests int
	LowerTierTokens   yuccaid.Tokens
}

// DefaultBounds returns the bounds of a queue that is constructed without WithBounds.
func DefaultBounds() Bounds {
	return BoundsFor(defaultRequests, defaultTokens)
}

// BoundsFor returns the bounds of a queue that holds the given numbers of requests and
// tokens. The bounds of each account and of the lower tiers are fixed fractions of them.
func BoundsFor(requests int, tokens yuccaid.Tokens) Bounds {
	scale := func(fraction float64) (int, yuccaid.Tokens) {
		return max(int(float64(requests)*fraction), 1), max(yuccaid.Tokens(float64(tokens)*fraction), 1)
	}
	bounds := Bounds{Requests: requests, Tokens: tokens}
	bounds.AccountRequests, bounds.AccountTokens = scale(accountFraction)
	bounds.LowerTierRequests, bounds.LowerTierTokens = scale(lowerTierFraction)
	return bounds
}

func (bounds *Bounds) queueFull(ld load) bool {
	return ld.requests >= bounds.Requests || ld.tokens >= bounds.Tokens
}

func (bounds *Bounds) accountFull(ld load) bool {
	return ld.requests >= bounds.AccountRequests || ld.tokens >= bounds.AccountTokens
}

func (bounds *Bounds) lowerTiersFull(ld load) bool {
	return ld.requests >= bounds.LowerTierRequests || ld.tokens >= bounds.LowerTierTokens
}
