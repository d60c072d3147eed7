package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
)

// Forecast is what a leader would decide on a request now. The request would be sent to Target; if Target is empty, it would be
// refused for the reason Refused; if that is empty too, it would wait.
type Forecast struct {
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

// Candidate is what a leader makes of a target for a request.
type Candidate struct {
	Target yuccaid.Target
	Centre yuccaid.Centre
	Region yuccaid.Region
	// Exclusion is why the request may not be sent to the target now, yuccaallow.Allowed if it may. The target with the lowest cost
	// is chosen among those that may and are expected to be on time, if there are any.
	Exclusion yuccaallow.Exclusion
	OnTime    bool
	// ExpectedTimeToFirst is the expected time from sending to the first event. Cost adds to it what sending the request there
	// costs others.
	ExpectedTimeToFirst time.Duration
	Cost                time.Duration
	// Busy is how many of the Slots are occupied, and Held how many tokens of the prompt the target is assumed to hold.
	Busy, Slots int
	Held        yuccaid.Tokens
}

// Forecast returns what Submit would decide on a request now, and changes nothing. Waiting requests count as if they went on waiting.
func (lead *Leader) Forecast(now time.Time, req Request) Forecast {
	defer lead.restoreHeld(lead.generation)
	entry := lead.newEntry(now, req)
	fc := Forecast{Candidates: lead.candidates(now, &entry.Request)}
	fc.Ahead = lead.queue.countAhead(entry)
	fc.EstimatedWait = lead.capacities(now).wait(entry.limits(), lead.queue.workAhead(entry.Tier, entry.sortKey))
	fc.Refused = lead.present.missing(now, entry.limits())
	if fc.Refused == "" && lead.queue.len() >= maxQueued {
		fc.Refused = ReasonQueueFull
	}
	if fc.Refused != "" {
		return fc
	}
	if best, found := lead.pick(now, entry); found && !lead.queue.hides(now, entry) {
		fc.Target, fc.ExpectedTimeToFirst, fc.FetchFrom = best.targetState.Name, best.expectedTimeToFirst, best.available.from
		return fc
	}
	lead.queue.push(entry)
	defer lead.queue.remove(entry.ID)
	if lead.cannotMeetDeadline(now, entry, lead.capacities(now)) {
		fc.Refused = ReasonLate
	}
	return fc
}

// candidates returns what the leader makes of its targets for a request.
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
			Target: tgt.Name, Centre: tgt.Centre, Region: tgt.Region, Exclusion: why, OnTime: estimate.suitable,
			ExpectedTimeToFirst: estimate.expectedTimeToFirst, Cost: estimate.cost, Busy: tgt.busySlots(now), Slots: tgt.Slots, Held: lead.heldTokens(tgt, req),
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
func (entry *queueEntry) goesBefore(other *queueEntry) bool {
	return entry.Tier < other.Tier || entry.Tier == other.Tier && entry.sortKey <= other.sortKey
}

// countAhead returns the number of waiting requests that go before one that is submitted now.
func (q *queue) countAhead(entry *queueEntry) int {
	count := 0
	for _, other := range q.byID {
		if other.goesBefore(entry) {
			count++
		}
	}
	return count
}

// hides reports whether so many waiting requests with the same limits go first that grantTier would not reach the request.
func (q *queue) hides(now time.Time, entry *queueEntry) bool {
	count := 0
	for _, other := range q.byID {
		if other.Tier == entry.Tier && other.goesBefore(entry) && other.limits() == entry.limits() && other.onTime(now) == entry.onTime(now) {
			count++
		}
	}
	return count >= maxMisses
}
