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

func newAwayDesk() *desk {
	return &desk{away: make(map[yuccaid.Centre]*centreLoad), awayNews: make(map[yuccaid.Target]bool)}
}

// hear has a desk take a cast of a leader elsewhere.
func (dsk *desk) hear(now time.Time, sequence uint64, part bool, loads ...yuccawire.TargetLoad) {
	if dsk.away["austin"] == nil {
		dsk.away["austin"] = &centreLoad{runs: make(map[yuccaid.Target]heardLoad)}
	}
	dsk.away["austin"].heard = now
	dsk.away["austin"].take(yuccawire.Cast{Origin: "entry-9", Sequence: sequence, Load: loads, Part: part}, dsk.awayNews)
}

func (dsk *desk) runs() map[yuccaid.Target]int {
	runs := make(map[yuccaid.Target]int)
	for target, load := range dsk.others() {
		runs[target] = load.Runs
	}
	return runs
}

// Of two connections between data centres one is behind. Its casts bring changes of targets
// that no later cast has told of, and old news of others: the first have to be taken, or the
// targets look free for seconds, and the second not.
func TestLoadsOfOvertakenCastsAreTakenByTarget(t *testing.T) {
	now := time.Unix(1000, 0)
	dsk := newAwayDesk()
	dsk.hear(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 1}, yuccawire.TargetLoad{Target: "b", Runs: 1}, yuccawire.TargetLoad{Target: "c", Runs: 1})
	dsk.hear(now, 4, true, yuccawire.TargetLoad{Target: "a", Runs: 4})
	dsk.hear(now, 3, true, yuccawire.TargetLoad{Target: "a", Runs: 3}, yuccawire.TargetLoad{Target: "b", Runs: 3})
	dsk.hear(now, 2, false, yuccawire.TargetLoad{Target: "a", Runs: 2}, yuccawire.TargetLoad{Target: "b", Runs: 2})
	want := map[yuccaid.Target]int{"a": 4, "b": 3}
	if got := dsk.runs(); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// The only other data centre is cut off. What it had running at last would count for ever,
// and targets that nobody uses would look taken.
func TestLoadsOfASilentCentreAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	dsk := newAwayDesk()
	dsk.hear(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 6})
	dsk.forgetSilent(now.Add(centreFresh))
	if got := dsk.runs(); got["a"] != 6 {
		t.Errorf("forgotten too soon: %v", got)
	}
	dsk.forgetSilent(now.Add(centreFresh + time.Millisecond))
	if got := dsk.runs(); len(got) != 0 || !dsk.awayAll {
		t.Errorf("got %v, news %t", got, dsk.awayAll)
	}
}

// A daemon that doesn't lead is told of other data centres by those who think it does. It keeps
// nothing of that for later, and tells its leader all of it when it begins to lead.
func TestNewsOfLoadsIsKeptForLeadersOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	dsk := newAwayDesk()
	dsk.own = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
	dsk.own.Configure(now, []yuccagrant.Target{{Name: "a", Slots: 8}})
	dsk.hear(now, 1, false, yuccawire.TargetLoad{Target: "a", Runs: 3}, yuccawire.TargetLoad{Target: "b", Runs: 3})
	dsk.tellOthers(now)
	if len(dsk.awayNews) > 0 {
		t.Errorf("kept %v", dsk.awayNews)
	}
	dsk.leads, dsk.awayAll = true, true
	dsk.tellOthers(now)
	if busy := dsk.own.Targets(now)[0].Busy; busy != 3 {
		t.Errorf("the leader counts %d runs", busy)
	}
	dsk.hear(now, 2, false, yuccawire.TargetLoad{Target: "b", Runs: 3})
	dsk.tellOthers(now)
	if busy := dsk.own.Targets(now)[0].Busy; busy != 0 || len(dsk.awayNews) > 0 {
		t.Errorf("the leader counts %d runs, kept %v", busy, dsk.awayNews)
	}
}

// Fourteen data centres tell one another of each run that begins or ends. That took twelve
// times what a daemon may spend on control; and if only little were left out for good, a
// target that has become idle would look taken elsewhere.
func TestLoadsAreToldByTheGrain(t *testing.T) {
	now := time.Unix(1000, 0)
	dsk := newAwayDesk()
	dsk.own = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
	dsk.told = make(map[yuccaid.Target]yuccawire.TargetLoad)
	dsk.own.Configure(now, []yuccagrant.Target{{Name: "a", Slots: 8}})
	running := uint64(0)
	set := func(runs uint64) {
		for ; running < runs; running++ {
			dsk.own.AddRunning(now, yuccagrant.Running{Request: yuccagrant.Request{ID: yuccagrant.ID{Number: running}}, Target: "a", Sent: now})
		}
		for ; running > runs; running-- {
			dsk.own.RunFinished(now, yuccagrant.Finished{ID: yuccagrant.ID{Number: running - 1}, Outcome: yuccagrant.Dropped})
		}
	}
	for _, step := range []struct {
		runs  uint64
		whole bool
		told  []yuccawire.TargetLoad
	}{
		{runs: 2, told: []yuccawire.TargetLoad{{Target: "a", Runs: 2}}},
		{runs: 4},
		{runs: 5, told: []yuccawire.TargetLoad{{Target: "a", Runs: 5}}},
		{runs: 4, whole: true, told: []yuccawire.TargetLoad{{Target: "a", Runs: 4}}},
		{runs: 2},
		{runs: 0, told: []yuccawire.TargetLoad{{Target: "a"}}},
		{runs: 0},
	} {
		set(step.runs)
		if got := dsk.changedLoads(step.whole, 3); !reflect.DeepEqual(got, step.told) {
			t.Errorf("at %d runs told %v, want %v", step.runs, got, step.told)
		}
	}
}
