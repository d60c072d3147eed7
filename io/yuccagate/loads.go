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
	// loadEvery and loadLatest bound how often a leader tells the other data centres what
	// it has on which target, when that has changed and when it hasn't.
	loadEvery  = 100 * time.Millisecond
	loadLatest = time.Second
	// loadWholeEvery is how often everything is told at most, and loadWholeEach the time that
	// is taken for each target: casts are lost with connections that break, and a new leader
	// elsewhere knows nothing, but the lists of large pools would else outweigh all changes.
	loadWholeEvery = 2 * time.Second
	loadWholeEach  = 10 * time.Millisecond
	// centresForGrain is how many other data centres make changes of one run more be left
	// out. Each change goes to all of them, over two ways, so that with fourteen data centres
	// loads took twelve times what a daemon may spend on control. A leader sends elsewhere
	// what its own targets can't take, and finds more targets to choose from the more data
	// centres there are: it needs to know which of them are free, not by how much.
	centresForGrain = 4
	// paceGrain is the grain in which paces are told.
	paceGrain = 100
)

// centreLoad is what another data centre has running on a pool's targets.
type centreLoad struct {
	runs  map[yuccaid.Target]heardLoad
	heard time.Time
}

// heardLoad is what was last heard of one target, and in which cast of whom.
type heardLoad struct {
	load     yuccawire.TargetLoad
	origin   string
	sequence uint64
}

// take notes what a cast tells, but for targets of which a later cast of the same daemon has
// told already: of two ways one may be behind. It adds the targets for which that changes
// something to the news.
func (load *centreLoad) take(message yuccawire.Cast, news map[yuccaid.Target]bool) {
	overtaken := func(target yuccaid.Target) bool {
		had, known := load.runs[target]
		return known && had.origin == message.Origin && had.sequence > message.Sequence
	}
	named := make(map[yuccaid.Target]bool, len(message.Load))
	for _, each := range message.Load {
		named[each.Target] = true
		if overtaken(each.Target) {
			continue
		}
		if load.runs[each.Target].load != each {
			news[each.Target] = true
		}
		load.runs[each.Target] = heardLoad{load: each, origin: message.Origin, sequence: message.Sequence}
	}
	if message.Part {
		return
	}
	for target := range load.runs {
		if !named[target] && !overtaken(target) {
			delete(load.runs, target)
			news[target] = true
		}
	}
}

// castLoad tells the other data centres what this one has on which target: what has changed
// since the last cast, and now and then everything.
func (gate *Gate) castLoad(now time.Time, dsk *desk) {
	if now.Sub(dsk.loadCast) < loadEvery {
		return
	}
	centres := len(gate.centres)
	whole := now.Sub(dsk.loadWhole) >= wholeLoadSpacing(len(dsk.told), centres)
	loads := dsk.changedLoads(whole, 1+centres/centresForGrain)
	if len(loads) == 0 && now.Sub(dsk.loadCast) < loadLatest {
		return
	}
	dsk.loadCast = now
	if whole {
		dsk.loadWhole = now
	}
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicLoad, Pool: dsk.pool, Load: loads, Part: !whole})
}

// wholeLoadSpacing is how often everything that so many targets have is told to so many other
// data centres.
func wholeLoadSpacing(targets, centres int) time.Duration {
	return max(loadWholeEvery, time.Duration(targets*centres)*loadWholeEach/2)
}

// changedLoads returns what to tell of the targets: of all that have anything, or of those
// for which something has changed by the grain. That a target has become idle is told in any
// case.
func (dsk *desk) changedLoads(whole bool, grain int) []yuccawire.TargetLoad {
	var loads []yuccawire.TargetLoad
	for target, load := range dsk.own.Loads() {
		is := toldLoad(target, load)
		was, told := dsk.told[target]
		moved := max(was.Runs-is.Runs, is.Runs-was.Runs)
		changed := !told || moved >= grain || moved > 0 && is.Runs == 0 || paceChanged(was.Pace, is.Pace)
		if whole || changed {
			dsk.told[target] = is
			loads = append(loads, is)
		}
	}
	for target := range dsk.told {
		if dsk.own.Load(target) == (yuccagrant.TargetLoad{}) {
			loads = append(loads, yuccawire.TargetLoad{Target: target})
			delete(dsk.told, target)
		}
	}
	slices.SortFunc(loads, func(a, b yuccawire.TargetLoad) int { return cmp.Compare(a.Target, b.Target) })
	return loads
}

func toldLoad(target yuccaid.Target, load yuccagrant.TargetLoad) yuccawire.TargetLoad {
	return yuccawire.TargetLoad{Target: target, Runs: load.Runs, Pace: int(load.Pace * paceGrain)}
}

// paceChanged reports whether a pace differs by more than answers differ by themselves.
func paceChanged(was, is int) bool {
	return 10*max(was-is, is-was) > max(was, is)
}

func (gate *Gate) onCentreLoad(now time.Time, message yuccawire.Cast) {
	dsk := gate.desk(now, message.Pool)
	away := dsk.away[message.Centre]
	if away == nil {
		away = &centreLoad{runs: make(map[yuccaid.Target]heardLoad, len(message.Load))}
		dsk.away[message.Centre] = away
	}
	away.heard = now
	away.take(message, dsk.awayNews)
}

// forgetSilent drops what was heard of data centres that have fallen silent. Their runs would
// else take places for ever, the more so where there is no third data centre whose news would
// have all of it counted anew.
func (dsk *desk) forgetSilent(now time.Time) {
	for name, load := range dsk.away {
		if now.Sub(load.heard) > centreFresh {
			delete(dsk.away, name)
			dsk.awayAll = true
		}
	}
}

// tellOthers tells this daemon's leader what the leaders of other data centres have: of the
// targets for which there is news, since there may be thousands of others.
func (dsk *desk) tellOthers(now time.Time) yuccagrant.Decisions {
	var dec yuccagrant.Decisions
	switch {
	case !dsk.leads:
		// Who begins to lead is told of all. News for nobody would pile up for as long as
		// targets come and go.
		clear(dsk.awayNews)
		return dec
	case dsk.awayAll:
		dsk.own.ClearRemoteLoads()
		dec = dsk.own.SetRemoteLoads(now, dsk.others())
	case len(dsk.awayNews) > 0:
		loads := make(map[yuccaid.Target]yuccagrant.TargetLoad, len(dsk.awayNews))
		for target := range dsk.awayNews {
			loads[target] = dsk.othersOn(target)
		}
		dec = dsk.own.SetRemoteLoads(now, loads)
	}
	dsk.awayAll = false
	clear(dsk.awayNews)
	return dec
}

// others sums what the leaders of other data centres have on each target.
func (dsk *desk) others() map[yuccaid.Target]yuccagrant.TargetLoad {
	others := make(map[yuccaid.Target]yuccagrant.TargetLoad)
	for _, load := range dsk.away {
		for target := range load.runs {
			if _, known := others[target]; !known {
				others[target] = dsk.othersOn(target)
			}
		}
	}
	return others
}

func (dsk *desk) othersOn(target yuccaid.Target) yuccagrant.TargetLoad {
	var sum yuccagrant.TargetLoad
	for _, load := range dsk.away {
		each := load.runs[target].load
		sum.Runs += each.Runs
		sum.Pace = max(sum.Pace, float64(each.Pace)/paceGrain)
	}
	return sum
}
