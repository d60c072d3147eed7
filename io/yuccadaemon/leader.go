package yuccadaemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaorder"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccawire"
)

const (
	// gatherFor is how long a new leader listens before it grants. Owners notice a
	// change of leader within one heartbeat and tell what they hold in the same tick;
	// granting before that would fill targets that are already full.
	gatherFor = 1200 * time.Millisecond
)

// lead is one pool that this daemon leads.
type lead struct {
	pool    yuccaid.Pool
	leader  *yuccapool.Leader
	planner *yuccaorder.Planner
	stop    context.CancelFunc
}

// refreshLeads takes up and lays down leadership after the view or the
// configuration changed.
func (d *Daemon) refreshLeads(now time.Time) {
	state := d.State()
	for pool := range state.Pools {
		leader, found := d.peers.Leader(pool)
		mine := found && leader.Incarnation == d.self.Incarnation
		led, leads := d.leads[pool]
		switch {
		case mine && !leads:
			d.takeUp(now, pool)
		case !mine && leads:
			d.layDown(now, led)
		case mine && leads:
			d.apply(now, pool, led.leader.Configure(now, d.view(state, pool)))
		}
	}
	for pool, led := range d.leads {
		if _, known := state.Pools[pool]; !known {
			d.layDown(now, led)
		}
	}
}

func (d *Daemon) takeUp(now time.Time, pool yuccaid.Pool) {
	seed := rand.Uint64()
	led := &lead{pool: pool, leader: yuccapool.New(pool, d.self.Incarnation, rand.New(rand.NewPCG(seed, uint64(now.UnixNano()))))}
	led.planner = yuccaorder.New(now)
	d.leads[pool] = led
	led.leader.HoldGrantsUntil(now, now.Add(gatherFor))
	d.apply(now, pool, led.leader.Configure(now, d.view(d.State(), pool)))
	ctx, stop := context.WithCancel(d.traffic)
	led.stop = stop
	d.workers.Add(1)
	go func() {
		defer d.workers.Done()
		newPoller(d, pool).run(ctx)
	}()
	d.audit.add(now, AuditEntry{Kind: AuditLeading, What: string(pool), Number: d.State().Number})
}

// layDown drops what a leader knew: its successor gathers it from the owners, and
// two books on the same targets would only drift apart.
func (d *Daemon) layDown(now time.Time, led *lead) {
	led.stop()
	delete(d.leads, led.pool)
	d.audit.add(now, AuditEntry{Kind: AuditLeft, What: string(led.pool), Number: d.State().Number})
}

// view is what a pool's decisions need to know of the configuration.
func (d *Daemon) view(state *yuccastate.State, pool yuccaid.Pool) yuccapool.PoolConfig {
	view := yuccapool.PoolConfig{
		ConfigNumber: state.Number,
		PlainService: state.Pools[pool].Kind == yuccastate.PoolService,
		LongestRun:   state.Pools[pool].LongestRun,
		Policy:       yuccapool.Policy{GoodputWeight: state.Policy.GoodputWeight, WasteWeight: state.Policy.WasteWeight},
		Accounts:     make(map[yuccaid.Account]yuccapool.AccountConfig, len(state.Accounts)),
	}
	names := d.targetsOf(state, pool)
	used := d.peers.TargetShare().Select(names)
	for _, name := range names {
		target := state.Targets[name]
		view.Targets = append(view.Targets, yuccapool.Target{
			Name: name, Slots: target.Slots, Prefill: target.Prefill, Decode: target.Decode,
			Cache: target.Cache, Leaving: d.leaving[name] || !slices.Contains(used, name),
		})
	}
	for name, account := range state.Accounts {
		view.Accounts[name] = yuccapool.AccountConfig{
			Weight:  account.Weight,
			Limits:  yuccapool.Limits(account.Limits),
			Targets: account.Targets,
		}
	}
	return view
}

// targetsOf returns the pool's targets in this data centre, in the order of names.
func (d *Daemon) targetsOf(state *yuccastate.State, pool yuccaid.Pool) []yuccaid.Target {
	var names []yuccaid.Target
	for name, target := range state.Targets {
		if target.Pool == pool && target.Centre == d.self.Centre {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// apply sends out what a leader decided.
func (d *Daemon) apply(now time.Time, pool yuccaid.Pool, decisions yuccapool.Decisions) {
	for _, grant := range decisions.Grants {
		d.metrics.grants.Inc()
		if grant.Owner == d.self.Incarnation {
			d.onGrant(now, pool, grant)
			continue
		}
		d.tellOwner(grant.Owner, grant.ID, yuccawire.KindGrant, yuccawire.Grant{
			Pool: pool, Ref: d.ref(grant.ID), Target: grant.Target, ExpiresMillis: grant.ValidFor.Milliseconds(), Number: grant.ConfigNumber,
		})
	}
	for _, refusal := range decisions.Refusals {
		if refusal.Owner == d.self.Incarnation {
			d.onRefusal(now, refusal)
			continue
		}
		d.tellOwner(refusal.Owner, refusal.ID, yuccawire.KindRefusal, yuccawire.Refusal{
			Pool: pool, Ref: d.ref(refusal.ID), Reason: string(refusal.Reason), BackMillis: refusal.RetryAfter.Milliseconds(),
		})
	}
	for _, cancel := range decisions.Cancels {
		if cancel.Owner == d.self.Incarnation {
			d.onCancel(now, cancel)
			continue
		}
		d.tellOwner(cancel.Owner, cancel.ID, yuccawire.KindCancel, yuccawire.Cancel{
			Pool: pool, Ref: d.ref(cancel.ID), Target: cancel.Target, Reason: string(cancel.Reason), BackMillis: cancel.RetryAfter.Milliseconds(),
		})
	}
}

func (d *Daemon) onOffer(now time.Time, from yuccaid.Incarnation, ask yuccaqueue.Request) {
	led, leads := d.leads[ask.Pool]
	if !leads {
		if from != d.self.Incarnation {
			_ = d.send(from, yuccawire.KindNotLeader, yuccawire.NotLeader{Pool: ask.Pool, Ref: d.ref(ask.ID)})
			return
		}
		d.onNotLeader(now, ask.ID)
		return
	}
	d.apply(now, ask.Pool, led.leader.Submit(now, ask))
}

// onNotLeader makes the next tick look for the leader again.
func (d *Daemon) onNotLeader(_ time.Time, id yuccaid.RequestID) {
	if r, open := d.runs[id]; open && !r.running {
		r.leader = yuccaid.Incarnation{}
	}
}

func (d *Daemon) onWithdraw(now time.Time, pool yuccaid.Pool, id yuccaid.RequestID) {
	if led, leads := d.leads[pool]; leads {
		d.apply(now, pool, led.leader.Withdraw(now, id))
	}
}

func (d *Daemon) onProgress(now time.Time, pool yuccaid.Pool, progress yuccapool.Progress) {
	if led, leads := d.leads[pool]; leads {
		d.apply(now, pool, led.leader.RunProgressed(now, progress))
	}
}

func (d *Daemon) onFinished(now time.Time, pool yuccaid.Pool, finished yuccapool.Finished) {
	if led, leads := d.leads[pool]; leads {
		d.apply(now, pool, led.leader.RunFinished(now, finished))
	}
}

func (d *Daemon) onHold(now time.Time, pool yuccaid.Pool, running yuccapool.Running) {
	if led, leads := d.leads[pool]; leads {
		led.leader.AddRunning(now, running)
	}
}

func (d *Daemon) tickLeader(now time.Time) {
	for pool, led := range d.leads {
		d.apply(now, pool, led.leader.Tick(now))
	}
}

// ownerGone takes back what was promised to a daemon that has left.
func (d *Daemon) ownerGone(now time.Time, inc yuccaid.Incarnation) {
	for pool, led := range d.leads {
		d.apply(now, pool, led.leader.DropOwner(now, inc))
	}
}
