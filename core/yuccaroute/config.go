package yuccaroute

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Config is what operators publish.
type Config struct {
	Routes   []Route
	Pools    []Pool
	Accounts []Account
	Limits   Limits
}

// Route sends the requests of one host whose path begins with a prefix to a pool.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Resumable says that another target may go on with a stream that broke off.
	Resumable bool
	// Timeout is the longest that a request may be kept without its final answer.
	Timeout time.Duration
	// LatencyTarget is the time to the whole answer, or to a stream's first event, that counts as
	// on time.
	LatencyTarget time.Duration
	// MaxGap is the longest pause between two events that counts as on time.
	MaxGap time.Duration
	// Rank orders requests under load; 0 is the most urgent.
	Rank int
	// Pools are the pools that share the route, by weight.
	Pools []PoolWeight
	// Attempts bounds how many targets may run one request.
	Attempts int
	// AllowAnonymous says that requests need no key.
	AllowAnonymous bool
}

// PoolWeight is the part of a route's requests that one pool gets.
type PoolWeight struct {
	Pool   yuccaid.Pool
	Weight int
}

// Pool is a set of targets that serve the same requests.
type Pool struct {
	Name yuccaid.Pool
	// MaxConnections bounds the connections that one target accepts from all daemons.
	MaxConnections int
	// Engine holds what is known of a model's engines, nil for a plain service.
	Engine *Engine
}

// Engine is what the configuration says of the engines of a pool.
type Engine struct {
	Slots int
	Cache yuccaid.Tokens
}

// Account is a client account with its keys.
type Account struct {
	Name yuccaid.Account
	Keys []string
	// HasRank says that Rank goes before the rank of the route.
	HasRank bool
	Rank    int
	Quota   Quota
}

// Quota limits an account over all daemons; a zero Rate sets no limit.
type Quota struct {
	// Rate is in units a second and Burst in units.
	Rate  float64
	Burst float64
	// PerToken says that a request counts by its tokens, else each counts one.
	PerToken bool
	// DefaultTokens is what a request counts whose tokens are not known.
	DefaultTokens yuccaid.Tokens
}

// Limited reports whether there is a limit.
func (quota Quota) Limited() bool {
	return quota.Rate > 0
}

// Cost returns what a request of so many tokens counts; zero tokens are unknown.
func (quota Quota) Cost(tokens yuccaid.Tokens) float64 {
	if !quota.PerToken {
		return 1
	}
	if tokens <= 0 {
		tokens = quota.DefaultTokens
	}
	return float64(tokens)
}

// Limits bounds what callers may send and how long they may take; a zero field sets none.
type Limits struct {
	Header        yuccaid.Bytes
	Body          yuccaid.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
