package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
)

// Target is the configuration of one target.
type Target = yuccaplace.Target

// Policy weighs goodput against wasted prefill.
type Policy = yuccaplace.Policy

// Limits bounds one client account's use of the pool; a zero field sets no limit. Running
// is the number of requests that may run at the same time.
type Limits struct {
	RequestsPerSecond float64
	Running           int
	TokensPerSecond   yuccaid.TokenRate
}

// AccountConfig is the configuration of one client account.
//
// Weight is the account's weight in the fair order within a tier. Targets lists the
// targets that the account may use; an empty list allows all targets of the pool.
type AccountConfig struct {
	Weight  int
	Limits  Limits
	Targets []yuccaid.Target
}

// PoolConfig is the part of the configuration that concerns one pool in one data
// centre.
//
// PlainService marks a service that is not a model: its targets have slots but process no
// tokens, and no run is cancelled. LongestRun bounds how long any run keeps its slot. It
// ensures that the slot becomes free even if the run's owner is lost and never reports the
// end of the run.
type PoolConfig struct {
	ConfigNumber yuccaid.ConfigNumber
	Targets      []Target
	Accounts     map[yuccaid.Account]AccountConfig
	Policy       Policy
	PlainService bool
	LongestRun   time.Duration
}
