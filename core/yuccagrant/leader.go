package yuccagrant

import (
	"cmp"
	"iter"
	"math/rand/v2"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Leader decides for one pool. It isn't safe for concurrent use.
type Leader struct {
	rng *rand.Rand
	// nodes are the targets, those of this region before the others.
	nodes  []*node
	byName map[yuccaid.Target]*node
	// sharers is how many daemons each use their part of the places.
	sharers int
	// bound is what no target of another region can cost less than.
	bound bound
	// newPaces says that a pace has changed since the last normalising.
	newPaces bool
	runs     map[ID]*run
	queue    queue
	model    model
	lengths  lengths
	sizes    sizes
	// empty is since when there is no target, as long as there is none.
	empty time.Time
}

// New returns a leader without targets; Configure gives it some.
func New(rng *rand.Rand) *Leader {
	return &Leader{rng: rng, sharers: 1, runs: make(map[ID]*run), queue: newQueue(), lengths: newLengths(), sizes: newSizes()}
}

// Configure sets the targets. What is known of one stays as long as it is the same
// process; what runs on one that takes no more work goes on.
func (lead *Leader) Configure(now time.Time, targets []Target) Decisions {
	old := lead.byName
	lead.byName = make(map[yuccaid.Target]*node, len(targets))
	lead.nodes = make([]*node, 0, len(targets))
	usual := usualPace(old)
	for _, target := range targets {
		nd := old[target.Name]
		if nd == nil || nd.StartMillis != target.StartMillis {
			nd = newNode(target, biasPart*lead.rng.Float64())
			nd.pace = usual
		}
		nd.Target = target
		nd.whole = target.Slots
		nd.share(lead.sharers)
		lead.nodes = append(lead.nodes, nd)
		lead.byName[target.Name] = nd
	}
	slices.SortFunc(lead.nodes, func(a, b *node) int { return cmp.Or(compareAway(a, b), cmp.Compare(a.Name, b.Name)) })
	lead.bound.configure(lead.nodes)
	lead.newPaces = true
	switch {
	case len(lead.nodes) > 0:
		lead.empty = time.Time{}
	case lead.empty.IsZero():
		lead.empty = now
	}
	var dec Decisions
	lead.serve(now, &dec)
	return dec
}

func compareAway(a, b *node) int {
	switch {
	case a.Remote == b.Remote:
		return 0
	case b.Remote:
		return -1
	}
	return 1
}

// SetLeaderCount sets how many daemons decide on the same targets without knowing of one another:
// each takes its part of the places. There is one at least.
func (lead *Leader) SetLeaderCount(now time.Time, sharers int) Decisions {
	var dec Decisions
	if sharers == lead.sharers {
		return dec
	}
	lead.sharers = sharers
	for _, nd := range lead.nodes {
		nd.share(sharers)
	}
	lead.serve(now, &dec)
	return dec
}

// usualPace is what an unknown target is taken for: the middle of those that are known.
func usualPace(nodes map[yuccaid.Target]*node) float64 {
	var known []float64
	for _, nd := range nodes {
		if nd.paced > 0 {
			known = append(known, nd.pace)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return known[len(known)/2]
}

// Submit takes a request: it is granted, refused or left waiting.
func (lead *Leader) Submit(now time.Time, ask Request) Decisions {
	var dec Decisions
	if _, runs := lead.runs[ask.ID]; runs {
		return dec
	}
	if _, waits := lead.queue.byID[ask.ID]; waits {
		return dec
	}
	if lead.deserted(now) {
		lead.refuse(now, lead.newWaiting(now, ask), ReasonNoTarget, &dec)
		return dec
	}
	if lead.queue.len() >= mostWaiting {
		lead.refuse(now, lead.newWaiting(now, ask), ReasonQueueFull, &dec)
		return dec
	}
	item := lead.newWaiting(now, ask)
	lead.queue.push(item)
	lead.serve(now, &dec)
	if lead.IsWaiting(ask.ID) && lead.hopeless(now, item) {
		lead.queue.remove(ask.ID)
		lead.refuse(now, item, ReasonLate, &dec)
	}
	return dec
}

// deserted reports whether there is no target and hardly will be one soon.
//
// A daemon that has just started learns of its targets a moment after its first requests,
// and after an outage of the platform all registrations may be missing until the targets
// renew them. Who comes meanwhile is better served late than sent away.
func (lead *Leader) deserted(now time.Time) bool {
	return len(lead.nodes) == 0 && now.Sub(lead.empty) >= renewal
}

// Withdraw takes a waiting request out; its caller left.
func (lead *Leader) Withdraw(now time.Time, id ID) Decisions {
	var dec Decisions
	if lead.queue.remove(id) == nil {
		return dec
	}
	lead.serve(now, &dec)
	return dec
}

// RunStarted notes a run's first event, and what its target said of its load with it.
func (lead *Leader) RunStarted(now time.Time, id ID, took time.Duration, load ReportedLoad) Decisions {
	var dec Decisions
	one, runs := lead.runs[id]
	if !runs || one.begun {
		return dec
	}
	one.begun = true
	one.node.reported(now, load)
	lead.learnFirst(one, took)
	lead.serve(now, &dec)
	return dec
}

// RunFinished frees a place and learns from how the run went.
func (lead *Leader) RunFinished(now time.Time, end Finished) Decisions {
	var dec Decisions
	one, runs := lead.runs[end.ID]
	if !runs {
		return dec
	}
	if end.TimeToFirst > 0 && !one.begun {
		lead.learnFirst(one, end.TimeToFirst)
	}
	if !one.begun {
		one.node.reported(now, end.Load)
	}
	lead.finish(one)
	lead.judge(now, one, end)
	lead.serve(now, &dec)
	return dec
}

// AddRunning counts a run that was granted by another leader.
func (lead *Leader) AddRunning(now time.Time, running Running) {
	if _, runs := lead.runs[running.Request.ID]; runs {
		return
	}
	lead.queue.remove(running.Request.ID)
	nd, known := lead.byName[running.Target]
	if !known {
		return
	}
	one := lead.start(now, nd, running.Request)
	one.sent = running.Sent
	one.begun = running.Started
}

// DropOwner drops what a lost daemon had waiting and running. Targets drop a request whose
// connection closes.
func (lead *Leader) DropOwner(now time.Time, owner yuccaid.Incarnation) Decisions {
	var dec Decisions
	for id, item := range lead.queue.byID {
		if item.ID.Owner == owner {
			lead.queue.remove(id)
		}
	}
	for id, one := range lead.runs {
		if id.Owner == owner {
			lead.finish(one)
		}
	}
	lead.serve(now, &dec)
	return dec
}

// DropOtherOwners drops what other owners than one have waiting and running, when leadership has gone
// to another daemon.
func (lead *Leader) DropOtherOwners(owner yuccaid.Incarnation) {
	for id := range lead.queue.byID {
		if id.Owner != owner {
			lead.queue.remove(id)
		}
	}
	for id, one := range lead.runs {
		if id.Owner != owner {
			lead.finish(one)
		}
	}
}

// SetRemoteLoads sets how many runs the leaders of other data centres have on some targets, and
// takes over the paces that they have learned where this leader knows none.
func (lead *Leader) SetRemoteLoads(now time.Time, loads map[yuccaid.Target]TargetLoad) Decisions {
	var dec Decisions
	for target, load := range loads {
		if nd, known := lead.byName[target]; known {
			nd.others = load.Runs
			if nd.adopt(load.Pace) {
				lead.repaced(nd)
			}
		}
	}
	lead.serve(now, &dec)
	return dec
}

// ClearRemoteLoads drops what SetOthers set.
func (lead *Leader) ClearRemoteLoads() {
	for _, nd := range lead.nodes {
		nd.others = 0
	}
}

// TargetLoad is how many runs a leader has on one target and the pace that it has learned,
// zero if it knows none.
type TargetLoad struct {
	Runs int
	Pace float64
}

// Loads goes over the targets that have runs or a pace.
func (lead *Leader) Loads() iter.Seq2[yuccaid.Target, TargetLoad] {
	return func(yield func(yuccaid.Target, TargetLoad) bool) {
		for _, nd := range lead.nodes {
			if load := nd.load(); load != (TargetLoad{}) && !yield(nd.Name, load) {
				return
			}
		}
	}
}

// Load returns what the leader has on one target.
func (lead *Leader) Load(target yuccaid.Target) TargetLoad {
	if nd, known := lead.byName[target]; known {
		return nd.load()
	}
	return TargetLoad{}
}

// IsWaiting reports whether a request waits.
func (lead *Leader) IsWaiting(id ID) bool {
	_, waits := lead.queue.byID[id]
	return waits
}

// Tick decides what the passing of time has changed; call it every few tens of
// milliseconds while something waits.
func (lead *Leader) Tick(now time.Time) Decisions {
	var dec Decisions
	for _, one := range lead.runs {
		if now.Sub(one.sent) > lostFor {
			lead.finish(one)
		}
	}
	lead.normalise()
	lead.lengths.settle()
	lead.serve(now, &dec)
	lead.expire(now, &dec)
	return dec
}

// QueueLength returns how many requests wait.
func (lead *Leader) QueueLength() int { return lead.queue.len() }

// Targets returns how the targets look to the leader.
func (lead *Leader) Targets(now time.Time) []TargetStatus {
	list := make([]TargetStatus, 0, len(lead.nodes))
	for _, nd := range lead.nodes {
		list = append(list, TargetStatus{
			Target: nd.Name, Busy: nd.busy(now), Slots: nd.Slots, Pace: nd.pace, LateFraction: nd.late, FailureRate: nd.failed, BackingOff: nd.resting(now),
		})
	}
	return list
}
