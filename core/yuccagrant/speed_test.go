package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaspeed"
)

// reportedLoad returns what the engine states with an answer. It leaves out its runs, which the leaders
// know.
func (eng *engine) reportedLoad(now time.Time) yuccagrant.ReportedLoad {
	if eng.states == nil {
		return yuccagrant.ReportedLoad{}
	}
	return yuccagrant.ReportedLoad{Slowness: yuccaspeed.Factor(eng.states(eng.slowness(now)))}
}

// unsteadyPool returns a simulation of 24 engines that share their machines with others: for a fifth of
// the time, work takes four times as long there. states is what they say of it, nil if they say nothing.
func unsteadyPool(seed uint64, centres int, states func(slowness float64) float64) *simulation {
	const period = 600 * time.Millisecond
	paces := make([]float64, 24)
	for at := range paces {
		paces[at] = 1
	}
	sim := newSimulation(seed, newEngines(4, paces...)...)
	sim.classes = []class{{kind: "question", softDeadline: 400 * time.Millisecond, deadline: 4 * time.Second, events: 10, prompt: 1500, share: 1}}
	for at, eng := range sim.engines {
		rng := rand.New(rand.NewPCG(seed, uint64(at)))
		factor, until := 1.0, sim.now.Add(time.Duration(rng.Float64()*float64(period)))
		eng.slowness = func(now time.Time) float64 {
			for ; !now.Before(until); until = until.Add(period) {
				factor = 1
				if rng.Float64() < 0.2 {
					factor = 4
				}
			}
			return factor
		}
		eng.states = states
	}
	sim.split(seed, centres)
	return sim
}

func truthful(slowness float64) float64 { return slowness }
func contrary(slowness float64) float64 { return 5 - slowness }

var _ = Describe("callers of targets whose speed changes by the moment", func() {
	// Guards against the failure that requests meet slow moments, or that all leaders choose the target that has just become fast.
	DescribeTable("are late less often if the targets state their speed", func(centres int, rate, lateShare float64) {
		stated, unstated := 0.0, 0.0
		for seed := range uint64(3) {
			with, without := unsteadyPool(seed, centres, truthful), unsteadyPool(seed, centres, nil)
			with.run(20*time.Second, steady(rate))
			without.run(20*time.Second, steady(rate))
			stated += with.tally("").onTimeShare() / 3
			unstated += without.tally("").onTimeShare() / 3
		}
		Expect(1 - stated).To(BeNumerically("<", lateShare*(1-unstated)))
	},
		Entry("one leader", 1, 120.0, 0.8), Entry("six leaders", 6, 120.0, 0.92),
		Entry("one leader of a pool that is nearly full", 1, 240.0, 0.8), Entry("six leaders of a pool that is nearly full", 6, 240.0, 0.97),
	)

	// Guards against the failure that false figures are believed, so that callers are sent to slow targets.
	It("lose nothing by targets that state the contrary of the truth", func() {
		for seed := range uint64(3) {
			lying, unstated := unsteadyPool(seed, 6, contrary), unsteadyPool(seed, 6, nil)
			lying.run(20*time.Second, steady(120))
			unstated.run(20*time.Second, steady(120))
			Expect(lying.tally("").onTimeShare()).To(BeNumerically(">=", unstated.tally("").onTimeShare()-0.02), "seed %d", seed)
		}
	})
})
