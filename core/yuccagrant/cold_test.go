package yuccagrant_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// coldFleet simulates six data centres whose leaders, and some daemons that decide without them, have more requests than
// the targets can take. It records when each target gets a request.
type coldFleet struct {
	now   time.Time
	rng   *rand.Rand
	limit yuccacold.Limit
	// perSecond is how many requests a target may get in any second.
	perSecond int
	deciders  []*coldDecider
	targets   []*coldTarget
	number    uint64
	// unbounded has deciders ignore that targets may be cold.
	unbounded bool
}

// coldDecider is a daemon that decides for its data centre, or for its own requests only.
type coldDecider struct {
	lead   *yuccagrant.Leader
	centre int
	leads  bool
	name   string
	// ends holds when runs end, and how.
	ends map[yuccagrant.ID]coldRun
}

type coldRun struct {
	target *coldTarget
	sent   time.Time
	first  time.Time
	end    time.Time
	lost   bool
}

type coldTarget struct {
	name   yuccaid.Target
	centre int
	// revision and stated are what the target has registered last.
	revision uint64
	stated   time.Duration
	down     bool
	arrivals []time.Time
	// mostInSecond is the largest number of arrivals in one second.
	mostInSecond int
}

const (
	coldCentres = 6
	// coldDaemons is the number of daemons of a data centre, of which some decide without the leader.
	coldDaemons = 5
)

func newColdFleet(seed uint64, targetsPerCentre int) *coldFleet {
	flt := &coldFleet{now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)), limit: yuccacold.Limit{Duration: 3 * time.Second, Rate: 5.2}}
	flt.perSecond = yuccacold.Bound{Factor: 1.5, Allowance: 5}.PerSecond(flt.limit)
	for centre := range coldCentres {
		for number := range targetsPerCentre {
			flt.targets = append(flt.targets, &coldTarget{name: yuccaid.Target(fmt.Sprintf("i-%d-%d", centre, number)), centre: centre, revision: 1})
		}
		for number := range coldDaemons {
			flt.deciders = append(flt.deciders, &coldDecider{centre: centre, leads: number == 0, name: fmt.Sprintf("entry-%d-%d", centre, number)})
		}
	}
	for _, dec := range flt.deciders {
		flt.restart(dec)
	}
	return flt
}

// restart gives a decider a leader that knows nothing.
func (flt *coldFleet) restart(dec *coldDecider) {
	dec.lead = yuccagrant.New(rand.New(rand.NewPCG(flt.rng.Uint64(), 2)))
	dec.ends = make(map[yuccagrant.ID]coldRun)
	flt.configure(dec)
}

// configure tells a decider what the targets have registered.
func (flt *coldFleet) configure(dec *coldDecider) {
	var list []yuccagrant.Target
	for _, tgt := range flt.targets {
		target := yuccagrant.Target{Name: tgt.name, Slots: 4, Remote: tgt.centre != dec.centre, OtherCentre: tgt.centre != dec.centre}
		target.Cold = yuccacold.Statement{Revision: tgt.revision, Known: true, Remaining: tgt.stated}
		target.Budget = flt.budget(dec, tgt)
		list = append(list, target)
	}
	flt.apply(dec, dec.lead.SetTargets(flt.now, list))
}

func (flt *coldFleet) budget(dec *coldDecider, tgt *coldTarget) yuccacold.Budget {
	if flt.unbounded {
		return yuccacold.Budget{}
	}
	shares, budget := yuccacold.Divide(flt.perSecond, coldCentres-1), yuccacold.Budget{Limit: flt.limit}
	var daemons, centres []string
	for number := range coldDaemons {
		daemons = append(daemons, fmt.Sprintf("entry-%d-%d", tgt.centre, number))
	}
	for centre := range coldCentres {
		if centre != tgt.centre {
			centres = append(centres, fmt.Sprint(centre))
		}
	}
	switch {
	case dec.centre != tgt.centre:
		if dec.leads && yuccacold.AmongFirst(shares.Others, tgt.name, fmt.Sprint(dec.centre), centres) {
			budget.PerSecond = 1
		}
	case dec.leads:
		budget.PerSecond, budget.WhileCold = shares.Leader, true
	case yuccacold.AmongFirst(shares.Alone, tgt.name, dec.name, daemons):
		budget.PerSecond = 1
	}
	return budget
}

// step simulates 10 ms.
func (flt *coldFleet) step() {
	flt.now = flt.now.Add(2 * tickInterval)
	for _, dec := range flt.deciders {
		flt.finishRuns(dec)
		// A leader refuses what it expects to be late, so the number of requests is bounded.
		for tries := 0; tries < 32 && dec.lead.QueueLength() < 4; tries++ {
			flt.number++
			rank := int(flt.number % 3)
			flt.apply(dec, dec.lead.Submit(flt.now, yuccagrant.Request{
				ID: yuccagrant.ID{Owner: owner, Number: flt.number}, Rank: rank, SoftDeadline: flt.now.Add(time.Second), Deadline: flt.now.Add(4 * time.Second),
			}))
		}
		flt.apply(dec, dec.lead.Tick(flt.now))
	}
}

func (flt *coldFleet) run(span time.Duration) {
	for end := flt.now.Add(span); flt.now.Before(end); {
		flt.step()
	}
}

func (flt *coldFleet) apply(dec *coldDecider, decisions yuccagrant.Decisions) {
	for _, grant := range decisions.Grants {
		for _, tgt := range flt.targets {
			if tgt.name == grant.Target {
				dec.ends[grant.ID] = flt.send(tgt)
			}
		}
	}
}

func (flt *coldFleet) send(tgt *coldTarget) coldRun {
	if tgt.down {
		return coldRun{target: tgt, sent: flt.now, end: flt.now.Add(time.Duration(flt.rng.IntN(400)) * time.Millisecond), lost: true}
	}
	tgt.arrivals = append(tgt.arrivals, flt.now)
	for flt.now.Sub(tgt.arrivals[0]) >= time.Second {
		tgt.arrivals = tgt.arrivals[1:]
	}
	tgt.mostInSecond = max(tgt.mostInSecond, len(tgt.arrivals))
	first := flt.now.Add(time.Duration(10+flt.rng.IntN(40)) * time.Millisecond)
	return coldRun{target: tgt, sent: flt.now, first: first, end: first.Add(time.Duration(flt.rng.IntN(100)) * time.Millisecond)}
}

func (flt *coldFleet) finishRuns(dec *coldDecider) {
	for id, run := range dec.ends {
		if flt.now.Before(run.end) {
			continue
		}
		delete(dec.ends, id)
		result := yuccagrant.Finished{ID: id, Outcome: yuccagrant.Served, TimeToFirst: run.first.Sub(run.sent)}
		switch {
		case run.lost:
			result = yuccagrant.Finished{ID: id, Outcome: yuccagrant.Unreachable}
		case run.target.down:
			result = yuccagrant.Finished{ID: id, Outcome: yuccagrant.Lost}
		}
		flt.apply(dec, dec.lead.RunFinished(flt.now, result))
	}
}

// register has a target register that it is cold for the given time, which all deciders learn at once.
func (flt *coldFleet) register(tgt *coldTarget, stated time.Duration) {
	tgt.revision++
	tgt.stated = stated
	for _, dec := range flt.deciders {
		flt.configure(dec)
	}
}

// most returns the largest number of requests that any target got in one second.
func (flt *coldFleet) most() int {
	most := 0
	for _, tgt := range flt.targets {
		most = max(most, tgt.mostInSecond)
	}
	return most
}

// forget discards what has been counted.
func (flt *coldFleet) forget() {
	for _, tgt := range flt.targets {
		tgt.arrivals, tgt.mostInSecond = nil, 0
	}
}

var _ = Describe("a pool whose targets may be cold", func() {
	// Guards against the failure that all deciders together send a cold target more than it bears, whether or not they know that it is cold.
	It("never sends a target more than the bound in any second", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			flt := newColdFleet(rapid.Uint64().Draw(t, "seed"), 2)
			for range rapid.IntRange(1, 8).Draw(t, "events") {
				tgt := flt.targets[rapid.IntRange(0, len(flt.targets)-1).Draw(t, "target")]
				switch rapid.IntRange(0, 3).Draw(t, "event") {
				case 0:
					tgt.down = !tgt.down
				case 1:
					flt.register(tgt, time.Duration(rapid.IntRange(0, 3000).Draw(t, "stated"))*time.Millisecond)
				case 2:
					// All targets of a data centre come back at once.
					for _, other := range flt.targets {
						other.down = other.down && other.centre != tgt.centre
					}
				case 3:
					for _, other := range flt.targets {
						other.down = other.down || other.centre == tgt.centre
					}
				}
				flt.run(time.Duration(rapid.IntRange(0, 1200).Draw(t, "millis")) * time.Millisecond)
			}
			Expect(flt.most()).To(BeNumerically("<=", flt.perSecond))
		})
	})

	It("would send a target more than that without budgets", func() {
		flt := newColdFleet(1, 2)
		flt.unbounded = true
		for _, dec := range flt.deciders {
			flt.configure(dec)
		}
		flt.run(2 * time.Second)
		Expect(flt.most()).To(BeNumerically(">", 2*flt.perSecond))
	})

	// Guards against the failure that a former leader, killed or not yet aware of its successor, and the successor each use the budget of a second.
	It("stays within the bound at targets that are known to be cold while the leaders change", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			flt := newColdFleet(rapid.Uint64().Draw(t, "seed"), 2)
			for _, tgt := range flt.targets {
				flt.register(tgt, 30*time.Second)
			}
			flt.run(time.Second)
			flt.forget()
			for range rapid.IntRange(1, 5).Draw(t, "changes") {
				flt.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millis")) * time.Millisecond)
				dec := flt.deciders[rapid.IntRange(0, coldCentres-1).Draw(t, "centre")*coldDaemons]
				if rapid.Bool().Draw(t, "goes on") {
					// The leader before goes on beside the new one.
					former := *dec
					flt.deciders = append(flt.deciders, &former)
				}
				flt.restart(dec)
				dec.lead.TakeOver(flt.now, false)
				flt.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "millisAfter")) * time.Millisecond)
				flt.deciders = flt.deciders[:coldCentres*coldDaemons]
			}
			Expect(flt.most()).To(BeNumerically("<=", flt.perSecond))
		})
	})

	// Guards against the failure that a killed leader and its successor each use the budget of a second at a target not known to be cold.
	It("stays within the bound at any target if a new leader knows the sends of the one before", func() {
		most := func(seed uint64, reported bool) int {
			flt := newColdFleet(seed, 2)
			for range 8 {
				flt.run(time.Duration(flt.rng.IntN(1500)) * time.Millisecond)
				dec := flt.deciders[flt.rng.IntN(coldCentres)*coldDaemons]
				sends := dec.lead.RecentSends(flt.now)
				flt.restart(dec)
				if reported {
					dec.lead.RecordReported(flt.now, sends, true)
				}
				dec.lead.TakeOver(flt.now, true)
			}
			flt.run(time.Second)
			return flt.most()
		}
		exceeded := 0
		for seed := range uint64(6) {
			Expect(most(seed, true)).To(BeNumerically("<=", 12))
			if most(seed, false) > 12 {
				exceeded++
			}
		}
		Expect(exceeded).To(BeNumerically(">=", 3))
	})

	// Guards against the failure that a new leader uses its budget beside that of a killed one whose last reports it has, because they are old.
	It("counts the sends that the leader before has reported, also if they may not be all", func() {
		flt := newColdFleet(1, 1)
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		start := flt.now
		lead.SetTargets(start, []yuccagrant.Target{{Name: "i-1", Slots: 16, Budget: yuccacold.Budget{Limit: flt.limit, PerSecond: 7, WhileCold: true}}})
		sent := start.Add(-200 * time.Millisecond)
		var reported []yuccagrant.Send
		for range 7 {
			reported = append(reported, yuccagrant.Send{Target: "i-1", At: sent})
		}
		lead.RecordReported(start, reported, false)
		lead.TakeOver(start, false)
		granted := 0
		for number := range uint64(8) {
			granted += len(lead.Submit(start, yuccagrant.Request{
				ID: yuccagrant.ID{Number: number + 1}, SoftDeadline: start.Add(10 * time.Second), Deadline: start.Add(20 * time.Second),
			}).Grants)
		}
		Expect(granted).To(BeZero())
		Expect(lead.Tick(sent.Add(1050 * time.Millisecond)).Grants).To(HaveLen(4))
	})

	// Guards against the failure that a cold target gets nothing, so that its slots are idle although requests wait.
	It("uses what a cold target bears", func() {
		flt := newColdFleet(1, 1)
		flt.register(flt.targets[0], 4*time.Second)
		got := 0
		for range 3 {
			flt.forget()
			flt.run(time.Second)
			got += len(flt.targets[0].arrivals)
		}
		Expect(got).To(BeNumerically("~", 15, 1))
	})

	It("sends the most urgent request to a cold target first", func() {
		flt := newColdFleet(1, 1)
		flt.targets[0].stated = 3 * time.Second
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		start := flt.now
		lead.SetTargets(start, []yuccagrant.Target{{
			Name: "i-1", Slots: 4, Cold: yuccacold.Statement{Revision: 1, Known: true, Remaining: 3 * time.Second},
			Budget: yuccacold.Budget{Limit: flt.limit, PerSecond: 7, WhileCold: true},
		}})
		submit := func(number uint64, rank int) yuccagrant.Decisions {
			return lead.Submit(start, yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, Rank: rank, SoftDeadline: start.Add(time.Second), Deadline: start.Add(4 * time.Second)})
		}
		Expect(submit(1, 1).Grants).To(HaveLen(1))
		Expect(submit(2, 2).Grants).To(BeEmpty())
		Expect(submit(3, 0).Grants).To(BeEmpty())
		Expect(lead.Tick(start.Add(150 * time.Millisecond)).Grants).To(BeEmpty())
		decisions := lead.Tick(start.Add(200 * time.Millisecond))
		Expect(decisions.Grants).To(HaveLen(1))
		Expect(decisions.Grants[0].ID.Number).To(Equal(uint64(3)))
	})
})
