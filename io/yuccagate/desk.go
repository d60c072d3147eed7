package yuccagate

import (
	"cmp"
	mathrand "math/rand/v2"
	"slices"
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
	// loadEvery and loadLatest bound how often a leader tells the other data centres what
	// it has on which target, when that has changed and when it hasn't.
	loadEvery  = 100 * time.Millisecond
	loadLatest = time.Second
	// loadWholeEvery is how often everything is told at most, and loadWholeEach the time that
	// is taken for each target: casts are lost with connections that break, and a new leader
	// elsewhere knows nothing, but the lists of large pools would else outweigh all changes.
	loadWholeEvery = 2 * time.Second
	loadWholeEach  = 10 * time.Millisecond
	// centresForGrain is how many other data centres make changes of one run more be left
	// out. Each change goes to all of them, over two ways, so that with fourteen data centres
	// loads took twelve times what a daemon may spend on control. A leader sends elsewhere
	// what its own targets can't take, and finds more targets to choose from the more data
	// centres there are: it needs to know which of them are free, not by how much.
	centresForGrain = 4
)

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
	// targetsAt is the version of the roster that own has.
	targetsAt uint64
	// told is what the other data centres were told of this one's targets, loadCast when that
	// was last, and loadWhole when they were last told everything.
	told      map[yuccaid.Target]yuccawire.TargetLoad
	loadCast  time.Time
	loadWhole time.Time
}

// centreLoad is what another data centre has running on a pool's targets.
type centreLoad struct {
	runs  map[yuccaid.Target]heardLoad
	heard time.Time
}

// heardLoad is what was last heard of one target, and in which cast of whom.
type heardLoad struct {
	load     yuccawire.TargetLoad
	origin   string
	sequence uint64
}

// take notes what a cast tells, but for targets of which a later cast of the same daemon has
// told already: of two ways one may be behind. It adds the targets for which that changes
// something to the news.
func (load *centreLoad) take(message yuccawire.Cast, news map[yuccaid.Target]bool) {
	overtaken := func(target yuccaid.Target) bool {
		had, known := load.runs[target]
		return known && had.origin == message.Origin && had.sequence > message.Sequence
	}
	named := make(map[yuccaid.Target]bool, len(message.Load))
	for _, each := range message.Load {
		named[each.Target] = true
		if overtaken(each.Target) {
			continue
		}
		if load.runs[each.Target].load != each {
			news[each.Target] = true
		}
		load.runs[each.Target] = heardLoad{load: each, origin: message.Origin, sequence: message.Sequence}
	}
	if message.Part {
		return
	}
	for target := range load.runs {
		if !named[target] && !overtaken(target) {
			delete(load.runs, target)
			news[target] = true
		}
	}
}

func (gate *Gate) desk(now time.Time, pool yuccaid.Pool) *desk {
	dsk := gate.desks[pool]
	if dsk == nil {
		seed := mathrand.NewPCG(mathrand.Uint64(), uint64(now.UnixNano()))
		dsk = &desk{pool: pool, own: yuccagrant.New(mathrand.New(seed)), away: make(map[yuccaid.Centre]*centreLoad), awayNews: make(map[yuccaid.Target]bool), told: make(map[yuccaid.Target]yuccawire.TargetLoad)}
		gate.desks[pool] = dsk
		gate.followLeader(now, dsk)
		gate.configure(now, dsk)
	}
	return dsk
}

// configure tells a desk of its targets, if they have changed, and of its part of them. A
// fleet that comes up has as many changes of its members as it has daemons.
func (gate *Gate) configure(now time.Time, dsk *desk) {
	gate.apply(now, dsk, dsk.own.Share(now, gate.sharers(dsk)))
	if version := gate.roster.Version(); dsk.targetsAt != version || version == 0 {
		dsk.targetsAt = version
		dsk.awayAll = true
		gate.apply(now, dsk, dsk.own.Configure(now, gate.targets(dsk)))
	}
}

// tickDesks looks at what waits.
func (gate *Gate) tickDesks(now time.Time) {
	for _, dsk := range gate.desks {
		dsk.forgetSilent(now)
		if dsk.leads {
			gate.apply(now, dsk, dsk.tellOthers(now))
		}
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
		// The share of a daemon that decides alone follows the number of daemons.
		gate.configure(now, dsk)
	}
}

func (gate *Gate) followLeader(now time.Time, dsk *desk) {
	leader, found := gate.peers.Leader(dsk.pool)
	inc := leader.Incarnation
	if !found {
		inc = yuccaid.Incarnation{}
	}
	if inc == dsk.leader {
		return
	}
	dsk.leader = inc
	dsk.doubted = time.Time{}
	led := dsk.leads
	dsk.leads = inc == gate.inc
	gate.log.belief("leader", "pool", dsk.pool, "leader", leader.VM, "leads", dsk.leads)
	dsk.awayAll = true
	if led && !dsk.leads {
		dsk.own.Keep(gate.inc)
		dsk.own.ForgetOthers()
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
		gate.apply(now, dsk, dsk.own.Ask(now, tkt.ask))
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
				Pool: dsk.pool, Number: grant.ID.Number, Target: grant.Target, ExpectMillis: grant.Expect.Milliseconds(), Busy: grant.Busy,
			})
			continue
		}
		gate.grant(now, dsk, grant)
	}
	for _, refusal := range dec.Refusals {
		if refusal.ID.Owner != gate.inc {
			gate.send(refusal.ID.Owner, yuccawire.KindPlaced, yuccawire.Placed{
				Pool: dsk.pool, Number: refusal.ID.Number, Reason: string(refusal.Reason), BackMillis: refusal.Back.Milliseconds(),
				Waiting: refusal.Waiting, Free: refusal.Free, WaitMillis: refusal.Wait.Milliseconds(),
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
		tkt.ask.Tried = append(tkt.ask.Tried, target)
		gate.giveBack(now, dsk, yuccagrant.Ended{ID: tkt.ask.ID, Outcome: yuccagrant.Dropped})
		gate.ask(now, dsk, tkt)
		return
	}
	tkt.running = true
	tkt.target = target
	tkt.sent = now
	if !tkt.alone {
		dsk.own.Hold(now, yuccagrant.Running{Ask: tkt.ask, Target: target, Sent: now})
	} else {
		gate.tell(now, dsk, tkt)
	}
	tkt.placed <- placed{
		target: target, address: entry.Address, alone: tkt.alone && !dsk.leads,
		inputs: gate.inputs(now, dsk, given.Expect, given.Busy),
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
func (gate *Gate) giveBack(now time.Time, dsk *desk, end yuccagrant.Ended) {
	gate.apply(now, dsk, dsk.own.Ended(now, end))
	if !dsk.leads && !dsk.leader.IsZero() {
		gate.send(dsk.leader, yuccawire.KindEnded, wireEnded(dsk.pool, end))
	}
}

// ownerGone drops what a lost daemon had waiting and running.
func (gate *Gate) ownerGone(now time.Time, owner yuccaid.Incarnation) {
	for _, dsk := range gate.desks {
		gate.apply(now, dsk, dsk.own.OwnerGone(now, owner))
	}
}

// paceGrain is the grain in which paces are told.
const paceGrain = 100

// castLoad tells the other data centres what this one has on which target: what has changed
// since the last cast, and now and then everything.
func (gate *Gate) castLoad(now time.Time, dsk *desk) {
	if now.Sub(dsk.loadCast) < loadEvery {
		return
	}
	centres := len(gate.centres)
	whole := now.Sub(dsk.loadWhole) >= wholeLoadSpacing(len(dsk.told), centres)
	loads := dsk.changedLoads(whole, 1+centres/centresForGrain)
	if len(loads) == 0 && now.Sub(dsk.loadCast) < loadLatest {
		return
	}
	dsk.loadCast = now
	if whole {
		dsk.loadWhole = now
	}
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicLoad, Pool: dsk.pool, Load: loads, Part: !whole})
}

// wholeLoadSpacing is how often everything that so many targets have is told to so many other
// data centres.
func wholeLoadSpacing(targets, centres int) time.Duration {
	return max(loadWholeEvery, time.Duration(targets*centres)*loadWholeEach/2)
}

// changedLoads returns what to tell of the targets: of all that have anything, or of those
// for which something has changed by the grain. That a target has become idle is told in any
// case.
func (dsk *desk) changedLoads(whole bool, grain int) []yuccawire.TargetLoad {
	var loads []yuccawire.TargetLoad
	for target, load := range dsk.own.Loads() {
		is := toldLoad(target, load)
		was, told := dsk.told[target]
		moved := max(was.Runs-is.Runs, is.Runs-was.Runs)
		changed := !told || moved >= grain || moved > 0 && is.Runs == 0 || paceChanged(was.Pace, is.Pace)
		if whole || changed {
			dsk.told[target] = is
			loads = append(loads, is)
		}
	}
	for target := range dsk.told {
		if dsk.own.Load(target) == (yuccagrant.TargetLoad{}) {
			loads = append(loads, yuccawire.TargetLoad{Target: target})
			delete(dsk.told, target)
		}
	}
	slices.SortFunc(loads, func(a, b yuccawire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return loads
}

func toldLoad(target yuccaid.Target, load yuccagrant.TargetLoad) yuccawire.TargetLoad {
	return yuccawire.TargetLoad{Target: target, Runs: load.Runs, Pace: int(load.Pace * paceGrain)}
}

// paceChanged reports whether a pace differs by more than answers differ by themselves.
func paceChanged(was, is int) bool {
	return 10*max(was-is, is-was) > max(was, is)
}

func (gate *Gate) onCentreLoad(now time.Time, message yuccawire.Cast) {
	dsk := gate.desk(now, message.Pool)
	away := dsk.away[message.Centre]
	if away == nil {
		away = &centreLoad{runs: make(map[yuccaid.Target]heardLoad, len(message.Load))}
		dsk.away[message.Centre] = away
	}
	away.heard = now
	away.take(message, dsk.awayNews)
}

// forgetSilent drops what was heard of data centres that have fallen silent. Their runs would
// else take places for ever, the more so where there is no third data centre whose news would
// have all of it counted anew.
func (dsk *desk) forgetSilent(now time.Time) {
	for name, load := range dsk.away {
		if now.Sub(load.heard) > centreFresh {
			delete(dsk.away, name)
			dsk.awayAll = true
		}
	}
}

// tellOthers tells this daemon's leader what the leaders of other data centres have: of the
// targets for which there is news, since there may be thousands of others.
func (dsk *desk) tellOthers(now time.Time) yuccagrant.Decisions {
	var dec yuccagrant.Decisions
	switch {
	case dsk.awayAll:
		dsk.own.ForgetOthers()
		dec = dsk.own.SetOthers(now, dsk.others())
	case len(dsk.awayNews) > 0:
		loads := make(map[yuccaid.Target]yuccagrant.TargetLoad, len(dsk.awayNews))
		for target := range dsk.awayNews {
			loads[target] = dsk.othersOn(target)
		}
		dec = dsk.own.SetOthers(now, loads)
	}
	dsk.awayAll = false
	clear(dsk.awayNews)
	return dec
}

// others sums what the leaders of other data centres have on each target.
func (dsk *desk) others() map[yuccaid.Target]yuccagrant.TargetLoad {
	others := make(map[yuccaid.Target]yuccagrant.TargetLoad)
	for _, load := range dsk.away {
		for target := range load.runs {
			if _, known := others[target]; !known {
				others[target] = dsk.othersOn(target)
			}
		}
	}
	return others
}

func (dsk *desk) othersOn(target yuccaid.Target) yuccagrant.TargetLoad {
	var sum yuccagrant.TargetLoad
	for _, load := range dsk.away {
		each := load.runs[target].load
		sum.Runs += each.Runs
		sum.Pace = max(sum.Pace, float64(each.Pace)/paceGrain)
	}
	return sum
}
