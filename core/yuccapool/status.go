package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// TierStatus counts one tier's requests at the leader.
type TierStatus struct {
	Tier    yuccaid.Tier   `msgpack:"tier"`
	Rank    int            `msgpack:"rank"`
	Waiting int            `msgpack:"waiting"`
	Queued  yuccaid.Tokens `msgpack:"queued"`
	Running int            `msgpack:"running"`
}

// TargetStatus is what the leader believes of one target.
type TargetStatus struct {
	Target  yuccaid.Target `msgpack:"target"`
	Running int            `msgpack:"running"`
	Slots   int            `msgpack:"slots"`
	Backlog time.Duration  `msgpack:"backlog"`
	Prefill yuccaid.Rate   `msgpack:"prefill"`
	Decode  yuccaid.Rate   `msgpack:"decode"`
	Health  string         `msgpack:"health"`
	Leaving bool           `msgpack:"leaving"`
}

// Status is the leader's state for operators and metrics.
type Status struct {
	Pool      yuccaid.Pool   `msgpack:"pool"`
	Number    yuccaid.Number `msgpack:"number"`
	Gathering bool           `msgpack:"gathering"`
	Tiers     []TierStatus   `msgpack:"tiers"`
	Targets   []TargetStatus `msgpack:"targets"`
}
