package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// Forecast is what a leader would decide on a request now.
type Forecast struct {
	// Target is the target that the request would be sent to, and Refused why it would be refused. If both are empty, it
	// would wait.
	Target  yuccaid.Target
	Refused Reason
	// ExpectedTimeToFirst is the expected time from sending to the first event, and FetchFrom the target from which the
	// target would fetch parts of the prompt, empty if it would fetch none.
	ExpectedTimeToFirst time.Duration
	FetchFrom           yuccaid.Target
	// Ahead is the number of waiting requests that go first, and EstimatedWait how long they are expected to take.
	Ahead         int
	EstimatedWait time.Duration
	// Candidates are the targets that the leader knows.
	Candidates []Candidate
}

// Candidate is how a leader rates a target for a request.
type Candidate struct {
	Target yuccaid.Target
	Centre yuccaid.Centre
	Region yuccaid.Region
	// Exclusion is why the request may not be sent to the target now, yuccaallow.Allowed if it may.
	Exclusion yuccaallow.Exclusion
	// OnTime reports whether the first event is expected in time. Among allowed targets, those that are on time come first,
	// and then the one with the lowest Cost.
	OnTime bool
	// ExpectedTimeToFirst is the expected time from sending to the first event.
	ExpectedTimeToFirst time.Duration
	// Cost is ExpectedTimeToFirst plus the delay that the request is expected to cause others.
	Cost time.Duration
	// Busy is how many of the Slots are occupied.
	Busy, Slots int
	// Held is how many tokens of the prompt the target is assumed to hold.
	Held yuccaid.Tokens
}

// Forecast returns what Submit would decide on a request now, and changes nothing. It assumes that requests which wait go on
// waiting.
func (lead *Leader) Forecast(now time.Time, req Request) Forecast {
	defer lead.restoreHeld(lead.generation)
	entry := lead.newEntry(now, req)
	fc := Forecast{Candidates: lead.candidates(now, &entry.Request)}
	fc.Ahead = lead.queue.countAhead(now, entry)
	fc.EstimatedWait = lead.waitFor(now, entry, lead.capacities(now))
	fc.Refused = lead.presence.missing(now, entry.limits())
	if fc.Refused == "" && lead.queue.len() >= maxQueued {
		fc.Refused = ReasonQueueFull
	}
	if fc.Refused != "" {
		return fc
	}
	if best, found := lead.pick(now, entry); found && !lead.queue.outOfReach(now, entry) {
		fc.Target, fc.FetchFrom = best.targetState.Name, best.available.from
		fc.ExpectedTimeToFirst = best.expectedTimeToFirst
		return fc
	}
	lead.queue.push(entry)
	defer lead.queue.remove(entry.ID)
	if lead.cannotMeetDeadline(now, entry, lead.capacities(now)) {
		fc.Refused = ReasonLate
	}
	return fc
}

// candidates returns how the leader rates each of its targets for a request.
func (lead *Leader) candidates(now time.Time, req *Request) []Candidate {
	base := lead.baseline(now, req)
	list := make([]Candidate, 0, len(lead.targets))
	for _, tgt := range lead.targets {
		estimate := lead.estimate(now, tgt, req, &base)
		why := tgt.lastingExclusion(req)
		if why == yuccaallow.Allowed {
			why = lead.exclusion(now, tgt, req)
		}
		list = append(list, Candidate{
			Target: tgt.Name, Centre: tgt.Centre, Region: tgt.Region,
			Exclusion: why, OnTime: estimate.suitable,
			ExpectedTimeToFirst: estimate.expectedTimeToFirst, Cost: estimate.cost,
			Busy: tgt.busySlots(now), Slots: tgt.Slots, Held: lead.heldTokens(tgt, req),
		})
	}
	return list
}

// restoreHeld forgets what findHeldParts has found since the given generation, so that later requests are decided on as if it had
// not been called.
func (lead *Leader) restoreHeld(generation uint64) {
	lead.generation = generation
	for _, tgt := range lead.targets {
		if tgt.heldGeneration > generation {
			tgt.heldGeneration = 0
		}
	}
}

// goesBefore reports whether a waiting request goes before another one that is submitted now.
func (entry *queueEntry) goesBefore(now time.Time, other *queueEntry) bool {
	return entry.Tier < other.Tier || entry.Tier == other.Tier && entry.key(now) <= other.key(now)
}

// countAhead returns the number of waiting requests that go before one that is submitted now.
func (q *queue) countAhead(now time.Time, entry *queueEntry) int {
	count := 0
	for _, other := range q.byID {
		if other.goesBefore(now, entry) {
			count++
		}
	}
	return count
}

// outOfReach reports whether so many waiting requests with the same limits go first that grantTier would end before it
// reached the request.
func (q *queue) outOfReach(now time.Time, entry *queueEntry) bool {
	count := 0
	for _, other := range q.byID {
		sameKind := other.limits() == entry.limits() && other.onTime(now) == entry.onTime(now)
		if sameKind && other.Tier == entry.Tier && other.goesBefore(now, entry) {
			count++
		}
	}
	return count >= maxMisses
}
