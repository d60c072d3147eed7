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
	// leaderTimeout is how long a daemon waits for a leader's first message on a request.
	// Within one data centre it takes a millisecond; a busy small VM may take some tens.
	leaderTimeout = 60 * time.Millisecond
	// waitingTimeout is how long a leader's message that a request waits is taken as true
	// before the leader is asked again.
	waitingTimeout = 400 * time.Millisecond
	// suspectFor is how long no requests are sent to a leader that didn't respond in time.
	suspectFor = 500 * time.Millisecond
)

// neverConfigured stands for the roster's version before the targets were set for the first
// time.
const neverConfigured = math.MaxUint64

// scheduler decides which requests of one pool are sent to which target. If this daemon leads
// the pool, it decides for the whole data centre; otherwise it decides for this daemon's own
// requests while the leader can't be reached.
type scheduler struct {
	pool yuccaid.Pool
	// local makes this daemon's decisions, whether it leads the pool or not.
	local *yuccagrant.Leader
	// leads reports whether this daemon leads the pool, and leader is the daemon that does, or
	// zero if none is known.
	leads  bool
	leader yuccaid.Incarnation
	// suspectUntil is until when no requests are sent to the leader because it didn't respond
	// in time.
	suspectUntil time.Time
	// remote holds what the leaders of other data centres have running on the targets.
	remote map[yuccaid.Centre]*remoteLoad
	// remoteChanged are the targets whose remote loads have changed since they were last passed
	// to local. If remoteReset is set, the remote loads of all targets have to be passed.
	remoteChanged map[yuccaid.Target]bool
	remoteReset   bool
	// rosterVersion is the roster's version that local was configured with, or neverConfigured.
	rosterVersion uint64
	// sent are the loads that were last sent to the other data centres. loadSentAt is when
	// loads were last sent, and fullLoadSentAt when those of all targets were.
	sent           map[yuccaid.Target]yuccawire.TargetLoad
	loadSentAt     time.Time
	fullLoadSentAt time.Time
}

func (gate *Gate) scheduler(now time.Time, pool yuccaid.Pool) *scheduler {
	sched := gate.schedulers[pool]
	if sched == nil {
		seed := mathrand.NewPCG(mathrand.Uint64(), uint64(now.UnixNano()))
		sched = &scheduler{pool: pool, local: yuccagrant.New(mathrand.New(seed)), remote: make(map[yuccaid.Centre]*remoteLoad), remoteChanged: make(map[yuccaid.Target]bool), sent: make(map[yuccaid.Target]yuccawire.TargetLoad), rosterVersion: neverConfigured}
		gate.schedulers[pool] = sched
		gate.followLeader(now, sched)
	}
	return sched
}

// configure passes the targets to a scheduler if they have changed, and the number of daemons
// that decide on them. The check keeps a starting fleet cheap, in which the members change as
// often as there are daemons.
func (gate *Gate) configure(now time.Time, sched *scheduler) {
	gate.apply(now, sched, sched.local.SetLeaderCount(now, gate.deciderCount(sched)))
	if version := gate.roster.Version(); sched.rosterVersion != version {
		sched.rosterVersion = version
		sched.remoteReset = true
		gate.apply(now, sched, sched.local.Configure(now, gate.targetsOf(sched)))
	}
}

// tickSchedulers lets each scheduler act on the passing of time.
func (gate *Gate) tickSchedulers(now time.Time) {
	for _, sched := range gate.schedulers {
		sched.dropSilentCentres(now)
		gate.apply(now, sched, sched.passRemoteLoads(now))
		gate.apply(now, sched, sched.local.Tick(now))
		if sched.leads {
			gate.castLoad(now, sched)
		}
	}
	gate.tickPlacements(now)
}

// followLeaders applies a changed choice of leaders to all schedulers.
func (gate *Gate) followLeaders(now time.Time) {
	for _, sched := range gate.schedulers {
		gate.followLeader(now, sched)
	}
}

func (gate *Gate) followLeader(now time.Time, sched *scheduler) {
	leader, found := gate.peers.Leader(sched.pool)
	incarnation := leader.Incarnation
	if !found {
		incarnation = yuccaid.Incarnation{}
	}
	if incarnation == sched.leader {
		// The share of a daemon that decides without the leader follows the number of daemons.
		gate.configure(now, sched)
		return
	}
	sched.leader = incarnation
	sched.suspectUntil = time.Time{}
	ledBefore := sched.leads
	sched.leads = incarnation == gate.incarnation
	gate.log.stateChange("leader", "pool", sched.pool, "leader", leader.VM, "leads", sched.leads)
	sched.remoteReset = true
	if ledBefore && !sched.leads {
		sched.local.DropOtherOwners(gate.incarnation)
		sched.local.ClearRemoteLoads()
	}
	gate.configure(now, sched)
	for _, plc := range gate.placements {
		if plc.pool == sched.pool {
			gate.syncPlacement(now, sched, plc)
		}
	}
}

// resync sends a leader again what it may have missed while there was no connection.
func (gate *Gate) resync(now time.Time, peer yuccaid.Incarnation) {
	for _, plc := range gate.placements {
		if sched := gate.schedulers[plc.pool]; sched != nil && sched.leader == peer {
			gate.syncPlacement(now, sched, plc)
		}
	}
}

// syncPlacement reports one of this daemon's requests to the pool's leader, whether it waits or
// runs.
func (gate *Gate) syncPlacement(now time.Time, sched *scheduler, plc *placement) {
	if !plc.running {
		gate.request(now, sched, plc)
		return
	}
	if sched.leads || sched.leader.IsZero() {
		return
	}
	gate.send(sched.leader, yuccawire.KindHolding, yuccawire.Holding{
		Ask: wireRequest(now, plc), Target: plc.target, AgeMillis: now.Sub(plc.sentAt).Milliseconds(), Begun: plc.started,
	})
}

// request passes a waiting request to whoever decides on it: the pool's leader, or this daemon
// itself if it is the leader, there is none, or the leader is suspected.
func (gate *Gate) request(now time.Time, sched *scheduler, plc *placement) {
	plc.submittedAt = now
	plc.waitingAt = time.Time{}
	if sched.leads || sched.leader.IsZero() || now.Before(sched.suspectUntil) {
		plc.decidedHere = true
		gate.apply(now, sched, sched.local.Submit(now, plc.request))
		return
	}
	plc.decidedHere = false
	if err := gate.hub.Send(sched.leader, yuccawire.KindAsk, wireRequest(now, plc)); err != nil {
		gate.suspectLeader(now, sched, plc)
	}
}

// suspectLeader marks a leader that didn't respond as suspected, and lets this daemon decide on
// the request.
func (gate *Gate) suspectLeader(now time.Time, sched *scheduler, plc *placement) {
	if now.After(sched.suspectUntil) {
		gate.log.stateChange("leader doubted", "pool", sched.pool, "leader", sched.leader.VM, "request", plc.req.info.ID, "silentMillis", now.Sub(plc.submittedAt).Milliseconds())
	}
	sched.suspectUntil = now.Add(suspectFor)
	gate.send(sched.leader, yuccawire.KindWithdrawn, yuccawire.Withdrawn{Pool: sched.pool, Number: plc.request.ID.Number})
	gate.request(now, sched, plc)
}

// tickPlacements finds waiting requests whose leader hasn't responded in time, and those that
// this daemon decides on although the leader can be reached again.
func (gate *Gate) tickPlacements(now time.Time) {
	for _, plc := range gate.placements {
		if plc.running {
			continue
		}
		sched := gate.schedulers[plc.pool]
		switch {
		case plc.decidedHere && (sched.leads || sched.leader.IsZero() || now.Before(sched.suspectUntil)):
		case plc.decidedHere:
			gate.withdraw(now, sched, plc)
			gate.request(now, sched, plc)
		case plc.waitingAt.IsZero() && now.Sub(plc.submittedAt) > leaderTimeout:
			gate.suspectLeader(now, sched, plc)
		case !plc.waitingAt.IsZero() && now.Sub(plc.waitingAt) > waitingTimeout:
			gate.request(now, sched, plc)
		}
	}
}

// apply delivers a scheduler's decisions, to this daemon's own requests and to those of other
// daemons.
func (gate *Gate) apply(now time.Time, sched *scheduler, dec yuccagrant.Decisions) {
	for _, grant := range dec.Grants {
		if grant.ID.Owner != gate.incarnation {
			gate.send(grant.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: sched.pool, Number: grant.ID.Number, Target: grant.Target, ExpectMillis: grant.ExpectedFirst.Milliseconds(), Busy: grant.Busy,
			})
			continue
		}
		gate.grant(now, sched, grant)
	}
	for _, refusal := range dec.Refusals {
		if refusal.ID.Owner != gate.incarnation {
			gate.send(refusal.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: sched.pool, Number: refusal.ID.Number, Reason: string(refusal.Reason), BackMillis: refusal.RetryAfter.Milliseconds(),
				Waiting: refusal.QueueLength, Free: refusal.FreeSlots, WaitMillis: refusal.EstimatedWait.Milliseconds(),
			})
			continue
		}
		gate.refuse(refusal)
	}
}

// grant accepts a decision that sends one of this daemon's requests to a target. The leader may
// have decided with an older roster, so the target is checked again: a target that is leaving
// gets no request.
func (gate *Gate) grant(now time.Time, sched *scheduler, granted yuccagrant.Grant) {
	target := granted.Target
	plc := gate.placements[granted.ID.Number]
	if plc == nil || plc.running {
		return
	}
	entry, found := gate.roster.Find(target)
	if !found || entry.Leaving {
		plc.req.logDecision("declined", "target", target, "known", found, "leader", sched.leader.VM, "revision", gate.platformRevision)
		plc.request.FailedTargets = append(plc.request.FailedTargets, target)
		gate.reportFinished(now, sched, yuccagrant.Finished{ID: plc.request.ID, Outcome: yuccagrant.Dropped})
		gate.request(now, sched, plc)
		return
	}
	plc.running = true
	plc.target = target
	plc.sentAt = now
	if !plc.decidedHere {
		sched.local.AddRunning(now, yuccagrant.Running{Request: plc.request, Target: target, Sent: now})
	} else {
		gate.syncPlacement(now, sched, plc)
	}
	plc.decision <- decision{
		target: target, address: entry.Address, decidedHere: plc.decidedHere && !sched.leads,
		decisionInputs: gate.decisionInputs(now, sched, granted.ExpectedFirst, granted.Busy),
	}
}

// refuse delivers a refusal to one of this daemon's requests.
func (gate *Gate) refuse(refusal yuccagrant.Refusal) {
	if plc := gate.placements[refusal.ID.Number]; plc != nil && !plc.running {
		delete(gate.placements, refusal.ID.Number)
		plc.decision <- decision{refusal: &refusal, decisionInputs: gate.decisionInputs(time.Now(), gate.schedulers[plc.pool], 0, 0)}
	}
}

// decisionInputs returns what a decision was made from, for the log.
func (gate *Gate) decisionInputs(now time.Time, sched *scheduler, expect time.Duration, busy int) decisionInputs {
	inputs := decisionInputs{leader: sched.leader.VM, expect: expect, busy: busy, revision: gate.platformRevision, age: gate.platformAge(now)}
	return inputs
}

// reportFinished reports the end of a run to this daemon's scheduler and to the pool's leader.
func (gate *Gate) reportFinished(now time.Time, sched *scheduler, result yuccagrant.Finished) {
	gate.apply(now, sched, sched.local.RunFinished(now, result))
	if !sched.leads && !sched.leader.IsZero() {
		gate.send(sched.leader, yuccawire.KindEnded, wireFinished(sched.pool, result))
	}
}

// dropOwner drops the waiting and running requests of a daemon that has departed or expired.
func (gate *Gate) dropOwner(now time.Time, owner yuccaid.Incarnation) {
	for _, sched := range gate.schedulers {
		gate.apply(now, sched, sched.local.DropOwner(now, owner))
	}
}
