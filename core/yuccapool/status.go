package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// TierStatus describes the waiting and running requests of one tier.
type TierStatus struct {
	Tier    yuccaid.Tier   `msgpack:"tier" json:"tier"`
	Rank    int            `msgpack:"rank" json:"rank"`
	Waiting int            `msgpack:"waiting" json:"waiting"`
	Queued  yuccaid.Tokens `msgpack:"queued" json:"queued"`
	Running int            `msgpack:"running" json:"running"`
}

// TargetStatus is the leader's view of one target. Backlog is the time that the prompts
// waiting at the target will take.
type TargetStatus struct {
	Target  yuccaid.Target    `msgpack:"target" json:"target"`
	Running int               `msgpack:"running" json:"running"`
	Slots   int               `msgpack:"slots" json:"slots"`
	Backlog time.Duration     `msgpack:"backlog" json:"backlog"`
	Prefill yuccaid.TokenRate `msgpack:"prefill" json:"prefill"`
	Decode  yuccaid.TokenRate `msgpack:"decode" json:"decode"`
	Health  string            `msgpack:"health" json:"health"`
	Leaving bool              `msgpack:"leaving" json:"leaving"`
}

// Status is the leader's state for operators and metrics. Gathering says that the leader
// still withholds all grants because of HoldGrantsUntil.
type Status struct {
	Pool         yuccaid.Pool         `msgpack:"pool" json:"pool"`
	ConfigNumber yuccaid.ConfigNumber `msgpack:"number" json:"number"`
	Gathering    bool                 `msgpack:"gathering" json:"gathering"`
	Tiers        []TierStatus         `msgpack:"tiers" json:"tiers"`
	Targets      []TargetStatus       `msgpack:"targets" json:"targets"`
}

// Status returns the leader's present state.
func (lead *Leader) Status(now time.Time) Status {
	status := Status{Pool: lead.pool, ConfigNumber: lead.config.ConfigNumber, Gathering: lead.gathering(now)}
	for _, tr := range lead.queue.TierLoads() {
		status.Tiers = append(status.Tiers, TierStatus{
			Tier: tr.Tier, Rank: tr.Rank, Waiting: tr.Requests, Queued: tr.Tokens, Running: lead.runningOfRank(tr.Rank),
		})
	}
	for _, node := range lead.fleet.TargetStates() {
		status.Targets = append(status.Targets, TargetStatus{
			Target: node.Target.Name, Running: node.Running(), Slots: node.Target.Slots,
			Backlog: node.Backlog(now), Prefill: node.PrefillRate(), Decode: node.DecodeRate(),
			Health: string(node.Health()), Leaving: node.Leaving(),
		})
	}
	return status
}

func (lead *Leader) runningOfRank(rank int) int {
	count := 0
	for _, run := range lead.runs {
		if run.Rank == rank {
			count++
		}
	}
	return count
}
