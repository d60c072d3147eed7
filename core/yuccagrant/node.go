package yuccagrant

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// node is one target as a leader sees it.
type node struct {
	Target
	// whole are the target's places; Slots is this leader's part of them.
	whole int
	runs  map[ID]*run
	// pace is how many times longer than on the quickest target things take.
	pace   float64
	paced  int
	late   float64
	failed float64
	// rest is until when the target gets nothing, and strikes counts the failures in a row.
	rest    time.Time
	strikes int
	// foreign are runs that the target reported beyond ours, until they are out of date.
	foreign      int
	foreignUntil time.Time
	// others are the runs that other leaders told of.
	others int
	// bias differs from leader to leader. Without it all that know nothing yet would send
	// their first requests to the same target.
	bias float64
}

// run is one request on a target.
type run struct {
	ask    Request
	node   *node
	sent   time.Time
	begun  bool
	expect time.Duration
}

func newNode(target Target, bias float64) *node {
	return &node{Target: target, runs: make(map[ID]*run), pace: 1, bias: bias}
}

// share sets the leader's part of the places.
func (nd *node) share(sharers int) {
	nd.Slots = (nd.whole + sharers - 1) / sharers
}

// load is what other leaders are told of the target.
func (nd *node) load() TargetLoad {
	load := TargetLoad{Runs: len(nd.runs)}
	if nd.paced >= pacedEnough {
		load.Pace = nd.pace
	}
	return load
}

// busy returns how many places of the target are taken, as far as is known.
func (nd *node) busy(now time.Time) int {
	sum := len(nd.runs) + nd.others
	if now.Before(nd.foreignUntil) {
		sum += nd.foreign
	}
	return sum
}

func (nd *node) free(now time.Time) int {
	return max(nd.Slots-nd.busy(now), 0)
}

// room returns how many requests more the target may be sent. A few wait there beyond its
// places, so that a place that comes free doesn't idle while the news of it is on its way;
// more would wait where no rank counts.
func (nd *node) room(now time.Time) int {
	return max(nd.Slots+(nd.Slots+spareParts-1)/spareParts-nd.busy(now), 0)
}

// reported takes the target's own word on its load. What the leaders of other data centres
// told is a moment older, so a difference of a run or two means nothing.
func (nd *node) reported(now time.Time, load ReportedLoad) {
	if !load.Known {
		return
	}
	nd.foreign = max(load.Running+load.Waiting-len(nd.runs)-nd.others-foreignSlack, 0)
	nd.foreignUntil = now.Add(foreignFor)
}

// resting reports whether the target gets nothing now.
//
// A target that hangs or drops what it gets fails each request after a long time, and one
// that refuses connections fails it at once and so always looks idle. Either would draw
// request after request. One failure gives it a short rest, failures in a row longer ones,
// and a run that is overdue keeps others away until it shows something.
func (nd *node) resting(now time.Time) bool {
	return now.Before(nd.rest) || nd.overdue(now)
}

func (nd *node) overdue(now time.Time) bool {
	for _, one := range nd.runs {
		if !one.begun && now.Sub(one.sent) > time.Duration(overdueRatio*float64(one.expect))+overdueSlack {
			return true
		}
	}
	return false
}

// strike notes a failure after which the target had better be left alone for a while.
func (nd *node) strike(now time.Time) {
	pause := min(restFirst<<min(nd.strikes, 8), restLast)
	nd.strikes++
	nd.rest = now.Add(pause)
}

func (nd *node) outcome(failed bool) {
	sample := 0.0
	if failed {
		sample = 1
	}
	nd.failed += failWeight * (sample - nd.failed)
}

// learnPace takes one answer into the target's pace. The time between events says much of a
// target, the time to a single answer as much of the request.
func (nd *node) learnPace(ratio, weight float64) {
	ratio = min(max(ratio, 1/mostPace), mostPace)
	nd.paced++
	nd.pace += max(weight, 1/float64(nd.paced)) * (ratio - nd.pace)
}

// adopt takes over a pace that another leader has learned, as long as this one has seen
// less, and reports whether it did.
func (nd *node) adopt(pace float64) bool {
	if nd.paced >= pacedEnough || pace <= 0 {
		return false
	}
	nd.pace = pace
	nd.paced = pacedEnough
	return true
}

func (nd *node) learnPause(late bool) {
	sample := 0.0
	if late {
		sample = 1
	}
	nd.late += lateWeight * (sample - nd.late)
}

func (nd *node) tried(ask *Request) bool {
	for _, name := range ask.FailedTargets {
		if name == nd.Name {
			return true
		}
	}
	return false
}

// TargetStatus is one target as the leader sees it, for operators.
type TargetStatus struct {
	Target       yuccaid.Target `json:"target"`
	Busy         int            `json:"busy"`
	Slots        int            `json:"slots"`
	Pace         float64        `json:"pace"`
	LateFraction float64        `json:"late"`
	FailureRate  float64        `json:"failed"`
	BackingOff   bool           `json:"resting"`
}
