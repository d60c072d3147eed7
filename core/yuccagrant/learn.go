package yuccagrant

import (
	"math"
	"time"
)

// learnFirst takes a first event into the pool's model and the target's pace.
func (lead *Leader) learnFirst(one *run, took time.Duration) {
	net := max(took-one.node.RoundTrip, time.Millisecond).Seconds()
	expected := max(lead.model.first(one.ask.Prompt), time.Millisecond).Seconds()
	honest := one.ask.MaxGap == 0 || lead.lengths.learnFirst(one.ask.Class, net/one.node.pace/expected)
	if honest {
		lead.model.learnFirst(one.ask.Prompt, net/one.node.pace)
	}
	if lead.model.seen > 1 && one.ask.MaxGap == 0 {
		one.node.learnPace(net/expected, callWeight)
		lead.repaced(one.node)
	}
}

// judge learns from how a run ended.
func (lead *Leader) judge(now time.Time, one *run, end Finished) {
	nd := one.node
	switch end.Outcome {
	case Served:
		lead.learnServed(now, one, end)
	case Failed:
		nd.strikes = 0
		nd.outcome(true)
	case Rejected:
		nd.outcome(true)
		nd.rest = now.Add(restFirst / 2)
	case Broken:
		nd.outcome(true)
	case Unreachable, Lost, Misdirected:
		nd.outcome(true)
		nd.strike(now)
	case Dropped:
	}
}

func (lead *Leader) learnServed(now time.Time, one *run, end Finished) {
	nd := one.node
	nd.strikes = 0
	nd.outcome(false)
	lead.model.learnHold(now.Sub(one.sent).Seconds() / nd.pace)
	if one.ask.MaxGap > 0 {
		lead.lengths.learnAnswer(&one.ask, end.Events)
	}
	if end.Events > eventsForPace && end.Span > 0 {
		gap := end.Span.Seconds() / float64(end.Events-1)
		expected := lead.model.gap()
		lead.model.learnEvent(gap / nd.pace)
		if lead.model.events > 1 {
			nd.learnPace(gap/expected, paceWeight)
			lead.repaced(nd)
		}
	}
	if one.ask.MaxGap > 0 {
		nd.learnPause(end.LongestGap > one.ask.MaxGap)
	}
}

// repaced notes that a target's pace has changed.
func (lead *Leader) repaced(nd *node) {
	lead.newPaces = true
	lead.bound.pace = min(lead.bound.pace, nd.pace)
}

// normalise keeps the quickest known target at a pace of one, so that the model and the
// paces don't drift apart together.
func (lead *Leader) normalise() {
	if !lead.newPaces {
		return
	}
	lead.newPaces = false
	best := math.Inf(1)
	for _, nd := range lead.nodes {
		if nd.paced >= pacedEnough {
			best = min(best, nd.pace)
		}
	}
	if math.IsInf(best, 1) || math.Abs(best-1) < 0.02 {
		return
	}
	for _, nd := range lead.nodes {
		nd.pace /= best
	}
	lead.bound.configure(lead.nodes)
	lead.model.scale(best)
}
