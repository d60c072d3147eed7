package yuccapool

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// grantLife is how long an owner may take to use a grant.
const grantLife = 2 * time.Second

// Option changes a leader at its construction.
type Option func(*Leader)

type waiting struct {
	ask      Ask
	deadline time.Time
}

type run struct {
	ask    Ask
	target yuccaid.Target
}

// Leader decides for one pool in one data centre.
type Leader struct {
	pool    yuccaid.Pool
	self    yuccaid.Incarnation
	rng     *rand.Rand
	view    View
	until   time.Time
	waiting []waiting
	runs    map[yuccaid.RequestText]run
	leaving map[yuccaid.Target]bool
}

// New returns a leader without targets; Configure gives it some.
func New(pool yuccaid.Pool, leader yuccaid.Incarnation, rng *rand.Rand, options ...Option) *Leader {
	lead := &Leader{
		pool:    pool,
		self:    leader,
		rng:     rng,
		runs:    map[yuccaid.RequestText]run{},
		leaving: map[yuccaid.Target]bool{},
	}
	for _, option := range options {
		option(lead)
	}
	return lead
}

// Configure takes over a configuration.
func (lead *Leader) Configure(now time.Time, view View) Decisions {
	lead.view = view
	return lead.serve(now)
}

// BeginGather holds all grants back until the given time.
func (lead *Leader) BeginGather(_, until time.Time) {
	lead.until = until
}

// Hold counts a run that an owner reports while the leader gathers.
func (lead *Leader) Hold(_ time.Time, running Running) {
	lead.runs[running.Ask.ID] = run{ask: running.Ask, target: running.Target}
}

// Offer queues an ask.
func (lead *Leader) Offer(now time.Time, ask Ask) Decisions {
	lead.waiting = append(lead.waiting, waiting{ask: ask, deadline: now.Add(ask.Remaining)})
	return lead.serve(now)
}

// Withdraw forgets a waiting ask.
func (lead *Leader) Withdraw(now time.Time, id yuccaid.RequestText) Decisions {
	lead.waiting = slices.DeleteFunc(lead.waiting, func(wait waiting) bool { return wait.ask.ID == id })
	return lead.serve(now)
}

// Progress notes how far a run has come.
func (lead *Leader) Progress(now time.Time, _ Progress) Decisions {
	return lead.serve(now)
}

// Finished frees what a grant held.
func (lead *Leader) Finished(now time.Time, done Finished) Decisions {
	delete(lead.runs, done.ID)
	return lead.serve(now)
}

// OwnerGone forgets what a lost daemon had waiting.
func (lead *Leader) OwnerGone(now time.Time, inc yuccaid.Incarnation) Decisions {
	lead.waiting = slices.DeleteFunc(lead.waiting, func(wait waiting) bool { return wait.ask.Owner == inc })
	return lead.serve(now)
}

// Report takes a target's own word on its load.
func (lead *Leader) Report(now time.Time, report Report) Decisions {
	lead.leaving[report.Target] = report.Leaving
	return lead.serve(now)
}

// CacheEvent takes a target's word on its prefix cache.
func (lead *Leader) CacheEvent(time.Time, CacheEvent) {}

// Tick decides what the passing of time has changed.
func (lead *Leader) Tick(now time.Time) Decisions {
	return lead.serve(now)
}

// Status returns what the leader believes.
func (lead *Leader) Status(now time.Time) Status {
	return Status{Pool: lead.pool, Number: lead.view.Number, Gathering: now.Before(lead.until)}
}

func (lead *Leader) serve(now time.Time) Decisions {
	var dec Decisions
	if now.Before(lead.until) {
		return dec
	}
	slices.SortStableFunc(lead.waiting, func(a, b waiting) int {
		return cmp.Or(cmp.Compare(a.ask.Rank, b.ask.Rank), a.deadline.Compare(b.deadline))
	})
	kept := lead.waiting[:0]
	for _, wait := range lead.waiting {
		if !now.Before(wait.deadline) {
			refusal := Refusal{ID: wait.ask.ID, Owner: wait.ask.Owner, Reason: yuccaqueue.ReasonDeadline}
			dec.Refusals = append(dec.Refusals, refusal)
			continue
		}
		target, found := lead.choose(&wait.ask)
		if !found {
			kept = append(kept, wait)
			continue
		}
		lead.runs[wait.ask.ID] = run{ask: wait.ask, target: target}
		dec.Grants = append(dec.Grants, Grant{
			ID: wait.ask.ID, Owner: wait.ask.Owner, Target: target, Expires: grantLife,
			Number: lead.view.Number, Leader: lead.self,
		})
	}
	lead.waiting = kept
	return dec
}

func (lead *Leader) choose(ask *Ask) (yuccaid.Target, bool) {
	var best yuccaid.Target
	bestLoad := 1.0
	allowed := lead.view.Accounts[ask.Account].Targets
	for _, tgt := range lead.view.Targets {
		if tgt.Leaving || lead.leaving[tgt.Name] || len(allowed) > 0 && !slices.Contains(allowed, tgt.Name) {
			continue
		}
		busy := 0
		for _, one := range lead.runs {
			if one.target == tgt.Name {
				busy++
			}
		}
		if load := float64(busy) / float64(max(tgt.Slots, 1)); load < bestLoad {
			best, bestLoad = tgt.Name, load
		}
	}
	return best, bestLoad < 1
}
