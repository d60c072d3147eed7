package yuccagate

import (
	"math"
	mathrand "math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroute"
	"yuccacleat/io/yuccawire"
)

const (
	// leaderTimeout is how long a daemon waits for a leader's first message on a request that it
	// has submitted. Within one data centre the message takes a millisecond. On a small VM that is
	// busy it may take some tens of milliseconds.
	leaderTimeout = 60 * time.Millisecond
	// waitingTimeout is how long a daemon waits after the leader's last confirmation that a
	// request is queued. Then the daemon submits the request to the leader again, because the
	// leader may no longer know the request.
	waitingTimeout = 400 * time.Millisecond
	// suspectFor is how long this daemon decides on requests itself after a leader didn't respond
	// in time. In that time it submits no requests to the leader, unless a message on one of its
	// requests arrives from the leader.
	suspectFor = 500 * time.Millisecond
)

// neverConfigured is the rosterVersion of a scheduler to which no targets have been passed yet.
// No roster reaches this version.
const neverConfigured = math.MaxUint64

// scheduler decides which requests of one pool are sent to which target. If this daemon leads
// the pool, the scheduler decides for all daemons of the data centre. Otherwise it decides only on
// this daemon's own requests, and only while no leader is known or the leader can't be reached.
type scheduler struct {
	pool yuccaid.Pool
	// local makes the decisions of this daemon, whether it leads the pool or not.
	local *yuccagrant.Leader
	// leads reports whether this daemon leads the pool. leader is the daemon that leads the pool,
	// or zero if none is known.
	leads  bool
	leader yuccaid.Incarnation
	// suspectUntil is the time until which no requests are submitted to the leader, because the
	// leader didn't respond in time. It is zero if the leader isn't suspected.
	suspectUntil time.Time
	// remoteLoads holds, for each other data centre, the loads that its leader has cast.
	remoteLoads map[yuccaid.Centre]*centreLoads
	// remoteChanged holds the targets whose remote loads have changed since passRemoteLoads last
	// passed remote loads to local, which decides on requests. If remoteReset is set, the remote
	// loads of all targets have to be passed to local.
	remoteChanged map[yuccaid.Target]bool
	remoteReset   bool
	// centres holds the data centres of the targets that local was configured with.
	centres map[yuccaid.Target]yuccaid.Centre
	// rosterVersion is the roster's version that local was configured with, or neverConfigured.
	rosterVersion uint64
	// engine is the properties of the targets that local was configured with.
	engine yuccaroute.Engine
	// budgetRole is what the budgets of the targets depend on that local was configured with.
	budgetRole budgetRole
	// sentLoads holds, for each target, the load that was last sent to the other data centres.
	// loadSentAt is when loads were last sent, and fullLoadSentAt is when the loads of all targets
	// were last sent.
	sentLoads      map[yuccaid.Target]yuccawire.TargetLoad
	loadSentAt     time.Time
	fullLoadSentAt time.Time
	// coldTargets are the cold targets of this data centre as the log last reported them, and
	// budgetsCheckedAt is when these and the budgets were last compared.
	coldTargets      []yuccaid.Target
	budgetsCheckedAt time.Time
	// sendsReport is what this daemon has reported of its sends as the leader, and sendsSeen what the leader
	// has reported to this daemon.
	sendsReport sendsReport
	sendsSeen   sendsSeen
}

// scheduler returns the pool's scheduler, and creates it if there is none yet.
func (gate *Gate) scheduler(now time.Time, pool yuccaid.Pool) *scheduler {
	sched := gate.schedulers[pool]
	if sched == nil {
		seed := mathrand.NewPCG(mathrand.Uint64(), uint64(now.UnixNano()))
		sched = &scheduler{
			pool: pool, local: yuccagrant.New(mathrand.New(seed)), rosterVersion: neverConfigured,
			remoteLoads:   make(map[yuccaid.Centre]*centreLoads),
			remoteChanged: make(map[yuccaid.Target]bool),
			sentLoads:     make(map[yuccaid.Target]yuccawire.TargetLoad),
		}
		gate.schedulers[pool] = sched
		gate.followLeader(now, sched)
	}
	return sched
}

// configure passes to a scheduler the number of daemons that decide on the pool's targets, and
// the targets if the roster, the properties of the pool's engines or this daemon's budgets for the
// targets have changed since the last call. While a fleet starts, configure is called once for each
// daemon that joins, and passing all targets each time would be expensive.
func (gate *Gate) configure(now time.Time, sched *scheduler) {
	gate.apply(now, sched, sched.local.SetLeaderCount(now, gate.deciderCount(sched)))
	version, engine, role := gate.roster.Version(), gate.engineOf(sched.pool), gate.budgetRoleOf(now, sched)
	if sched.rosterVersion != version || sched.engine != engine || !sched.budgetRole.equal(role) {
		sched.rosterVersion, sched.engine, sched.budgetRole = version, engine, role
		sched.remoteReset = true
		sched.local.SetEvacuated(gate.roster.EvacuatedCentres())
		targets := gate.targetsOf(sched)
		sched.setCentres(targets)
		gate.apply(now, sched, sched.local.SetTargets(now, targets))
	}
}

// setCentres records the data centres of the targets that local is configured with.
func (sched *scheduler) setCentres(targets []yuccagrant.Target) {
	sched.centres = make(map[yuccaid.Target]yuccaid.Centre, len(targets))
	for _, target := range targets {
		sched.centres[target.Name] = target.Centre
	}
}

// tickSchedulers runs the timed work of all schedulers: it drops the loads of silent data centres,
// passes changed remote loads to the schedulers, applies the decisions that have become due, casts
// the loads of pools that this daemon leads, and checks this daemon's waiting requests.
func (gate *Gate) tickSchedulers(now time.Time) {
	for _, sched := range gate.schedulers {
		sched.dropSilentCentres(now)
		gate.checkBudgets(now, sched)
		gate.apply(now, sched, sched.passRemoteLoads(now))
		gate.apply(now, sched, sched.local.Tick(now))
		if sched.leads {
			gate.reportSends(now, sched)
			gate.castLoad(now, sched)
		}
		gate.castFailures(sched)
	}
	gate.tickPlacements(now)
}

// followLeaders calls followLeader for each scheduler.
func (gate *Gate) followLeaders(now time.Time) {
	for _, sched := range gate.schedulers {
		gate.followLeader(now, sched)
	}
}

// followLeader determines which daemon leads the pool. If the leader has changed, followLeader
// reports this daemon's requests to the new leader.
func (gate *Gate) followLeader(now time.Time, sched *scheduler) {
	leader, found := gate.peers.Leader(sched.pool)
	incarnation := leader.Incarnation
	if !found {
		incarnation = yuccaid.Incarnation{}
	}
	if incarnation == sched.leader {
		// The number of daemons may have changed. The share of the slots that a daemon uses if it
		// decides without the leader depends on that number, so it has to be set again.
		gate.configure(now, sched)
		return
	}
	former := sched.leader
	sched.leader = incarnation
	sched.suspectUntil = time.Time{}
	ledBefore := sched.leads
	sched.leads = incarnation == gate.incarnation
	gate.log.stateChange("leader", "pool", sched.pool, "leader", leader.VM, "leads", sched.leads)
	sched.remoteReset = true
	if ledBefore && !sched.leads {
		sched.local.DropOtherOwners(gate.incarnation)
		sched.local.ClearOtherCentreLoads()
	}
	gate.handOver(now, sched, former, ledBefore)
	gate.configure(now, sched)
	for _, plc := range gate.placements {
		if plc.pool == sched.pool {
			gate.syncPlacement(now, sched, plc)
		}
	}
}

// resync reports this daemon's requests again to a leader that may have missed reports while
// there was no connection to it.
func (gate *Gate) resync(now time.Time, peer yuccaid.Incarnation) {
	for _, plc := range gate.placements {
		if sched := gate.schedulers[plc.pool]; sched != nil && sched.leader == peer {
			gate.syncPlacement(now, sched, plc)
		}
	}
}

// syncPlacement reports one of this daemon's requests to the pool's leader. It submits a request
// that waits, and sends a message with the target of a request that runs. A running request is not
// reported if this daemon is the leader or no leader is known.
func (gate *Gate) syncPlacement(now time.Time, sched *scheduler, plc *placement) {
	if !plc.running {
		gate.submit(now, sched, plc)
		return
	}
	if sched.leads || sched.leader.IsZero() {
		return
	}
	gate.send(sched.leader, yuccawire.KindHolding, yuccawire.Holding{
		Ask: wireRequest(now, plc), Target: plc.target, AgeMillis: now.Sub(plc.sentAt).Milliseconds(), Begun: plc.started,
	})
}

// submit passes a waiting request to the daemon that decides on it. That is the pool's leader, or
// this daemon itself if no leader is known, or if the leader is suspected or the request can't be
// sent to it. A request that is passed to the leader no longer waits here: if it were granted here
// after the leader has decided, its run would never end.
func (gate *Gate) submit(now time.Time, sched *scheduler, plc *placement) {
	plc.submittedAt = now
	plc.waitConfirmedAt = time.Time{}
	if sched.leads || sched.leader.IsZero() || now.Before(sched.suspectUntil) || plc.request.Regions.Empty() {
		plc.decidedLocally = true
		gate.apply(now, sched, sched.local.Submit(now, plc.request))
		return
	}
	plc.decidedLocally = false
	gate.apply(now, sched, sched.local.Withdraw(now, plc.request.ID))
	if err := gate.ask(now, sched.leader, plc); err != nil {
		gate.suspectLeader(now, sched, plc)
	}
}

// ask sends a request to its pool's leader.
func (gate *Gate) ask(now time.Time, leader yuccaid.Incarnation, plc *placement) error {
	if plc.request.Regions.Limited() {
		return gate.hub.Send(leader, yuccawire.KindRegionAsk, wireRegionRequest(now, plc))
	}
	if plc.request.Version != "" || !plc.request.End.IsZero() {
		return gate.hub.Send(leader, yuccawire.KindVersionAsk, wireVersionRequest(now, plc))
	}
	return gate.hub.Send(leader, yuccawire.KindAsk, wireRequest(now, plc))
}

// suspectLeader marks a leader that didn't respond as suspected for the time suspectFor. It
// withdraws the request from the leader, in case the leader has received it, and lets this daemon
// decide on the request.
func (gate *Gate) suspectLeader(now time.Time, sched *scheduler, plc *placement) {
	if now.After(sched.suspectUntil) {
		silence := now.Sub(plc.submittedAt)
		gate.log.stateChange("leader doubted", "pool", sched.pool, "leader", sched.leader.VM,
			"request", plc.req.info.ID, "silentMillis", silence.Milliseconds())
	}
	sched.suspectUntil = now.Add(suspectFor)
	gate.send(sched.leader, yuccawire.KindWithdrawn, yuccawire.Withdrawn{Pool: sched.pool, Number: plc.request.ID.Number})
	gate.submit(now, sched, plc)
}

// tickPlacements checks this daemon's waiting requests. If the leader hasn't responded to a request
// within leaderTimeout, this daemon decides on the request itself. If the leader hasn't confirmed
// within waitingTimeout that a request is still queued, the request is submitted to the leader
// again. A request that this daemon decides on itself is submitted to the leader once the leader is
// no longer suspected.
func (gate *Gate) tickPlacements(now time.Time) {
	for _, plc := range gate.placements {
		if plc.running {
			continue
		}
		sched := gate.schedulers[plc.pool]
		switch {
		case plc.decidedLocally && (sched.leads || sched.leader.IsZero() || now.Before(sched.suspectUntil)):
			// This daemon still has to decide on the request, so nothing changes.
		case plc.decidedLocally:
			gate.submit(now, sched, plc)
		case plc.waitConfirmedAt.IsZero() && now.Sub(plc.submittedAt) > leaderTimeout:
			gate.suspectLeader(now, sched, plc)
		case !plc.waitConfirmedAt.IsZero() && now.Sub(plc.waitConfirmedAt) > waitingTimeout:
			gate.submit(now, sched, plc)
		}
	}
}

// apply delivers a scheduler's decisions. Decisions on this daemon's own requests are delivered
// directly, and decisions on other daemons' requests are sent to these daemons as messages.
func (gate *Gate) apply(now time.Time, sched *scheduler, decisions yuccagrant.Decisions) {
	if sched.leads && len(decisions.Grants) > 0 {
		// Before the grants, so that the next leader knows of all sends, however soon this daemon is killed.
		gate.reportSends(now, sched)
	}
	for _, grant := range decisions.Grants {
		if grant.ID.Owner != gate.incarnation {
			gate.send(grant.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: sched.pool, Number: grant.ID.Number, Target: grant.Target, ExpectMillis: grant.ExpectedTimeToFirst.Milliseconds(),
				Busy: grant.Busy, Held: grant.Held, Fetch: grant.FetchFrom,
			})
			continue
		}
		gate.acceptGrant(now, sched, grant)
	}
	for _, refusal := range decisions.Refusals {
		if refusal.ID.Owner != gate.incarnation {
			gate.send(refusal.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: sched.pool, Number: refusal.ID.Number, Reason: string(refusal.Reason), BackMillis: refusal.RetryAfter.Milliseconds(),
				Waiting: refusal.QueueLength, Free: refusal.FreeSlots, WaitMillis: refusal.EstimatedWait.Milliseconds(),
			})
			continue
		}
		gate.deliverRefusal(refusal)
	}
}

// acceptGrant accepts a decision that sends one of this daemon's requests to a target. It ignores
// the decision if the request no longer waits. The leader may have decided with an older roster, so
// acceptGrant checks the target again. If the request may not use the target, acceptGrant reports that the
// grant isn't used and submits the request again, with this target excluded.
func (gate *Gate) acceptGrant(now time.Time, sched *scheduler, granted yuccagrant.Grant) {
	target := granted.Target
	plc := gate.placements[granted.ID.Number]
	if plc == nil || plc.running {
		return
	}
	entry, _ := gate.roster.Find(target)
	if why := gate.grantExclusion(plc, target); why != yuccaallow.Allowed {
		plc.req.logDecision("declined", "target", target, "why", why, "regions", plc.request.Regions.String(),
			"leader", sched.leader.VM, "revision", gate.platformRevision)
		gate.metrics.grantDeclined(why)
		plc.request.FailedTargets = append(plc.request.FailedTargets, target)
		if why == yuccaallow.Unregistered {
			plc.unknownTargets = append(plc.unknownTargets, target)
		}
		gate.reportFinished(now, sched, yuccagrant.Finished{ID: plc.request.ID, Outcome: yuccagrant.Dropped})
		gate.submit(now, sched, plc)
		return
	}
	plc.running = true
	plc.target = target
	plc.sentAt = now
	if !plc.decidedLocally {
		sched.local.AddRunning(now, yuccagrant.Running{Request: plc.request, Target: target, Sent: now})
	} else {
		gate.syncPlacement(now, sched, plc)
	}
	plc.decision <- decision{
		target: target, address: entry.Address, version: entry.StreamVersion(), startMillis: entry.StartMillis,
		fetchAddress: gate.fetchAddress(plc, granted.FetchFrom), withoutLeader: plc.decidedLocally && !sched.leads,
		decisionInputs: gate.decisionInputs(now, sched, granted),
	}
}

// reconsiderTargets submits the requests again that were granted a target which this daemon didn't know
// then and knows now. Without it, a request whose pool has no other target would wait until its deadline.
func (gate *Gate) reconsiderTargets(now time.Time) {
	for _, plc := range gate.placements {
		if plc.running || !slices.ContainsFunc(plc.unknownTargets, gate.isUsable) {
			continue
		}
		unknown := plc.unknownTargets
		plc.unknownTargets = nil
		plc.request.FailedTargets = slices.DeleteFunc(slices.Clone(plc.request.FailedTargets), func(target yuccaid.Target) bool {
			return slices.Contains(unknown, target) && gate.isUsable(target)
		})
		sched := gate.scheduler(now, plc.pool)
		gate.withdraw(now, sched, plc)
		gate.submit(now, sched, plc)
	}
}

// isUsable reports whether a target is registered and not leaving, and its data centre isn't evacuated.
func (gate *Gate) isUsable(target yuccaid.Target) bool {
	entry, found := gate.roster.Find(target)
	return found && !entry.Leaving && !gate.roster.Evacuated(entry.Centre)
}

// deliverRefusal delivers a refusal to one of this daemon's requests, if the request still waits.
func (gate *Gate) deliverRefusal(refusal yuccagrant.Refusal) {
	if plc := gate.placements[refusal.ID.Number]; plc != nil && !plc.running {
		delete(gate.placements, refusal.ID.Number)
		inputs := gate.decisionInputs(time.Now(), gate.schedulers[plc.pool], yuccagrant.Grant{})
		switch refusal.Reason {
		case yuccagrant.ReasonNoTarget, yuccagrant.ReasonNoRegion, yuccagrant.ReasonNoVersion:
			inputs.regions, inputs.excluded = plc.request.Regions, gate.excludedTargets(plc)
		}
		plc.decision <- decision{refusal: &refusal, decisionInputs: inputs}
	}
}

// decisionInputs returns what is logged along with a decision: what the grant was made from, the
// pool's leader, and the revision and age of what this daemon knows from the platform.
func (gate *Gate) decisionInputs(now time.Time, sched *scheduler, granted yuccagrant.Grant) decisionInputs {
	return decisionInputs{
		leader: sched.leader.VM, expectedFirst: granted.ExpectedTimeToFirst, busy: granted.Busy, held: granted.Held, fetchFrom: granted.FetchFrom,
		platformRevision: gate.platformRevision, platformAge: gate.platformAge(now),
	}
}

// reportFinished reports the end of a run, or a grant that isn't used, to this daemon's scheduler.
// If another daemon leads the pool, it reports to that leader as well.
func (gate *Gate) reportFinished(now time.Time, sched *scheduler, result yuccagrant.Finished) {
	gate.apply(now, sched, sched.local.RunFinished(now, result))
	if !sched.leads && !sched.leader.IsZero() {
		gate.send(sched.leader, yuccawire.KindEnded, wireFinished(sched.pool, result))
	}
}

// dropOwner drops the waiting and running requests of another daemon from all schedulers, because
// that daemon has departed or expired.
func (gate *Gate) dropOwner(now time.Time, owner yuccaid.Incarnation) {
	for _, sched := range gate.schedulers {
		gate.apply(now, sched, sched.local.DropOwner(now, owner))
	}
}
