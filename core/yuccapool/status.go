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

// Status returns what the leader believes.
func (lead *Leader) Status(now time.Time) Status {
	status := Status{Pool: lead.pool, Number: lead.view.Number, Gathering: lead.gathering(now)}
	for _, tr := range lead.queue.Tiers() {
		status.Tiers = append(status.Tiers, TierStatus{
			Tier: tr.Tier, Rank: tr.Rank, Waiting: tr.Requests, Queued: tr.Tokens, Running: lead.runningAt(tr.Rank),
		})
	}
	for _, node := range lead.fleet.Nodes() {
		status.Targets = append(status.Targets, TargetStatus{
			Target: node.Target.Name, Running: node.Running(), Slots: node.Target.Slots,
			Backlog: node.Backlog(now), Prefill: node.Prefill(), Decode: node.Decode(),
			Health: string(node.Health()), Leaving: node.Gone(),
		})
	}
	return status
}

func (lead *Leader) runningAt(rank int) int {
	count := 0
	for _, one := range lead.runs {
		if one.Rank == rank {
			count++
		}
	}
	return count
}
