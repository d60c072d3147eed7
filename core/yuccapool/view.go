package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
)

// Target is what the configuration says of one target.
type Target = yuccaplace.Target

// Policy weighs goodput against wasted prefill.
type Policy = yuccaplace.Policy

// Limits bounds one client account at this pool; a zero field sets no limit.
type Limits struct {
	RequestsPerSecond float64
	Running           int
	TokensPerSecond   yuccaid.TokenRate
}

// AccountConfig is what the leader has to know of a client account.
//
// Targets lists what it may use; none listed means every target of the pool.
type AccountConfig struct {
	Weight  int
	Limits  Limits
	Targets []yuccaid.Target
}

// PoolConfig is the part of the configuration that concerns one pool in one data centre.
//
// Plain marks a plain service: slots, no tokens, nothing cancelled. LongestRun bounds
// how long a run of a lost owner keeps its slot.
type PoolConfig struct {
	ConfigNumber yuccaid.ConfigNumber
	Targets      []Target
	Accounts     map[yuccaid.Account]AccountConfig
	Policy       Policy
	PlainService bool
	LongestRun   time.Duration
}
