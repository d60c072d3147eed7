package yuccagrant

import (
	"math"
	"time"
)

// serve grants places, the most urgent tier first.
//
// Within a tier it is shared by expected work: a request that holds its place briefly goes
// before a longer one, and before one of a more urgent rank if it is shorter by more than
// the ranks differ by. Those that can still be on time go before those that are late. A
// request that has waited for long is no longer passed by less urgent ones.
func (lead *Leader) serve(now time.Time, dec *Decisions) {
	for _, ln := range lead.queue.lines {
		rank, found := ln.pressed(now)
		if !found {
			lead.serveLine(now, ln, anyRank, dec)
			continue
		}
		lead.serveLine(now, ln, func(item *waiting) bool { return item.rank() <= rank }, dec)
		lead.serveLine(now, ln, func(item *waiting) bool { return item.rank() > rank }, dec)
	}
}

func anyRank(*waiting) bool { return true }

// serveLine grants places to the requests of one tier that are chosen.
func (lead *Leader) serveLine(now time.Time, ln *line, chosen func(*waiting) bool, dec *Decisions) {
	for _, onTime := range []bool{true, false} {
		missed := 0
		for at := 0; at < len(ln.items) && missed < looks; {
			item := ln.items[at]
			switch {
			case item.onTime(now) != onTime || !chosen(item):
				at++
			case !lead.place(now, item, dec):
				at++
				missed++
			}
		}
	}
}

// place grants a request its best target. One that can still be on time waits rather than
// take a target where it would be late, while a better one may become free in time.
func (lead *Leader) place(now time.Time, item *waiting, dec *Decisions) bool {
	best := lead.choose(now, &item.Request)
	if best.node == nil {
		return false
	}
	if !best.suits && item.onTime(now) && lead.worthWaiting(now, &item.Request) {
		return false
	}
	lead.queue.remove(item.ID)
	lead.sizes.learn(item.rank(), item.work, true)
	busy := best.node.busy(now)
	lead.start(now, best.node, item.Request)
	dec.Grants = append(dec.Grants, Grant{ID: item.ID, Target: best.node.Name, ExpectedFirst: best.first, Busy: busy})
	return true
}

// worthWaiting reports whether a target that would suit the request is full now and
// likely to have a place while the request can still be on time.
func (lead *Leader) worthWaiting(now time.Time, ask *Request) bool {
	wait := lead.nextPlace(now)
	view := lead.basis(ask)
	for _, nd := range lead.nodes {
		if nd.resting(now) || nd.tried(ask) {
			continue
		}
		one := lead.estimate(now, nd, ask, &view)
		if one.suits && one.first+wait <= time.Duration(margin*float64(ask.SoftDeadline.Sub(now))) {
			return true
		}
	}
	return false
}

// nextPlace is the mean time until some place becomes free.
func (lead *Leader) nextPlace(now time.Time) time.Duration {
	return lead.wait(now, lead.model.held())
}

// wait is how long it takes until so much work is done, in seconds of the quickest target.
func (lead *Leader) wait(now time.Time, work float64) time.Duration {
	return seconds(work / max(lead.places(now), 0.5))
}

// newWaiting returns an ask for the queue.
func (lead *Leader) newWaiting(now time.Time, ask Request) *waiting {
	work := lead.work(&ask)
	weight := math.Pow(rankWeight, float64(ask.rank()))
	return &waiting{Request: ask, asked: now, work: work, index: weight * lead.sizes.weigh(ask.rank(), work)}
}

// work is how long a run is expected to hold a place of the quickest target, in seconds.
func (lead *Leader) work(ask *Request) float64 {
	events, known := lead.lengths.events(ask)
	if ask.MaxGap <= 0 || !known {
		return lead.model.held()
	}
	return lead.first(ask) + lead.model.gap()*max(events-1, 0)
}

// first is how long the quickest target is expected to take to the first event, in seconds.
func (lead *Leader) first(ask *Request) float64 {
	return lead.model.first(ask.Prompt).Seconds() * lead.lengths.firstRatio(ask.Class)
}

func (lead *Leader) start(now time.Time, nd *node, ask Request) *run {
	view := lead.basis(&ask)
	one := &run{ask: ask, node: nd, sent: now, expect: lead.estimate(now, nd, &ask, &view).first}
	lead.runs[ask.ID] = one
	nd.runs[ask.ID] = one
	return one
}

func (lead *Leader) finish(one *run) {
	delete(lead.runs, one.ask.ID)
	delete(one.node.runs, one.ask.ID)
}
