package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

const (
	// simCastInterval is the time between two casts of a leader, and simCastDelay the time until a
	// cast arrives at the leaders of the other data centres.
	simCastInterval = 100 * time.Millisecond
	simCastDelay    = 50 * time.Millisecond
	// maxRejections is how often a request is sent to another target after a target rejected it.
	maxRejections = 3
)

// cast is the loads that one leader reports to the others.
type cast struct {
	from     *yuccagrant.Leader
	loads    map[yuccaid.Target]yuccagrant.TargetLoad
	parts    []yuccagrant.HeldPart
	failures []yuccagrant.TargetFailures
	arriveAt time.Time
}

// split divides the requests among the leaders of several data centres, which learn of one
// another's runs with a delay.
func (sim *simulation) split(seed uint64, centres int) {
	if centres == 1 {
		return
	}
	for number := range centres - 1 {
		sim.leaders = append(sim.leaders, yuccagrant.New(rand.New(rand.NewPCG(seed, uint64(number)+3))))
	}
	for _, lead := range sim.leaders {
		lead.SetCentreCount(centres)
	}
	sim.configure()
}

// drawLeader returns the leader of a random data centre, to which demand gives its share if it is set.
func (sim *simulation) drawLeader() *yuccagrant.Leader {
	if len(sim.leaders) == 1 {
		return sim.leaders[0]
	}
	draw := sim.rng.Float64()
	for number, share := range sim.demand {
		if draw -= share; draw < 0 {
			return sim.leaders[number]
		}
	}
	return sim.leaders[sim.rng.IntN(len(sim.leaders))]
}

// exchangeLoads has each leader cast its loads when a cast is due, and delivers the casts that
// arrive.
func (sim *simulation) exchangeLoads() {
	if len(sim.leaders) == 1 {
		return
	}
	if sim.now.Sub(sim.lastCast) >= simCastInterval {
		sim.lastCast = sim.now
		for _, lead := range sim.leaders {
			loads := make(map[yuccaid.Target]yuccagrant.TargetLoad)
			for target, load := range lead.Loads() {
				loads[target] = load
			}
			sim.inFlight = append(sim.inFlight, cast{from: lead, loads: loads, parts: lead.TakeNewParts(16), failures: lead.TakeFailures(), arriveAt: sim.now.Add(simCastDelay)})
		}
	}
	if len(sim.inFlight) > 0 && !sim.now.Before(sim.inFlight[0].arriveAt) {
		sim.deliverCasts(sim.inFlight[:len(sim.leaders)])
		sim.inFlight = sim.inFlight[len(sim.leaders):]
	}
}

// deliverCasts sets, for each leader, the sums of the loads that the others have cast.
func (sim *simulation) deliverCasts(casts []cast) {
	for _, lead := range sim.leaders {
		for _, each := range casts {
			if each.from != lead {
				lead.AddHeldParts(each.parts)
				if !sim.isolated {
					sim.apply(lead.AddFailures(sim.now, each.failures))
				}
			}
		}
		totals := make(map[yuccaid.Target]yuccagrant.TargetLoad)
		for _, eng := range sim.engines {
			var sum yuccagrant.TargetLoad
			for _, each := range casts {
				if each.from != lead {
					sum.Runs += each.loads[eng.name].Runs
					sum.Pace = max(sum.Pace, each.loads[eng.name].Pace)
					sum.Tried = sum.Tried || each.from == eng.lead && each.loads[eng.name].Pace > 0
				}
			}
			totals[eng.name] = sum
		}
		sim.apply(lead.SetOtherCentreLoads(sim.now, totals))
	}
}

// reject reports that an engine rejected a request, and submits the request again unless it was
// rejected too often.
func (sim *simulation) reject(eng *engine, jb *job) {
	jb.rejections++
	sim.finish(eng, jb, yuccagrant.Rejected)
	if jb.rejections >= maxRejections {
		jb.refused = true
		return
	}
	jb.req.FailedTargets = append(jb.req.FailedTargets, eng.name)
	jb.req.ID.Number += 1 << 32
	sim.jobs[jb.req.ID] = jb
	sim.apply(jb.lead.Submit(sim.now, jb.req))
}

// calls is the traffic of a plain service: short calls that are answered with a single event.
var calls = []class{{
	kind: "call", rank: 2, softDeadline: 400 * time.Millisecond, deadline: 2 * time.Second, events: 0.01, prompt: 1, share: 1,
	alterRequest: func(req *yuccagrant.Request) { req.MaxGap, req.Prompt, req.Answer = 0, 0, 0 },
}}

// smallPool returns a simulation of seven targets of a plain service, decided on by the leaders of the
// given number of data centres. The targets serve 480 calls a second at most, and reject calls that
// don't fit into their queues.
func smallPool(seed uint64, centres int) *simulation {
	engines := newEngines(6, 0.7, 1, 1.3, 1, 0.7, 1.3, 1)
	for _, eng := range engines {
		eng.queueLimit = 24
	}
	sim := newSimulation(seed, engines...)
	sim.classes = calls
	sim.split(seed, centres)
	return sim
}

var _ = Describe("a small pool of short calls under several leaders", func() {
	// The leaders learn of one another's runs a tenth of a second late, when most of these runs have
	// finished. If all leaders sent their next calls to the target that looked least busy then, that
	// target would be overloaded, and the calls would be late or rejected while other targets were
	// idle.
	DescribeTable("serves its callers on time while it is nearly full",
		func(centres int, rate, onTime float64) {
			for seed := range uint64(3) {
				sim := smallPool(seed, centres)
				sim.run(20*time.Second, steady(rate))
				Expect(sim.tally("").onTimeShare()).To(BeNumerically(">=", onTime), "seed %d", seed)
				for _, jb := range sim.all {
					Expect(jb.rejections).To(BeZero(), "seed %d", seed)
				}
			}
		},
		Entry("with one leader", 1, 450.0, 0.99),
		Entry("with three leaders", 3, 450.0, 0.99),
		Entry("with six leaders", 6, 450.0, 0.97),
		Entry("with fourteen leaders", 14, 400.0, 0.97),
		Entry("with fourteen leaders and hardly any reserve", 14, 450.0, 0.85),
	)

	// For five seconds a fifth more calls arrive than the targets can serve. A leader that always
	// finds the slots occupied by the runs that the others had a tenth of a second ago would serve
	// nobody.
	It("lets no leader starve in a burst", func() {
		sim := smallPool(1, 6)
		sim.run(15*time.Second, func(since time.Duration) float64 {
			if since > 5*time.Second && since < 10*time.Second {
				return 570
			}
			return 300
		})
		served := make(map[*yuccagrant.Leader]*tally)
		for _, jb := range sim.all {
			if served[jb.lead] == nil {
				served[jb.lead] = &tally{}
			}
			served[jb.lead].count(jb)
		}
		all := sim.tally("").servedShare()
		Expect(all).To(BeNumerically(">=", 0.85))
		for _, tl := range served {
			Expect(tl.servedShare()).To(BeNumerically(">=", all-0.05))
		}
	})
})
