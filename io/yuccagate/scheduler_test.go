package yuccagate

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccawire"
)

func newRemoteScheduler() *scheduler {
	return &scheduler{remoteLoads: make(map[yuccaid.Centre]*centreLoads), remoteChanged: make(map[yuccaid.Target]bool)}
}

// receiveLoads passes to the scheduler a cast of loads from the pool's leader in the data centre
// austin. If partial is set, the cast contains only changed loads.
func (sched *scheduler) receiveLoads(now time.Time, sequence uint64, partial bool, targetLoads ...yuccawire.TargetLoad) {
	if sched.remoteLoads["austin"] == nil {
		sched.remoteLoads["austin"] = &centreLoads{loads: make(map[yuccaid.Target]receivedLoad)}
	}
	sched.remoteLoads["austin"].receivedAt = now
	sched.remoteLoads["austin"].merge(yuccawire.Cast{Origin: "entry-9", Sequence: sequence, Load: targetLoads, Part: partial}, sched.remoteChanged)
}

// remoteRuns returns how many runs other data centres have on each target.
func (sched *scheduler) remoteRuns() map[yuccaid.Target]int {
	remoteRuns := make(map[yuccaid.Target]int)
	for target, load := range sched.remoteTotals() {
		remoteRuns[target] = load.Runs
	}
	return remoteRuns
}

// One of two connections between data centres lags, so a cast arrives after later casts. The late
// cast contains loads of targets that no later cast contains, and loads that a later cast has
// replaced. If the first kind were ignored, occupied targets would look free for seconds. If the
// second kind were accepted, older loads would overwrite newer loads.
func TestMergeOrdersCastsByTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newRemoteScheduler()
	sched.receiveLoads(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 1}, yuccawire.TargetLoad{Target: "b", Runs: 1}, yuccawire.TargetLoad{Target: "c", Runs: 1})
	sched.receiveLoads(now, 4, true, yuccawire.TargetLoad{Target: "a", Runs: 4})
	sched.receiveLoads(now, 3, true, yuccawire.TargetLoad{Target: "a", Runs: 3}, yuccawire.TargetLoad{Target: "b", Runs: 3})
	sched.receiveLoads(now, 2, false, yuccawire.TargetLoad{Target: "a", Runs: 2}, yuccawire.TargetLoad{Target: "b", Runs: 2})
	want := map[yuccaid.Target]int{"a": 4, "b": 3}
	if got := sched.remoteRuns(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// The connections to the only other data centre break. If the last loads received from it were
// kept, they would count for ever, and targets that run nothing would look occupied.
func TestLoadsOfASilentCentreAreDropped(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newRemoteScheduler()
	sched.receiveLoads(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 6})
	sched.dropSilentCentres(now.Add(centreFreshFor))
	if got := sched.remoteRuns(); got["a"] != 6 {
		t.Errorf("dropped too soon: %v", got)
	}
	sched.dropSilentCentres(now.Add(centreFreshFor + time.Millisecond))
	if got := sched.remoteRuns(); len(got) != 0 || !sched.remoteReset {
		t.Errorf("got %v, remoteReset %t", got, sched.remoteReset)
	}
}

// A daemon that doesn't lead a pool receives loads from daemons that take it for the pool's leader.
// If it kept a list of the changed loads, the list would grow without bound. So the daemon keeps no
// such list, and passes all loads to its scheduler when it becomes the leader.
func TestRemoteLoadsAreKeptByLeadersOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newRemoteScheduler()
	sched.local = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
	sched.local.SetTargets(now, []yuccagrant.Target{{Name: "a", Slots: 8}})
	sched.receiveLoads(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 3}, yuccawire.TargetLoad{Target: "b", Runs: 3})
	sched.passRemoteLoads(now)
	if len(sched.remoteChanged) > 0 {
		t.Errorf("kept %v", sched.remoteChanged)
	}
	sched.leads, sched.remoteReset = true, true
	sched.passRemoteLoads(now)
	if busy := sched.local.Targets(now)[0].Busy; busy != 3 {
		t.Errorf("the leader counts %d runs", busy)
	}
	sched.receiveLoads(now, 2, false, yuccawire.TargetLoad{Target: "b", Runs: 3})
	sched.passRemoteLoads(now)
	if busy := sched.local.Targets(now)[0].Busy; busy != 0 || len(sched.remoteChanged) > 0 {
		t.Errorf("the leader counts %d runs, kept %v", busy, sched.remoteChanged)
	}
}

// When fourteen data centres cast a load for each run that started or finished, this took twelve
// times the processor time that a daemon may spend on control. So small changes of a load aren't
// sent by themselves. The exception is a change to no runs at all: if it weren't sent, a target that
// has become idle would look occupied to the other data centres.
func TestSmallChangesOfLoadsAreNotSent(t *testing.T) {
	now := time.Unix(1000, 0)
	sched := newRemoteScheduler()
	sched.local = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
	sched.sentLoads = make(map[yuccaid.Target]yuccawire.TargetLoad)
	sched.local.SetTargets(now, []yuccagrant.Target{{Name: "a", Slots: 8}})
	running := uint64(0)
	setRuns := func(runs uint64) {
		for ; running < runs; running++ {
			sched.local.AddRunning(now, yuccagrant.Running{Request: yuccagrant.Request{ID: yuccagrant.ID{Number: running}}, Target: "a", Sent: now})
		}
		for ; running > runs; running-- {
			sched.local.RunFinished(now, yuccagrant.Finished{ID: yuccagrant.ID{Number: running - 1}, Outcome: yuccagrant.Dropped})
		}
	}
	for _, step := range []struct {
		runs uint64
		full bool
		sent []yuccawire.TargetLoad
	}{
		{runs: 2, sent: []yuccawire.TargetLoad{{Target: "a", Runs: 2}}},
		{runs: 4},
		{runs: 5, sent: []yuccawire.TargetLoad{{Target: "a", Runs: 5}}},
		{runs: 4, full: true, sent: []yuccawire.TargetLoad{{Target: "a", Runs: 4}}},
		{runs: 2},
		{runs: 0, sent: []yuccawire.TargetLoad{{Target: "a"}}},
		{runs: 0},
	} {
		setRuns(step.runs)
		if got := sched.changedLoads(step.full, 3); !reflect.DeepEqual(got, step.sent) {
			t.Errorf("at %d runs sent %v, want %v", step.runs, got, step.sent)
		}
	}
}
