package yuccagrant

import (
	"iter"
	"math/rand/v2"
	"time"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspeed"
)

// Leader schedules the requests of one pool. It isn't safe for concurrent use.
type Leader struct {
	rng *rand.Rand
	// targets lists the targets of this region before those of other regions.
	targets       []*targetState
	targetsByName map[yuccaid.Target]*targetState
	presence      presence
	// evacuated are the data centres whose targets have left because of an evacuation, and evacuatedBefore
	// those that were evacuated when the targets were last set.
	evacuated, evacuatedBefore map[yuccaid.Centre]bool
	sharing                    sharing
	// remoteBound is a lower bound on the cost of targets in other regions.
	remoteBound remoteBound
	// pacesChanged reports that a pace has changed since paces were last normalised.
	pacesChanged bool
	runs         map[ID]*activeRun
	queue        queue
	latencyModel latencyModel
	lengthModel  lengthModel
	sizeStats    sizeStats
	arrivals     arrivals
	retries      retries
	// speeds estimates from what targets state how long work takes there at the moment.
	speeds yuccaspeed.Model
	// parts finds the targets that hold the parts of a prompt. generation counts the requests for
	// which that was looked up.
	parts      yuccacache.Index[*targetState]
	generation uint64
	fetches    fetches
	// newParts are the parts that targets have begun to hold and that haven't been reported to other
	// leaders.
	newParts []HeldPart
	// newFailures are the targets whose failures have changed since they were last reported to other
	// leaders.
	newFailures map[yuccaid.Target]bool
	// tookOverAt is when the leader took over from another one of whose sends it doesn't know, zero if it
	// knows them. newSends are its sends that haven't been reported to the daemon that would lead next.
	tookOverAt time.Time
	newSends   []Send
}

// New returns a leader without targets. SetTargets sets them.
func New(rng *rand.Rand) *Leader {
	return &Leader{
		rng:         rng,
		sharing:     sharing{leaderCount: 1, centreCount: 1},
		runs:        make(map[ID]*activeRun),
		queue:       newQueue(),
		lengthModel: newLengthModel(),
		sizeStats:   newSizeStats(),
		arrivals:    newArrivals(),
		retries:     newRetries(),
		parts:       yuccacache.NewIndex[*targetState](),
		fetches:     fetches{success: 1},
	}
}

// Submit adds a request, which is granted, refused or queued. It does nothing if the request is
// already waiting or running.
func (lead *Leader) Submit(now time.Time, req Request) Decisions {
	var dec Decisions
	if _, found := lead.runs[req.ID]; found {
		return dec
	}
	if _, found := lead.queue.byID[req.ID]; found {
		return dec
	}
	if reason := lead.presence.missing(now, req.limits()); reason != "" {
		lead.refuse(now, lead.newEntry(now, req), reason, &dec)
		return dec
	}
	if lead.queue.len() >= maxQueued {
		lead.refuse(now, lead.newEntry(now, req), ReasonQueueFull, &dec)
		return dec
	}
	if req.Regions.Limited() && !lead.sharing.servesLimited {
		lead.sharing.servesLimited = true
		lead.shareSlots()
	}
	entry := lead.newEntry(now, req)
	lead.arrivals.add(now, entry)
	lead.queue.push(entry)
	lead.grantSlots(now, &dec)
	if lead.IsWaiting(req.ID) && lead.cannotMeetDeadline(now, entry, lead.capacities(now)) {
		lead.queue.remove(req.ID)
		lead.refuse(now, entry, ReasonLate, &dec)
	}
	return dec
}

// Withdraw removes a waiting request whose caller has stopped waiting.
func (lead *Leader) Withdraw(now time.Time, id ID) Decisions {
	var dec Decisions
	if lead.queue.remove(id) == nil {
		return dec
	}
	lead.grantSlots(now, &dec)
	return dec
}

// RunStarted records the first event of a run. took is the time from sending to that event, and
// load is what the target reported with the event.
func (lead *Leader) RunStarted(now time.Time, id ID, took time.Duration, load ReportedLoad) Decisions {
	var dec Decisions
	run, found := lead.runs[id]
	if !found || run.started {
		return dec
	}
	run.started = true
	run.targetState.updateOverdue()
	run.targetState.recordAnswer(now, run, took)
	lead.recordBegun(run)
	run.targetState.recordReport(now, load)
	lead.recordSpeed(now, run, load)
	lead.learnTimeToFirst(now, run, took)
	lead.grantSlots(now, &dec)
	return dec
}

// RunFinished frees the slot of a run and learns from its outcome.
func (lead *Leader) RunFinished(now time.Time, result Finished) Decisions {
	var dec Decisions
	run, found := lead.runs[result.ID]
	if !found {
		return dec
	}
	if result.TimeToFirst > 0 && !run.started {
		lead.recordSpeed(now, run, result.Load)
		lead.learnTimeToFirst(now, run, result.TimeToFirst)
	}
	if !run.started {
		if result.Outcome == Served || result.Outcome == Failed {
			run.targetState.recordAnswer(now, run, now.Sub(run.sent))
		}
		run.targetState.recordReport(now, result.Load)
	}
	lead.removeRun(run)
	lead.recordOutcome(now, run, result)
	lead.grantSlots(now, &dec)
	return dec
}

// AddRunning adds a run that was granted by another leader, and removes its request from the queue
// if the request was waiting here. The run isn't counted if its target is not one of this leader's
// targets.
func (lead *Leader) AddRunning(now time.Time, running Running) {
	if _, found := lead.runs[running.Request.ID]; found {
		return
	}
	lead.queue.remove(running.Request.ID)
	tgt, found := lead.targetsByName[running.Target]
	if !found {
		return
	}
	run := lead.addRun(now, tgt, running.Request)
	if now.Sub(tgt.tookOverAt) < takeOverWait {
		tgt.recordSend(now, running.Sent)
	}
	run.sent = running.Sent
	run.started = running.Started
	tgt.updateOverdue()
}

// DropOwner removes the waiting and running requests of a daemon that is no longer a peer. Targets
// abort a request when its connection closes, so the slots of the daemon's runs become free.
func (lead *Leader) DropOwner(now time.Time, owner yuccaid.Incarnation) Decisions {
	var dec Decisions
	for id, entry := range lead.queue.byID {
		if entry.ID.Owner == owner {
			lead.queue.remove(id)
		}
	}
	for id, run := range lead.runs {
		if id.Owner == owner {
			lead.removeRun(run)
		}
	}
	lead.grantSlots(now, &dec)
	return dec
}

// DropOtherOwners removes the waiting and running requests of all owners but the given one. It
// is called when another daemon has become leader.
func (lead *Leader) DropOtherOwners(owner yuccaid.Incarnation) {
	for id := range lead.queue.byID {
		if id.Owner != owner {
			lead.queue.remove(id)
		}
	}
	for id, run := range lead.runs {
		if id.Owner != owner {
			lead.removeRun(run)
		}
	}
}

// SetOtherCentreLoads sets how many runs the leaders of other data centres have on the given
// targets, and whether the targets have been tried there. It adopts the paces that those leaders have
// learned for targets of which this leader has too few samples.
func (lead *Leader) SetOtherCentreLoads(now time.Time, loads map[yuccaid.Target]TargetLoad) Decisions {
	var dec Decisions
	for target, load := range loads {
		if tgt, found := lead.targetsByName[target]; found {
			tgt.otherCentreRuns = load.Runs
			tgt.recordTried(load.Tried)
			if tgt.adoptPace(load.Pace) {
				lead.notePaceChange(tgt)
			}
		}
	}
	lead.spreadOtherRuns()
	lead.grantSlots(now, &dec)
	return dec
}

// ClearOtherCentreLoads clears the numbers of runs that were set by SetOtherCentreLoads.
func (lead *Leader) ClearOtherCentreLoads() {
	for _, tgt := range lead.targets {
		tgt.otherCentreRuns = 0
	}
	lead.spreadOtherRuns()
}

// TargetLoad is the number of runs that a leader has on one target, and the pace that the leader
// has learned for the target, zero if it is unknown or the target has failed and hasn't answered since.
// Tried reports, of a load that other leaders have sent, that the leader of the target's own data
// centre knows its pace. OtherCentre reports, of a load of this leader, that the target is in another
// data centre.
type TargetLoad struct {
	Runs        int
	Pace        float64
	Tried       bool
	OtherCentre bool
}

// IsZero reports whether there is nothing to tell of the target.
func (load TargetLoad) IsZero() bool { return load.Runs == 0 && load.Pace == 0 }

// Loads iterates over the targets that have runs of this leader or a known pace.
func (lead *Leader) Loads() iter.Seq2[yuccaid.Target, TargetLoad] {
	return func(yield func(yuccaid.Target, TargetLoad) bool) {
		for _, tgt := range lead.targets {
			if load := tgt.load(); !load.IsZero() && !yield(tgt.Name, load) {
				return
			}
		}
	}
}

// Load returns this leader's load on one target.
func (lead *Leader) Load(target yuccaid.Target) TargetLoad {
	if tgt, found := lead.targetsByName[target]; found {
		return tgt.load()
	}
	return TargetLoad{}
}

// IsWaiting reports whether a request is in the queue.
func (lead *Leader) IsWaiting(id ID) bool {
	_, found := lead.queue.byID[id]
	return found
}

// Tick makes the decisions that depend on the time that has passed: it forgets runs older than
// maxRunAge, grants slots of targets whose backoff has passed, and refuses requests that can no
// longer be served in time. It also normalises the paces and updates the length model's median
// ratio. Call it every few tens of milliseconds while requests are waiting.
func (lead *Leader) Tick(now time.Time) Decisions {
	var dec Decisions
	for _, run := range lead.runs {
		if now.Sub(run.sent) > maxRunAge {
			lead.removeRun(run)
		}
	}
	lead.normalisePaces()
	lead.lengthModel.updateMedian()
	lead.countOwnSlots(now)
	lead.grantSlots(now, &dec)
	lead.refuseExpired(now, &dec)
	return dec
}

// QueueLength returns the number of waiting requests.
func (lead *Leader) QueueLength() int { return lead.queue.len() }

// Targets returns the status of all targets.
func (lead *Leader) Targets(now time.Time) []TargetStatus {
	list := make([]TargetStatus, 0, len(lead.targets))
	for _, tgt := range lead.targets {
		list = append(list, TargetStatus{
			Target:       tgt.Name,
			Busy:         tgt.busySlots(now),
			Slots:        tgt.Slots,
			Pace:         tgt.pace,
			LateFraction: tgt.lateFraction,
			FailureRate:  tgt.failureRate,
			BackingOff:   tgt.backingOff(now),
			Slowness:     lead.slowness(now, tgt),
			Tripped:      tgt.tripped(),
			Cold:         tgt.isCold(now),
			HeldBack:     tgt.heldBack(now),
			Window:       tgt.window.Size(now),
		})
	}
	return list
}
