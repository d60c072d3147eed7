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
	// loadInterval is the shortest time between two casts of a leader's loads when they have
	// changed, and loadMaxInterval the longest time when they haven't.
	loadInterval    = 100 * time.Millisecond
	loadMaxInterval = time.Second
	// fullLoadInterval is the shortest time between two casts of the loads of all targets, and
	// fullLoadPerTarget lengthens it for each target and data centre. Full casts are needed
	// because casts are lost when connections break, and a new leader elsewhere starts without
	// any loads. In large pools their size would otherwise exceed that of all changes.
	fullLoadInterval  = 2 * time.Second
	fullLoadPerTarget = 10 * time.Millisecond
	// centresPerGrain is the number of other data centres for which changes by one more run are
	// left out. Each change goes to all of them over two connections, so that with fourteen
	// data centres loads took twelve times the processor time that a daemon may spend on
	// control. A leader sends to remote targets what its local ones can't take, and has the
	// more targets to choose from the more data centres there are. It needs to know which
	// targets are free, but not exactly how many slots are.
	centresPerGrain = 4
	// paceScale is the number of units per 1.0 in which paces are sent.
	paceScale = 100
)

// remoteLoad is what another data centre has running on a pool's targets.
type remoteLoad struct {
	loads      map[yuccaid.Target]receivedLoad
	receivedAt time.Time
}

// receivedLoad is the last load received for one target, with the sender and the sequence of
// the cast that contained it.
type receivedLoad struct {
	load     yuccawire.TargetLoad
	origin   string
	sequence uint64
}

// merge takes over the loads of a cast, except for targets for which a later cast of the same
// daemon has already arrived, because one of the two connections may lag. It adds the targets
// whose load has changed to the set changed.
func (load *remoteLoad) merge(message yuccawire.Cast, changed map[yuccaid.Target]bool) {
	superseded := func(target yuccaid.Target) bool {
		last, known := load.loads[target]
		return known && last.origin == message.Origin && last.sequence > message.Sequence
	}
	named := make(map[yuccaid.Target]bool, len(message.Load))
	for _, entry := range message.Load {
		named[entry.Target] = true
		if superseded(entry.Target) {
			continue
		}
		if load.loads[entry.Target].load != entry {
			changed[entry.Target] = true
		}
		load.loads[entry.Target] = receivedLoad{load: entry, origin: message.Origin, sequence: message.Sequence}
	}
	if message.Part {
		return
	}
	for target := range load.loads {
		if !named[target] && !superseded(target) {
			delete(load.loads, target)
			changed[target] = true
		}
	}
}

// castLoad sends the other data centres the loads of this data centre's runs on its targets:
// those that have changed since the last cast, and from time to time all.
func (gate *Gate) castLoad(now time.Time, sched *scheduler) {
	if now.Sub(sched.loadSentAt) < loadInterval {
		return
	}
	remoteCentres := len(gate.remoteCentres)
	whole := now.Sub(sched.fullLoadSentAt) >= fullLoadSpacing(len(sched.sent), remoteCentres)
	loads := sched.changedLoads(whole, 1+remoteCentres/centresPerGrain)
	if len(loads) == 0 && now.Sub(sched.loadSentAt) < loadMaxInterval {
		return
	}
	sched.loadSentAt = now
	if whole {
		sched.fullLoadSentAt = now
	}
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicLoad, Pool: sched.pool, Load: loads, Part: !whole})
}

// fullLoadSpacing returns the shortest time between two casts of the loads of all targets, for
// the given numbers of targets and of other data centres.
func fullLoadSpacing(targets, centres int) time.Duration {
	return max(fullLoadInterval, time.Duration(targets*centres)*fullLoadPerTarget/2)
}

// changedLoads returns the loads to send: of all targets that have any, or of those whose runs
// have changed by the grain or whose pace has changed. That a target has become idle is always
// sent.
func (sched *scheduler) changedLoads(whole bool, grain int) []yuccawire.TargetLoad {
	var loads []yuccawire.TargetLoad
	for target, load := range sched.local.Loads() {
		current := wireTargetLoad(target, load)
		previous, sent := sched.sent[target]
		delta := max(previous.Runs-current.Runs, current.Runs-previous.Runs)
		changed := !sent || delta >= grain || delta > 0 && current.Runs == 0 || paceChanged(previous.Pace, current.Pace)
		if whole || changed {
			sched.sent[target] = current
			loads = append(loads, current)
		}
	}
	for target := range sched.sent {
		if sched.local.Load(target) == (yuccagrant.TargetLoad{}) {
			loads = append(loads, yuccawire.TargetLoad{Target: target})
			delete(sched.sent, target)
		}
	}
	slices.SortFunc(loads, func(a, b yuccawire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return loads
}

func wireTargetLoad(target yuccaid.Target, load yuccagrant.TargetLoad) yuccawire.TargetLoad {
	return yuccawire.TargetLoad{Target: target, Runs: load.Runs, Pace: int(load.Pace * paceScale)}
}

// paceChanged reports whether a pace has changed by more than a tenth, because answers differ
// by less than that even if the target's pace stays the same.
func paceChanged(previous, current int) bool {
	return 10*max(previous-current, current-previous) > max(previous, current)
}

func (gate *Gate) onCentreLoad(now time.Time, message yuccawire.Cast) {
	sched := gate.scheduler(now, message.Pool)
	remote := sched.remote[message.Centre]
	if remote == nil {
		remote = &remoteLoad{loads: make(map[yuccaid.Target]receivedLoad, len(message.Load))}
		sched.remote[message.Centre] = remote
	}
	remote.receivedAt = now
	remote.merge(message, sched.remoteChanged)
}

// dropSilentCentres drops the loads of data centres from which nothing has been received for
// centreFreshFor. Otherwise their runs would count against the targets' slots for ever, above
// all if there is no third data centre whose updates would cause a new count.
func (sched *scheduler) dropSilentCentres(now time.Time) {
	for name, load := range sched.remote {
		if now.Sub(load.receivedAt) > centreFreshFor {
			delete(sched.remote, name)
			sched.remoteReset = true
		}
	}
}

// passRemoteLoads passes the remote loads to local: only those that have changed, since a pool
// may have thousands of targets.
func (sched *scheduler) passRemoteLoads(now time.Time) yuccagrant.Decisions {
	var dec yuccagrant.Decisions
	switch {
	case !sched.leads:
		// A daemon that becomes the leader passes all remote loads to local. Until then,
		// changes that nothing reads would pile up for as long as targets come and go.
		clear(sched.remoteChanged)
		return dec
	case sched.remoteReset:
		sched.local.ClearRemoteLoads()
		dec = sched.local.SetRemoteLoads(now, sched.remoteTotals())
	case len(sched.remoteChanged) > 0:
		loads := make(map[yuccaid.Target]yuccagrant.TargetLoad, len(sched.remoteChanged))
		for target := range sched.remoteChanged {
			loads[target] = sched.remoteTotal(target)
		}
		dec = sched.local.SetRemoteLoads(now, loads)
	}
	sched.remoteReset = false
	clear(sched.remoteChanged)
	return dec
}

// remoteTotals returns the sum of the remote loads for each target.
func (sched *scheduler) remoteTotals() map[yuccaid.Target]yuccagrant.TargetLoad {
	remoteTotals := make(map[yuccaid.Target]yuccagrant.TargetLoad)
	for _, load := range sched.remote {
		for target := range load.loads {
			if _, known := remoteTotals[target]; !known {
				remoteTotals[target] = sched.remoteTotal(target)
			}
		}
	}
	return remoteTotals
}

func (sched *scheduler) remoteTotal(target yuccaid.Target) yuccagrant.TargetLoad {
	var sum yuccagrant.TargetLoad
	for _, load := range sched.remote {
		entry := load.loads[target].load
		sum.Runs += entry.Runs
		sum.Pace = max(sum.Pace, float64(entry.Pace)/paceScale)
	}
	return sum
}
