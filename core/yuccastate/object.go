package yuccastate

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Kind names a sort of object in the configuration, as notes spell it.
type Kind string

// The kinds, in the order in which checks and texts go through them.
const (
	KindCentre  Kind = "centres"
	KindLink    Kind = "links"
	KindTier    Kind = "tiers"
	KindPool    Kind = "pools"
	KindTarget  Kind = "targets"
	KindAccount Kind = "accounts"
	KindPolicy  Kind = "policy"
)

// PoolKind says what stands behind a pool.
type PoolKind string

const (
	// PoolModel is a pool of engines that generate from prompts.
	PoolModel PoolKind = "model"
	// PoolService is a pool of plain services.
	PoolService PoolKind = "service"
)

// Centre is a data centre.
type Centre struct {
	Region yuccaid.Region `json:"region,omitempty"`
}

// Link is what it costs to send traffic out of a region.
type Link struct {
	PricePerGigabyte float64       `json:"pricePerGigabyte,omitempty"`
	Delay            time.Duration `json:"delay,omitempty"`
}

// Tier is a priority tier; rank 0 is the most urgent and no two tiers share a rank.
type Tier struct {
	Rank int `json:"rank"`
}

// Operation is a kind of request that a pool serves.
type Operation struct {
	Idempotent bool `json:"idempotent"`
}

// Operations is the kinds of request that a pool serves.
type Operations map[yuccaid.Operation]Operation

// Pool is the targets of one model or of one plain service.
type Pool struct {
	Kind       PoolKind      `json:"kind,omitempty"`
	Operations Operations    `json:"operations,omitempty"`
	LongestRun time.Duration `json:"longestRun,omitempty"`
	Setup      EngineSetup   `json:"wish,omitzero"`
}

// EngineSetup is what an engine shall have loaded; an empty field wishes nothing.
type EngineSetup struct {
	Model    yuccaid.Model   `json:"model,omitempty"`
	Version  string          `json:"version,omitempty"`
	Adapters []yuccaid.Model `json:"adapters,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// Target is one back end; its own wish, field by field, goes before its pool's.
type Target struct {
	Pool        yuccaid.Pool      `json:"pool,omitempty"`
	Centre      yuccaid.Centre    `json:"centre,omitempty"`
	VM          yuccaid.VM        `json:"vm,omitempty"`
	Address     string            `json:"address,omitempty"`
	Slots       int               `json:"slots,omitempty"`
	Prefill     yuccaid.TokenRate `json:"prefill,omitempty"`
	Decode      yuccaid.TokenRate `json:"decode,omitempty"`
	Cache       yuccaid.Tokens    `json:"cache,omitempty"`
	ChecksFence bool              `json:"checksFence,omitempty"`
	Setup       EngineSetup       `json:"wish,omitzero"`
}

// Limits bounds what a client account may use; a field of 0 sets no bound.
type Limits struct {
	RequestsPerSecond float64           `json:"requestsPerSecond,omitempty"`
	Running           int               `json:"running,omitempty"`
	TokensPerSecond   yuccaid.TokenRate `json:"tokensPerSecond,omitempty"`
}

// Account is a client account; without targets of its own it may use all targets
// of its pools.
type Account struct {
	Credential yuccaid.Digest   `json:"credential,omitempty"`
	Tiers      []yuccaid.Tier   `json:"tiers,omitempty"`
	Pools      []yuccaid.Pool   `json:"pools,omitempty"`
	Targets    []yuccaid.Target `json:"targets,omitempty"`
	Weight     int              `json:"weight,omitempty"`
	Limits     Limits           `json:"limits,omitzero"`
}

// Policy weighs the two objectives against each other.
type Policy struct {
	GoodputWeight float64 `json:"goodputWeight,omitempty"`
	WasteWeight   float64 `json:"wasteWeight,omitempty"`
}

// Objects is a part of a configuration, as a note adds or changes it.
type Objects struct {
	Centres  map[yuccaid.Centre]Centre   `json:"centres,omitempty"`
	Links    map[yuccaid.Region]Link     `json:"links,omitempty"`
	Tiers    map[yuccaid.Tier]Tier       `json:"tiers,omitempty"`
	Pools    map[yuccaid.Pool]Pool       `json:"pools,omitempty"`
	Targets  map[yuccaid.Target]Target   `json:"targets,omitempty"`
	Accounts map[yuccaid.Account]Account `json:"accounts,omitempty"`
	Policy   *Policy                     `json:"policy,omitempty"`
}

// Names is what a note withdraws.
type Names struct {
	Centres  []yuccaid.Centre  `json:"centres,omitempty"`
	Links    []yuccaid.Region  `json:"links,omitempty"`
	Tiers    []yuccaid.Tier    `json:"tiers,omitempty"`
	Pools    []yuccaid.Pool    `json:"pools,omitempty"`
	Targets  []yuccaid.Target  `json:"targets,omitempty"`
	Accounts []yuccaid.Account `json:"accounts,omitempty"`
}
