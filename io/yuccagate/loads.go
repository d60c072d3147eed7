package yuccagate

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

const (
	// loadInterval is the shortest time between two casts of loads by a pool's leader.
	// loadMaxInterval is the longest time, which passes between two casts while loads don't
	// change.
	loadInterval    = 100 * time.Millisecond
	loadMaxInterval = time.Second
	// fullLoadInterval is the shortest time between two full casts, which contain the loads of all
	// targets. In large pools the time between full casts is longer: half of fullLoadPerTarget,
	// multiplied by the number of targets and by the number of other data centres. Otherwise full
	// casts would be larger than all casts of changes together. Full casts are needed because
	// casts are lost when connections break, and because a new leader in another data centre
	// starts without any loads.
	fullLoadInterval  = 2 * time.Second
	fullLoadPerTarget = 10 * time.Millisecond
	// centresPerMinDelta defines how minDelta grows with the number of other data centres.
	// minDelta is the smallest change in a target's number of runs that is cast: 1, plus 1 for
	// each centresPerMinDelta other data centres. Each change goes to all other data centres, over
	// two connections to each. With fourteen data centres, casting every change took twelve times
	// the processor time that a daemon may spend on control. Leaving out small changes does little
	// harm: a leader sends requests to remote targets only if its local targets can't take them,
	// and the more data centres there are, the more remote targets it can choose from. It needs to
	// know which remote targets are free, but not exactly how many free slots they have.
	centresPerMinDelta = 4
	// maxCastParts bounds the parts of prompts in one cast. Each takes some twenty bytes.
	maxCastParts = 16
	// paceScale is the integer that represents a pace of 1.0 in messages.
	paceScale = 100
)

// centreLoads holds the loads that the leader of one other data centre has cast for a pool's
// targets, and when the last of these casts was received.
type centreLoads struct {
	loads      map[yuccaid.Target]receivedLoad
	receivedAt time.Time
}

// receivedLoad is the last load received for one target, with the sender and the sequence number
// of the cast that contained this load.
type receivedLoad struct {
	load     yuccawire.TargetLoad
	origin   string
	sequence uint64
}

// merge stores the loads of a cast. One of the two connections may lag, so casts may arrive out of
// order: if a later cast of the same daemon has already set a target's load, merge keeps that load.
// A full cast also removes the loads of targets that it doesn't list, because these targets run
// nothing for that data centre. merge adds the targets whose load has changed to the set changed.
func (centre *centreLoads) merge(message yuccawire.Cast, changed map[yuccaid.Target]bool) {
	superseded := func(target yuccaid.Target) bool {
		last, known := centre.loads[target]
		return known && last.origin == message.Origin && last.sequence > message.Sequence
	}
	listed := make(map[yuccaid.Target]bool, len(message.Load))
	for _, entry := range message.Load {
		listed[entry.Target] = true
		if superseded(entry.Target) {
			continue
		}
		if centre.loads[entry.Target].load != entry {
			changed[entry.Target] = true
		}
		centre.loads[entry.Target] = receivedLoad{load: entry, origin: message.Origin, sequence: message.Sequence}
	}
	if message.Part {
		return
	}
	for target := range centre.loads {
		if !listed[target] && !superseded(target) {
			delete(centre.loads, target)
			changed[target] = true
		}
	}
}

// castLoad sends the other data centres the loads that this data centre's runs put on the pool's
// targets. Most casts contain only the loads that have changed since the last cast. Once the time
// that fullLoadSpacing returns has passed, a cast contains the loads of all targets.
func (gate *Gate) castLoad(now time.Time, sched *scheduler) {
	if now.Sub(sched.loadSentAt) < loadInterval {
		return
	}
	centres := len(gate.remoteCentres)
	full := now.Sub(sched.fullLoadSentAt) >= fullLoadSpacing(len(sched.sentLoads), centres)
	loads := sched.changedLoads(full, 1+centres/centresPerMinDelta)
	held := wireHeldParts(sched.local.TakeNewParts(maxCastParts))
	if len(loads) == 0 && len(held) == 0 && now.Sub(sched.loadSentAt) < loadMaxInterval {
		return
	}
	sched.loadSentAt = now
	if full {
		sched.fullLoadSentAt = now
	}
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicLoad, Pool: sched.pool, Load: loads, Part: !full, Held: held})
}

func wireHeldParts(parts []yuccagrant.HeldPart) []yuccawire.HeldPart {
	var list []yuccawire.HeldPart
	for _, each := range parts {
		list = append(list, yuccawire.HeldPart{Target: each.Target, Part: wirePart(each.Part)})
	}
	return list
}

func heldPartsFromWire(list []yuccawire.HeldPart) []yuccagrant.HeldPart {
	var parts []yuccagrant.HeldPart
	for _, each := range list {
		parts = append(parts, yuccagrant.HeldPart{Target: each.Target, Part: partFromWire(each.Part)})
	}
	return parts
}

// fullLoadSpacing returns the shortest time between two casts of the loads of all targets, for
// the given numbers of targets and of other data centres.
func fullLoadSpacing(targets, centres int) time.Duration {
	return max(fullLoadInterval, time.Duration(targets*centres)*fullLoadPerTarget/2)
}

// changedLoads returns the loads to send, and records them as sent. If full is set, it returns the
// loads of all targets that have any. Otherwise it returns only the loads of targets that are new,
// whose number of runs has changed by at least minDelta, or whose pace has changed. A target that
// has become idle is always included, and so is each change on a target of another data centre, whose
// own leader would otherwise overload it.
func (sched *scheduler) changedLoads(full bool, minDelta int) []yuccawire.TargetLoad {
	var loads []yuccawire.TargetLoad
	for target, load := range sched.local.Loads() {
		current := wireTargetLoad(target, load)
		previous, sent := sched.sentLoads[target]
		delta := max(previous.Runs-current.Runs, current.Runs-previous.Runs)
		changed := !sent || delta >= minDelta || delta > 0 && (current.Runs == 0 || load.OtherCentre) || paceChanged(previous.Pace, current.Pace)
		if full || changed {
			sched.sentLoads[target] = current
			loads = append(loads, current)
		}
	}
	for target := range sched.sentLoads {
		if sched.local.Load(target).IsZero() {
			loads = append(loads, yuccawire.TargetLoad{Target: target})
			delete(sched.sentLoads, target)
		}
	}
	slices.SortFunc(loads, func(a, b yuccawire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return loads
}

func wireTargetLoad(target yuccaid.Target, load yuccagrant.TargetLoad) yuccawire.TargetLoad {
	return yuccawire.TargetLoad{Target: target, Runs: load.Runs, Pace: int(load.Pace * paceScale)}
}

// paceChanged reports whether a pace has changed by more than a tenth. Smaller differences occur
// from one response to the next even if the target's speed stays the same.
func paceChanged(previous, current int) bool {
	return 10*max(previous-current, current-previous) > max(previous, current)
}

// onCentreLoad handles a cast of loads from a leader in another data centre.
func (gate *Gate) onCentreLoad(now time.Time, message yuccawire.Cast) {
	sched := gate.scheduler(now, message.Pool)
	centre := sched.remoteLoads[message.Centre]
	if centre == nil {
		centre = &centreLoads{loads: make(map[yuccaid.Target]receivedLoad, len(message.Load))}
		sched.remoteLoads[message.Centre] = centre
	}
	centre.receivedAt = now
	centre.merge(message, sched.remoteChanged)
	if sched.leads {
		sched.local.AddHeldParts(heldPartsFromWire(message.Held))
	}
}

// dropSilentCentres drops the loads of data centres from which no loads have been received for
// longer than centreFreshFor. Otherwise the runs of such a data centre would count against the
// targets' slots for ever, above all if there is no third data centre whose casts would cause the
// loads to be summed again.
func (sched *scheduler) dropSilentCentres(now time.Time) {
	for name, loads := range sched.remoteLoads {
		if now.Sub(loads.receivedAt) > centreFreshFor {
			delete(sched.remoteLoads, name)
			sched.remoteReset = true
		}
	}
}

// passRemoteLoads passes the remote loads to local if this daemon leads the pool. It passes only the
// loads that have changed, because a pool may have thousands of targets. If remoteReset is set, it
// passes the remote loads of all targets.
func (sched *scheduler) passRemoteLoads(now time.Time) yuccagrant.Decisions {
	var dec yuccagrant.Decisions
	sched.local.SetCentreCount(1 + len(sched.remoteLoads))
	switch {
	case !sched.leads:
		// A daemon that becomes the leader passes all remote loads to local, so it doesn't need
		// the list of changes from before. If the list were kept, it would grow for as long as
		// targets come and go, and nothing would read it.
		clear(sched.remoteChanged)
		return dec
	case sched.remoteReset:
		sched.local.ClearOtherCentreLoads()
		dec = sched.local.SetOtherCentreLoads(now, sched.remoteTotals())
	case len(sched.remoteChanged) > 0:
		loads := make(map[yuccaid.Target]yuccagrant.TargetLoad, len(sched.remoteChanged))
		for target := range sched.remoteChanged {
			loads[target] = sched.remoteTotal(target)
		}
		dec = sched.local.SetOtherCentreLoads(now, loads)
	}
	sched.remoteReset = false
	clear(sched.remoteChanged)
	return dec
}

// remoteTotals returns, for each target that another data centre has cast a load of, what
// remoteTotal returns.
func (sched *scheduler) remoteTotals() map[yuccaid.Target]yuccagrant.TargetLoad {
	totals := make(map[yuccaid.Target]yuccagrant.TargetLoad)
	for _, centre := range sched.remoteLoads {
		for target := range centre.loads {
			if _, known := totals[target]; !known {
				totals[target] = sched.remoteTotal(target)
			}
		}
	}
	return totals
}

// remoteTotal returns the sum of the runs that other data centres have on a target, the
// highest pace that any of these data centres reports for the target, and whether the target's own
// data centre reports one.
func (sched *scheduler) remoteTotal(target yuccaid.Target) yuccagrant.TargetLoad {
	var sum yuccagrant.TargetLoad
	for _, centre := range sched.remoteLoads {
		entry := centre.loads[target].load
		sum.Runs += entry.Runs
		sum.Pace = max(sum.Pace, float64(entry.Pace)/paceScale)
	}
	if centre := sched.remoteLoads[sched.centres[target]]; centre != nil {
		sum.Tried = centre.loads[target].load.Pace > 0
	}
	return sum
}
