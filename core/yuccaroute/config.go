package yuccaroute

import (
	"time"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// Config is a complete routing configuration as operators publish it.
type Config struct {
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Route selects requests and names the pools that serve them. It selects the requests that
// are sent to one host and whose path begins with a prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable reports whether another target may continue a stream that was interrupted.
	Resumable bool
	// Timeout is the longest time from the arrival of a request to its complete answer.
	Timeout time.Duration
	// LatencyTarget is the longest time to the complete answer, or to the first event of a
	// stream, that counts as on time.
	LatencyTarget time.Duration
	// MaxGap is the longest gap between two events of a stream that counts as on time.
	MaxGap time.Duration
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Pools are the pools among which the route's requests are divided.
	Pools []PoolWeight
	// Attempts is the largest number of targets that may run one request.
	Attempts int
	// AllowAnonymous reports whether requests are accepted without a key.
	AllowAnonymous bool
	// Regions are the regions in which the route's requests may be served.
	Regions yuccaregion.Set
}

// PoolWeight is a pool with its weight, relative to the other pools of the route.
type PoolWeight struct {
	Pool   yuccaid.Pool
	Weight int
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name yuccaid.Pool
	// MaxConnections is the number of connections that one target accepts from all daemons
	// together.
	MaxConnections int
	// Engine describes the pool's model engines. It is nil if the pool runs no model.
	Engine *Engine
	// Cold says for how long the pool's targets are cold and what they bear meanwhile.
	Cold yuccacold.Limit
}

// Engine describes each engine of a pool. Slots is how many requests the engine runs at once.
// CacheTokens is the size of its KV cache in tokens. FetchRate is how many tokens a second the engine
// can fetch from the cache of another one, zero if it can't.
type Engine struct {
	Slots       int
	CacheTokens yuccaid.Tokens
	FetchRate   float64
}

// Account is a client account. Keys are the account's keys: a request that carries one of them
// belongs to the account.
type Account struct {
	Name yuccaid.Account
	Keys []string
	// HasRank reports whether Rank replaces the rank of the route.
	HasRank bool
	Rank    int
	Quota   Quota
	// Regions are the regions in which the account's requests may be served. Where the route is limited to
	// regions too, a request may be served only in those of both.
	Regions yuccaregion.Set
}

// Quota limits the requests of an account over all daemons. A zero Rate means no limit.
type Quota struct {
	// Rate is in units per second and Burst in units. A unit is a token or a request, see PerToken.
	Rate  float64
	Burst float64
	// PerToken reports whether a request costs its number of tokens. Otherwise it costs 1.
	PerToken bool
	// DefaultTokens is the cost of a request whose number of tokens isn't known.
	DefaultTokens yuccaid.Tokens
}

// Limited reports whether the quota sets a limit.
func (quota Quota) Limited() bool {
	return quota.Rate > 0
}

// Cost returns the cost of a request in units. Zero tokens mean that the number isn't known.
func (quota Quota) Cost(tokens yuccaid.Tokens) float64 {
	if !quota.PerToken {
		return 1
	}
	if tokens <= 0 {
		tokens = quota.DefaultTokens
	}
	return float64(tokens)
}

// Limits bounds the size of requests and how long callers may take. A zero field means no limit.
type Limits struct {
	// Header and Body are the largest sizes of a request's header and body.
	Header yuccaid.Bytes
	Body   yuccaid.Bytes
	// HeaderTimeout is how long a caller may take to send the header, and IdleTimeout how long a
	// connection without a request is kept open.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
