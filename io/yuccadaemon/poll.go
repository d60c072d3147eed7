package yuccadaemon

import (
	"context"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccastate"
)

// pollTarget reads one target's load and cache events for its pool's leader. A
// target that doesn't answer is left to its runs' progress to judge.
func (d *Daemon) pollTarget(ctx context.Context, pool yuccaid.Pool, name yuccaid.Target, target yuccastate.Target, cursors map[yuccaid.Target]uint64) {
	reading, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	load, err := d.targets.Load(reading, target.Address)
	if err != nil {
		d.metrics.reportErrors.Inc()
		return
	}
	d.control.offer(func(now time.Time) {
		if load.Leaving {
			d.targetLeaves(now, name)
		}
		if led, leads := d.leads[pool]; leads {
			d.apply(now, pool, led.leader.Report(now, yuccapool.Report{
				Target: name, Age: load.Age(), Waiting: load.Waiting, Running: load.Running, Queued: load.Queued, Leaving: load.Leaving,
			}))
		}
	})
	if target.Cache == 0 {
		return
	}
	d.lookAt(reading, pool, name, target)
	events, err := d.targets.CacheEvents(reading, target.Address, cursors[name])
	if err != nil {
		return
	}
	after := cursors[name]
	cursors[name] = events.Last(after)
	d.control.offer(func(now time.Time) {
		led, leads := d.leads[pool]
		if !leads {
			return
		}
		for _, event := range events.Events {
			led.leader.CacheEvent(now, yuccapool.CacheEvent{Target: name, Stored: event.Stored, Evicted: event.Evicted, Gap: event.Sequence > after+1})
			after = event.Sequence
		}
	})
}

// usable checks a grant against what this daemon knows, right before it dispatches.
//
// The leader may have decided under an older configuration or before a target began
// to leave; the owner is the last to look before the first byte.
func (d *Daemon) usable(now time.Time, r *run, grant yuccapool.Grant) (yuccastate.Target, bool) {
	state := d.State()
	target, known := state.Targets[grant.Target]
	if !known || d.leaving[grant.Target] || !state.Allowed(r.claim.Account, grant.Target) {
		return target, false
	}
	if grant.Number > state.Number {
		// The leader knows of notes that this daemon lacks, so catch up first.
		d.pull(now, yuccapeer.Source{Peer: grant.Leader, Number: grant.Number})
		return target, false
	}
	return target, grant.Expires > 0 && now.Before(r.deadline)
}
