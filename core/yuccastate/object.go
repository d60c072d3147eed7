package yuccastate

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Kind is a kind of object in the configuration; its value is the key in notes.
type Kind string

// The kinds, in the order in which Apply, Diff and snapshots process them.
const (
	KindCentre  Kind = "centres"
	KindLink    Kind = "links"
	KindTier    Kind = "tiers"
	KindPool    Kind = "pools"
	KindTarget  Kind = "targets"
	KindAccount Kind = "accounts"
	KindPolicy  Kind = "policy"
)

// PoolKind is the kind of a pool's targets.
type PoolKind string

const (
	// PoolModel is a pool of inference engines, which generate answers from prompts.
	PoolModel PoolKind = "model"
	// PoolService is a pool of services that run no model.
	PoolService PoolKind = "service"
)

// Centre is a data centre.
type Centre struct {
	Region yuccaid.Region `json:"region,omitempty"`
}

// Link holds the price and delay of traffic that leaves a region; a link has the name
// of this region.
type Link struct {
	PricePerGigabyte float64       `json:"pricePerGigabyte,omitempty"`
	Delay            time.Duration `json:"delay,omitempty"`
}

// Tier is a priority tier; rank 0 is the most urgent and no two tiers share a rank.
type Tier struct {
	Rank int `json:"rank"`
}

// Operation is one kind of request that a pool serves.
type Operation struct {
	Idempotent bool `json:"idempotent"`
}

// Operations holds the kinds of request that a pool serves, by name.
type Operations map[yuccaid.Operation]Operation

// Pool is a group of targets that serve the same model or the same service. LongestRun
// is the longest time that a request may run on one of the pool's targets.
type Pool struct {
	Kind       PoolKind      `json:"kind,omitempty"`
	Operations Operations    `json:"operations,omitempty"`
	LongestRun time.Duration `json:"longestRun,omitempty"`
	Setup      EngineSetup   `json:"wish,omitzero"`
}

// EngineSetup is what an engine should have loaded; an empty field makes no demand.
type EngineSetup struct {
	Model    yuccaid.Model   `json:"model,omitempty"`
	Version  string          `json:"version,omitempty"`
	Adapters []yuccaid.Model `json:"adapters,omitempty"`
	Role     string          `json:"role,omitempty"`
}

// Target is one endpoint that serves requests. Slots is how many requests the target
// runs at once, Prefill and Decode are prompt and answer tokens per second, and Cache
// is in tokens. Each field set in Setup overrides the same field of the pool's Setup.
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

// Limits bounds what a client account may use; a field of 0 sets no limit. Running is
// the number of the account's requests that may run at once.
type Limits struct {
	RequestsPerSecond float64           `json:"requestsPerSecond,omitempty"`
	Running           int               `json:"running,omitempty"`
	TokensPerSecond   yuccaid.TokenRate `json:"tokensPerSecond,omitempty"`
}

// Account is a client account. If Targets is empty, the account may use all targets of
// its pools. Weight is the account's share relative to other accounts. Credential is
// the SHA-256 of the account's bearer secret, in hex.
type Account struct {
	Credential yuccaid.Digest   `json:"credential,omitempty"`
	Tiers      []yuccaid.Tier   `json:"tiers,omitempty"`
	Pools      []yuccaid.Pool   `json:"pools,omitempty"`
	Targets    []yuccaid.Target `json:"targets,omitempty"`
	Weight     int              `json:"weight,omitempty"`
	Limits     Limits           `json:"limits,omitzero"`
}

// Policy holds the relative weights of the two objectives, more goodput and less waste.
type Policy struct {
	GoodputWeight float64 `json:"goodputWeight,omitempty"`
	WasteWeight   float64 `json:"wasteWeight,omitempty"`
}

// Objects holds the objects that a note adds or changes.
type Objects struct {
	Centres  map[yuccaid.Centre]Centre   `json:"centres,omitempty"`
	Links    map[yuccaid.Region]Link     `json:"links,omitempty"`
	Tiers    map[yuccaid.Tier]Tier       `json:"tiers,omitempty"`
	Pools    map[yuccaid.Pool]Pool       `json:"pools,omitempty"`
	Targets  map[yuccaid.Target]Target   `json:"targets,omitempty"`
	Accounts map[yuccaid.Account]Account `json:"accounts,omitempty"`
	Policy   *Policy                     `json:"policy,omitempty"`
}

// Names holds the names of the objects that a note withdraws.
type Names struct {
	Centres  []yuccaid.Centre  `json:"centres,omitempty"`
	Links    []yuccaid.Region  `json:"links,omitempty"`
	Tiers    []yuccaid.Tier    `json:"tiers,omitempty"`
	Pools    []yuccaid.Pool    `json:"pools,omitempty"`
	Targets  []yuccaid.Target  `json:"targets,omitempty"`
	Accounts []yuccaid.Account `json:"accounts,omitempty"`
}
