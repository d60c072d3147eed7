package yuccagrant

import "time"

// otherCentreCost is the cost of a target in another data centre of this region. It is about what an
// idle target gains over one with a free slot left, so that a leader sends requests to its own data
// centre while a slot is free there.
const otherCentreCost = 50 * time.Millisecond

// centreCost returns the cost of a target for the place that it is in.
//
// A leader learns of the runs that other leaders have sent to a target a tenth of a second late. If
// all leaders of a region chose among the same targets, each would send its next request to the one
// that had a free slot then, and the requests would wait there while other targets are idle.
func (tgt *targetState) centreCost() time.Duration {
	switch {
	case tgt.Remote:
		return remoteCost
	case tgt.OtherCentre:
		return otherCentreCost
	}
	return 0
}

// setOvercommit sets how many requests may wait in the target's own queue. In the queue of a target of
// another data centre none may wait, because the leader there fills it. The shares of a pool whose runs
// are short (see Leader.belowShare) take the place of that rule.
func (tgt *targetState) setOvercommit(shortRuns bool) {
	tgt.overcommit = (tgt.Slots + overcommitDivisor - 1) / overcommitDivisor
	if tgt.OtherCentre && !shortRuns {
		tgt.overcommit = 0
	}
}
