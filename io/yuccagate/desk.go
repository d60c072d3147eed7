package yuccagate

import (
	"math"
	mathrand "math/rand/v2"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

const (
	// leaderSilence is how long a leader may leave an ask without a word. In one data
	// centre the answer takes a millisecond; a busy small VM may take some tens.
	leaderSilence = 60 * time.Millisecond
	// waitingSilence is how long a leader's word that an ask waits is believed before the
	// leader is asked again.
	waitingSilence = 400 * time.Millisecond
	// doubtFor is how long a leader that left an ask without a word is not asked.
	doubtFor = 500 * time.Millisecond
)

// noTargets stands for the version of the roster before any was told.
const noTargets = math.MaxUint64

// desk decides for one pool: for the whole data centre where this daemon leads the pool, and
// else for this daemon's own requests when the leader can't be heard.
type desk struct {
	pool   yuccaid.Pool
	own    *yuccagrant.Leader
	leads  bool
	leader yuccaid.Incarnation
	// doubted is until when the leader is not asked.
	doubted time.Time
	// away is what the leaders of other data centres have running.
	away map[yuccaid.Centre]*centreLoad
	// awayNews are the targets of which own hasn't been told what came with the last casts,
	// and awayAll says that it has to be told of all.
	awayNews map[yuccaid.Target]bool
	awayAll  bool
	// targetsAt is the version of the roster that own has, or noTargets.
	targetsAt uint64
	// told is what the other data centres were told of this one's targets, loadCast when that
	// was last, and loadWhole when they were last told everything.
	told      map[yuccaid.Target]yuccawire.TargetLoad
	loadCast  time.Time
	loadWhole time.Time
}

func (gate *Gate) desk(now time.Time, pool yuccaid.Pool) *desk {
	dsk := gate.desks[pool]
	if dsk == nil {
		seed := mathrand.NewPCG(mathrand.Uint64(), uint64(now.UnixNano()))
		dsk = &desk{pool: pool, own: yuccagrant.New(mathrand.New(seed)), away: make(map[yuccaid.Centre]*centreLoad), awayNews: make(map[yuccaid.Target]bool), told: make(map[yuccaid.Target]yuccawire.TargetLoad), targetsAt: noTargets}
		gate.desks[pool] = dsk
		gate.followLeader(now, dsk)
	}
	return dsk
}

// configure tells a desk of its targets, if they have changed, and of its part of them. A
// fleet that comes up has as many changes of its members as it has daemons.
func (gate *Gate) configure(now time.Time, dsk *desk) {
	gate.apply(now, dsk, dsk.own.SetLeaderCount(now, gate.sharers(dsk)))
	if version := gate.roster.Version(); dsk.targetsAt != version {
		dsk.targetsAt = version
		dsk.awayAll = true
		gate.apply(now, dsk, dsk.own.Configure(now, gate.targets(dsk)))
	}
}

// tickDesks looks at what waits.
func (gate *Gate) tickDesks(now time.Time) {
	for _, dsk := range gate.desks {
		dsk.forgetSilent(now)
		gate.apply(now, dsk, dsk.tellOthers(now))
		gate.apply(now, dsk, dsk.own.Tick(now))
		if dsk.leads {
			gate.castLoad(now, dsk)
		}
	}
	gate.tickTickets(now)
}

// followLeaders takes up and lays down leadership after the view has changed.
func (gate *Gate) followLeaders(now time.Time) {
	for _, dsk := range gate.desks {
		gate.followLeader(now, dsk)
	}
}

func (gate *Gate) followLeader(now time.Time, dsk *desk) {
	leader, found := gate.peers.Leader(dsk.pool)
	inc := leader.Incarnation
	if !found {
		inc = yuccaid.Incarnation{}
	}
	if inc == dsk.leader {
		// The share of a daemon that decides alone follows the number of daemons.
		gate.configure(now, dsk)
		return
	}
	dsk.leader = inc
	dsk.doubted = time.Time{}
	led := dsk.leads
	dsk.leads = inc == gate.inc
	gate.log.belief("leader", "pool", dsk.pool, "leader", leader.VM, "leads", dsk.leads)
	dsk.awayAll = true
	if led && !dsk.leads {
		dsk.own.DropOtherOwners(gate.inc)
		dsk.own.ClearRemoteLoads()
	}
	gate.configure(now, dsk)
	for _, tkt := range gate.tickets {
		if tkt.pool == dsk.pool {
			gate.tell(now, dsk, tkt)
		}
	}
}

// resync repeats to a leader what it may have missed while no connection was up.
func (gate *Gate) resync(now time.Time, peer yuccaid.Incarnation) {
	for _, tkt := range gate.tickets {
		if dsk := gate.desks[tkt.pool]; dsk != nil && dsk.leader == peer {
			gate.tell(now, dsk, tkt)
		}
	}
}

// tell brings one of this daemon's requests to the pool's leader, whether it waits or runs.
func (gate *Gate) tell(now time.Time, dsk *desk, tkt *ticket) {
	if !tkt.running {
		gate.ask(now, dsk, tkt)
		return
	}
	if dsk.leads || dsk.leader.IsZero() {
		return
	}
	gate.send(dsk.leader, yuccawire.KindHolding, yuccawire.Holding{
		Ask: wireAsk(now, tkt), Target: tkt.target, AgeMillis: now.Sub(tkt.sent).Milliseconds(), Begun: tkt.begun,
	})
}

// ask brings a waiting request to those who decide on it: the leader of the pool, or this
// daemon itself if it is that, or if the leader can't be heard.
func (gate *Gate) ask(now time.Time, dsk *desk, tkt *ticket) {
	tkt.asked = now
	tkt.word = time.Time{}
	if dsk.leads || dsk.leader.IsZero() || now.Before(dsk.doubted) {
		tkt.alone = true
		gate.apply(now, dsk, dsk.own.Submit(now, tkt.ask))
		return
	}
	tkt.alone = false
	if err := gate.hub.Send(dsk.leader, yuccawire.KindAsk, wireAsk(now, tkt)); err != nil {
		gate.doubt(now, dsk, tkt)
	}
}

// doubt has this daemon decide on a request whose leader gave no word.
func (gate *Gate) doubt(now time.Time, dsk *desk, tkt *ticket) {
	if now.After(dsk.doubted) {
		gate.log.belief("leader doubted", "pool", dsk.pool, "leader", dsk.leader.VM, "request", tkt.req.caller.ID, "silentMillis", now.Sub(tkt.asked).Milliseconds())
	}
	dsk.doubted = now.Add(doubtFor)
	gate.send(dsk.leader, yuccawire.KindWithdrawn, yuccawire.Withdrawn{Pool: dsk.pool, Number: tkt.ask.ID.Number})
	gate.ask(now, dsk, tkt)
}

// tickTickets finds requests whose leader gave no word.
func (gate *Gate) tickTickets(now time.Time) {
	for _, tkt := range gate.tickets {
		if tkt.running {
			continue
		}
		dsk := gate.desks[tkt.pool]
		switch {
		case tkt.alone && (dsk.leads || dsk.leader.IsZero() || now.Before(dsk.doubted)):
		case tkt.alone:
			gate.withdraw(now, dsk, tkt)
			gate.ask(now, dsk, tkt)
		case tkt.word.IsZero() && now.Sub(tkt.asked) > leaderSilence:
			gate.doubt(now, dsk, tkt)
		case !tkt.word.IsZero() && now.Sub(tkt.word) > waitingSilence:
			gate.ask(now, dsk, tkt)
		}
	}
}

// apply hands on what a desk decided, to this daemon's requests and to those of others.
func (gate *Gate) apply(now time.Time, dsk *desk, dec yuccagrant.Decisions) {
	for _, grant := range dec.Grants {
		if grant.ID.Owner != gate.inc {
			gate.send(grant.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: dsk.pool, Number: grant.ID.Number, Target: grant.Target, ExpectMillis: grant.ExpectedFirst.Milliseconds(), Busy: grant.Busy,
			})
			continue
		}
		gate.grant(now, dsk, grant)
	}
	for _, refusal := range dec.Refusals {
		if refusal.ID.Owner != gate.inc {
			gate.send(refusal.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: dsk.pool, Number: refusal.ID.Number, Reason: string(refusal.Reason), BackMillis: refusal.RetryAfter.Milliseconds(),
				Waiting: refusal.QueueLength, Free: refusal.FreeSlots, WaitMillis: refusal.EstimatedWait.Milliseconds(),
			})
			continue
		}
		gate.refuse(refusal)
	}
}

// grant sends one of this daemon's requests to its target. What was decided with an older
// roster than this daemon's is checked once more: a target that is leaving gets nothing.
func (gate *Gate) grant(now time.Time, dsk *desk, given yuccagrant.Grant) {
	target := given.Target
	tkt := gate.tickets[given.ID.Number]
	if tkt == nil || tkt.running {
		return
	}
	entry, found := gate.roster.Find(target)
	if !found || entry.Leaving {
		tkt.req.told("declined", "target", target, "known", found, "leader", dsk.leader.VM, "revision", gate.platformAt)
		tkt.ask.FailedTargets = append(tkt.ask.FailedTargets, target)
		gate.giveBack(now, dsk, yuccagrant.Finished{ID: tkt.ask.ID, Outcome: yuccagrant.Dropped})
		gate.ask(now, dsk, tkt)
		return
	}
	tkt.running = true
	tkt.target = target
	tkt.sent = now
	if !tkt.alone {
		dsk.own.AddRunning(now, yuccagrant.Running{Request: tkt.ask, Target: target, Sent: now})
	} else {
		gate.tell(now, dsk, tkt)
	}
	tkt.placed <- placed{
		target: target, address: entry.Address, alone: tkt.alone && !dsk.leads,
		inputs: gate.inputs(now, dsk, given.ExpectedFirst, given.Busy),
	}
}

func (gate *Gate) refuse(refusal yuccagrant.Refusal) {
	if tkt := gate.tickets[refusal.ID.Number]; tkt != nil && !tkt.running {
		delete(gate.tickets, refusal.ID.Number)
		tkt.placed <- placed{refusal: &refusal, inputs: gate.inputs(time.Now(), gate.desks[tkt.pool], 0, 0)}
	}
}

// inputs returns what a decision was made from.
func (gate *Gate) inputs(now time.Time, dsk *desk, expect time.Duration, busy int) inputs {
	in := inputs{leader: dsk.leader.VM, expect: expect, busy: busy, revision: gate.platformAt, age: gate.platformAge(now)}
	return in
}

// giveBack tells those who decide that a run has ended.
func (gate *Gate) giveBack(now time.Time, dsk *desk, end yuccagrant.Finished) {
	gate.apply(now, dsk, dsk.own.RunFinished(now, end))
	if !dsk.leads && !dsk.leader.IsZero() {
		gate.send(dsk.leader, yuccawire.KindEnded, wireEnded(dsk.pool, end))
	}
}

// ownerGone drops what a lost daemon had waiting and running.
func (gate *Gate) ownerGone(now time.Time, owner yuccaid.Incarnation) {
	for _, dsk := range gate.desks {
		gate.apply(now, dsk, dsk.own.DropOwner(now, owner))
	}
}
