package yuccabudget_test

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccabudget"
)

const (
	// worldStep is the time between two steps of a world.
	worldStep = 50 * time.Millisecond
	// restartTime is how long a daemon that was killed is down.
	restartTime = 500 * time.Millisecond
	// noticeTime is how long a daemon that can't be reached any more seems to be reached.
	noticeTime = time.Second
	// maxSeeds is the number of daemons that are seeds, if there are so many.
	maxSeeds = 3
)

// world is a fleet of daemons whose targets fail. All that callers request fails while failing is set, and
// daemons resend as often as they may.
type world struct {
	bounds   yuccabudget.Bounds
	now      time.Time
	daemons  []*worldDaemon
	arrivals *yuccabudget.Arrivals
	failing  bool
	// delay is the time from the decision on a resend to its arrival at a target.
	delay time.Duration
	// perStep is the number of requests that callers send in a step.
	perStep int
	sent    int
}

// worldDaemon is one VM, on which one process runs after the other.
type worldDaemon struct {
	budget *yuccabudget.Budget
	// downUntil is when the next process starts, zero if there is one. frozenUntil is when the process resumes,
	// zero if it runs, and frozenAt when it was frozen. unread is the number of requests that it hasn't read yet.
	downUntil, frozenUntil, frozenAt time.Time
	unread                           int
	// part is the part of the fleet in which it is. Daemons in one part reach one another.
	part int
	// known has the daemons of which the process knows, by number, and reachedAt when it last reached each.
	known     map[int]bool
	reachedAt map[int]time.Time
	// waiting has the times at which resends arrive that have been decided.
	waiting []time.Time
}

func newWorld(bounds yuccabudget.Bounds, daemons int) *world {
	wld := &world{bounds: bounds, now: time.Unix(1_700_000_000, 0), arrivals: yuccabudget.NewArrivals(bounds)}
	for range daemons {
		wld.daemons = append(wld.daemons, &worldDaemon{})
	}
	for number, dmn := range wld.daemons {
		wld.start(number, dmn)
	}
	return wld
}

// start starts a process that knows only itself.
func (wld *world) start(number int, dmn *worldDaemon) {
	dmn.downUntil, dmn.frozenUntil, dmn.unread = time.Time{}, time.Time{}, 0
	dmn.budget = yuccabudget.New(wld.bounds)
	dmn.known = map[int]bool{number: true}
	dmn.reachedAt = map[int]time.Time{number: wld.now}
	dmn.budget.SetFleet(wld.now, wld.fleetOf(dmn))
}

// restart starts a process in place of one that was killed.
func (wld *world) restart(number int, dmn *worldDaemon) {
	wld.start(number, dmn)
	dmn.budget.MarkCountsLost(wld.now)
}

func (dmn *worldDaemon) runs() bool { return dmn.downUntil.IsZero() && dmn.frozenUntil.IsZero() }

// meet has a daemon learn of what those know that it reaches.
func (wld *world) meet(dmn *worldDaemon) {
	for other, mate := range wld.daemons {
		if mate.part == dmn.part && mate.runs() {
			dmn.reachedAt[other] = wld.now
			dmn.known[other] = true
			maps.Copy(dmn.known, mate.known)
		}
	}
}

// fleetOf returns what a daemon knows of the fleet.
func (wld *world) fleetOf(dmn *worldDaemon) yuccabudget.Fleet {
	flt := yuccabudget.Fleet{Daemons: len(dmn.known), Seeds: min(len(wld.daemons), maxSeeds)}
	reached := 0
	for other, at := range dmn.reachedAt {
		if wld.now.Sub(at) < noticeTime {
			reached++
			if other < flt.Seeds {
				flt.ReachedSeeds++
			}
		}
	}
	flt.Isolated = reached <= 1 && max(flt.Daemons, flt.Seeds) > 1
	return flt
}

// run plays the world for some time.
func (wld *world) run(span time.Duration) {
	for end := wld.now.Add(span); wld.now.Before(end); wld.now = wld.now.Add(worldStep) {
		wld.step()
	}
}

func (wld *world) step() {
	var up []*worldDaemon
	for number, dmn := range wld.daemons {
		if !dmn.downUntil.IsZero() && !wld.now.Before(dmn.downUntil) {
			wld.restart(number, dmn)
		}
		if !dmn.frozenUntil.IsZero() && !wld.now.Before(dmn.frozenUntil) {
			dmn.budget.MarkResumed(wld.now, wld.now.Sub(dmn.frozenAt))
			dmn.frozenUntil = time.Time{}
			dmn.reachedAt = make(map[int]time.Time)
		}
		if dmn.runs() {
			wld.meet(dmn)
			dmn.budget.SetFleet(wld.now, wld.fleetOf(dmn))
		}
		if dmn.downUntil.IsZero() {
			up = append(up, dmn)
		}
	}
	for range wld.perStep {
		wld.arrivals.RecordRequest(wld.now)
		if len(up) > 0 {
			up[wld.sent%len(up)].unread++
			wld.sent++
		}
	}
	for _, dmn := range up {
		if !dmn.runs() {
			continue
		}
		for ; dmn.unread > 0; dmn.unread-- {
			dmn.budget.CountRequest(wld.now, "desk")
		}
		for wld.failing && dmn.budget.DecideResend(wld.now, "desk").Allowed {
			dmn.waiting = append(dmn.waiting, wld.now.Add(wld.delay))
		}
		wld.deliver(dmn)
	}
}

// deliver has the resends of a daemon arrive that are due.
func (wld *world) deliver(dmn *worldDaemon) {
	isDue := func(at time.Time) bool { return !wld.now.Before(at) }
	for _, at := range dmn.waiting {
		if isDue(at) && dmn.budget.MaySend(wld.now, "desk") {
			wld.arrivals.RecordResent(wld.now)
			dmn.budget.Arrived(wld.now, "desk")
		}
	}
	dmn.waiting = slices.DeleteFunc(dmn.waiting, isDue)
}

// kill kills the daemons from one on, which start again soon.
func (wld *world) kill(daemons []*worldDaemon) {
	for _, dmn := range daemons {
		dmn.downUntil = wld.now.Add(restartTime)
		dmn.waiting = nil
	}
}

func (wld *world) freeze(daemons []*worldDaemon, span time.Duration) {
	for _, dmn := range daemons {
		dmn.frozenAt = wld.now
		dmn.frozenUntil = wld.now.Add(span)
	}
}

// Guards against the failure that daemons which were frozen have their parts of the allowance when they wake, though
// the others have started meanwhile, know nothing of them and divide all of it.
func TestFleetKeepsToTheBudgetWhenDaemonsWake(t *testing.T) {
	bounds := yuccabudget.Bounds{Window: 10 * time.Second, Allowance: 60}
	wld := newWorld(bounds, 8)
	wld.perStep = 4
	wld.run(2 * bounds.Window)
	wld.freeze(wld.daemons[4:], 20*time.Second)
	wld.kill(wld.daemons[:4])
	wld.run(15 * time.Second)
	wld.failing = true
	wld.run(2 * bounds.Window)
	if worst := wld.arrivals.Worst(time.Time{}); worst.Share() > 1 {
		t.Errorf("%d arrivals beyond the first, %.1f are allowed", worst.Resent, worst.Allowed)
	}
}

// Guards against the failure that some order of loads, failures, kills and cuts has more requests sent again
// within a window than the fleet's budget allows.
func TestFleetKeepsToTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bounds := yuccabudget.Bounds{
			Window: 10 * time.Second, Ratio: rapid.SampledFrom([]float64{0, 0.2, 1}).Draw(t, "ratio"), Allowance: rapid.SampledFrom([]float64{0, 5, 60}).Draw(t, "allowance"),
		}
		wld := newWorld(bounds, rapid.IntRange(1, 8).Draw(t, "daemons"))
		wld.perStep = 4
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			first := rapid.IntRange(0, len(wld.daemons)-1).Draw(t, "first")
			some := wld.daemons[first : 1+rapid.IntRange(first, len(wld.daemons)-1).Draw(t, "last")]
			switch rapid.SampledFrom([]string{"load", "fail", "delay", "kill", "freeze", "cut", "part", "heal"}).Draw(t, "event") {
			case "load":
				wld.perStep = rapid.SampledFrom([]int{0, 1, 4, 20}).Draw(t, "per step")
			case "fail":
				wld.failing = !wld.failing
			case "delay":
				wld.delay = time.Duration(rapid.IntRange(0, 40).Draw(t, "delay in tenths")) * 100 * time.Millisecond
			case "kill":
				wld.kill(some)
			case "freeze":
				wld.freeze(some, time.Duration(rapid.IntRange(10, 250).Draw(t, "frozen tenths"))*100*time.Millisecond)
			case "cut":
				wld.daemons[first].part = 1 + first
			case "part":
				for _, dmn := range wld.daemons {
					dmn.part = rapid.IntRange(0, 2).Draw(t, "part")
				}
			case "heal":
				for _, dmn := range wld.daemons {
					dmn.part = 0
				}
			}
			wld.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "tenths")) * 100 * time.Millisecond)
		}
		if worst := wld.arrivals.Worst(time.Time{}); worst.Share() > 1 {
			t.Fatalf("%d arrivals beyond the first from %s on, %.1f are allowed", worst.Resent, worst.Start, worst.Allowed)
		}
	})
}

// Guards against the failure that the budget lies unused where all requests fail, in a calm fleet and two
// windows after all daemons were killed.
func TestFleetUsesTheBudget(t *testing.T) {
	const least = 0.4
	for _, bounds := range []yuccabudget.Bounds{{Window: 10 * time.Second, Ratio: 0.2, Allowance: 54}, {Window: 10 * time.Second, Ratio: 0.2}, {Window: 10 * time.Second, Allowance: 54}} {
		wld := newWorld(bounds, 7)
		wld.perStep, wld.failing = 4, true
		wld.run(2 * bounds.Window)
		if use := wld.arrivals.Window(wld.now.Add(-bounds.Window)); use.Share() < least {
			t.Errorf("%+v: %.2f is used in a calm fleet", bounds, use.Share())
		}
		wld.kill(wld.daemons)
		wld.run(3 * bounds.Window)
		if use := wld.arrivals.Window(wld.now.Add(-bounds.Window)); use.Share() < least {
			t.Errorf("%+v: %.2f is used two windows after all daemons were killed", bounds, use.Share())
		}
	}
}
