package yuccatarget

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Paths and headers of a target's HTTP interface.
const (
	GeneratePath  = "/v1/generate"
	CallPath      = "/v1/call"
	LoadPath      = "/v1/load"
	CachePath     = "/v1/cache"
	OrdersPath    = "/v1/orders"
	StatePath     = "/v1/state"
	HeaderRequest = "X-Request-Id"
	HeaderFence   = "X-Fence"
	ContentStream = "application/x-ndjson"
)

// Prompt is the body of a generation.
type Prompt struct {
	Prompt       string         `json:"prompt"`
	PromptTokens yuccaid.Tokens `json:"promptTokens"`
	AnswerTokens yuccaid.Tokens `json:"answerTokens"`
	Prefixes     []uint64       `json:"prefixes,omitempty"`
}

// Line is one line of an answer: a piece, or the end with its counts and hash.
type Line struct {
	ID            string         `json:"id"`
	Position      int            `json:"position,omitempty"`
	Tokens        yuccaid.Tokens `json:"tokens,omitempty"`
	Data          string         `json:"data,omitempty"`
	End           bool           `json:"end,omitempty"`
	Cancelled     bool           `json:"cancelled,omitempty"`
	Pieces        int            `json:"pieces,omitempty"`
	Hash          string         `json:"hash,omitempty"`
	PromptTokens  yuccaid.Tokens `json:"promptTokens,omitempty"`
	CachedTokens  yuccaid.Tokens `json:"cachedTokens,omitempty"`
	AnswerTokens  yuccaid.Tokens `json:"answerTokens,omitempty"`
	PrefillMillis int64          `json:"prefillMillis,omitempty"`
	DecodeMillis  int64          `json:"decodeMillis,omitempty"`
}

// RefusalKind says why a target did not take a request or an order.
type RefusalKind string

// Kinds of refusal that targets give.
const (
	RefusalRefused RefusalKind = "refused"
	RefusalLeaving RefusalKind = "leaving"
	RefusalFenced  RefusalKind = "fenced"
	RefusalExpired RefusalKind = "expired"
)

// RanNot is the only value of a refusal's ran field that proves that nothing ran.
const RanNot = "notRun"

// Refusal is the body of a target's refusal.
type Refusal struct {
	ID         string               `json:"id,omitempty"`
	Kind       RefusalKind          `json:"kind"`
	Ran        string               `json:"ran"`
	BackMillis int64                `json:"backMillis,omitempty"`
	Fence      yuccaid.ConfigNumber `json:"fence,omitempty"`
}

// Load is a target's report of its load, which lags behind by its age.
type Load struct {
	Waiting   int            `json:"waiting"`
	Running   int            `json:"running"`
	Queued    yuccaid.Tokens `json:"queuedTokens"`
	Leaving   bool           `json:"leaving"`
	AgeMillis int64          `json:"ageMillis"`
}

// Age returns how old the report was when the target sent it.
func (load Load) Age() time.Duration {
	return time.Duration(load.AgeMillis) * time.Millisecond
}

// CacheEvent tells of prefix blocks that entered or left a target's cache.
type CacheEvent struct {
	Sequence uint64   `json:"sequence"`
	Stored   []uint64 `json:"stored,omitempty"`
	Evicted  []uint64 `json:"evicted,omitempty"`
}

// CacheEvents is a batch of cache events in the order of their sequence numbers.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
	// Gap says that events between the position asked for and the last one here are
	// missing, so a record of the cache that was kept from events is unreliable.
	Gap bool `json:"-"`
}

// Last returns the position to ask from next, given the one asked from before.
func (batch CacheEvents) Last(after uint64) uint64 {
	if len(batch.Events) == 0 {
		return after
	}
	return batch.Events[len(batch.Events)-1].Sequence
}

// OrderKind says what an order changes.
type OrderKind string

// Kinds of order that targets take.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderVersion OrderKind = "version"
	OrderAdapter OrderKind = "adapter"
	OrderRole    OrderKind = "role"
)

// Order tells a target to load or unload a model or an adapter, or to change version or
// role.
type Order struct {
	Kind    OrderKind            `json:"kind"`
	Model   yuccaid.Model        `json:"model,omitempty"`
	Version string               `json:"version,omitempty"`
	Adapter yuccaid.Model        `json:"adapter,omitempty"`
	Role    string               `json:"role,omitempty"`
	Fence   yuccaid.ConfigNumber `json:"fence"`
	// ExpiresMillis is what remains of the order's life when it is sent; the client
	// sets it from Expires.
	ExpiresMillis int64         `json:"expiresMillis"`
	Expires       time.Duration `json:"-"`
}

// State is what a target has loaded and the highest fencing number it has seen.
type State struct {
	Model    yuccaid.Model        `json:"model,omitempty"`
	Version  string               `json:"version,omitempty"`
	Adapters []yuccaid.Model      `json:"adapters,omitempty"`
	Role     string               `json:"role,omitempty"`
	Fence    yuccaid.ConfigNumber `json:"fence"`
	Leaving  bool                 `json:"leaving"`
	// Loading says that an order was taken and is not in effect yet.
	Loading bool `json:"loading"`
}
