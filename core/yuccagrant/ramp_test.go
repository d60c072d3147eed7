package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

const rampCentres = 6

// rampSimulation simulates six data centres with four engines each, which are nearly full. The engine at index n belongs to
// data centre n modulo rampCentres.
func rampSimulation(seed uint64, ramped bool) *simulation {
	paces := make([]float64, 4*rampCentres)
	for at := range paces {
		paces[at] = 1
	}
	sim := newSimulation(seed, newEngines(4, paces...)...)
	sim.split(seed, rampCentres)
	sim.configureCentres(ramped)
	return sim
}

// configureCentres sets the leaders' targets to the engines. Unless they are ramped, leaders don't tell the targets of their own
// data centre from others either, so that all parts which keep new targets from being flooded are taken out.
func (sim *simulation) configureCentres(ramped bool) {
	for at, eng := range sim.engines {
		eng.lead = sim.leaders[at%rampCentres]
	}
	for _, lead := range sim.leaders {
		var targets []yuccagrant.Target
		for _, eng := range sim.engines {
			targets = append(targets, yuccagrant.Target{Name: eng.name, Slots: eng.slots, OtherCentre: ramped && eng.lead != lead, Ramped: ramped})
		}
		sim.apply(lead.SetTargets(sim.now, targets))
	}
}

// runFor submits requests at a constant rate for the given time, and calls the function after each step.
func (sim *simulation) runFor(span time.Duration, rate float64, each func()) {
	due := 0.0
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.step()
		for due += rate * tickInterval.Seconds(); due >= 1; due-- {
			sim.submitRequest()
		}
		each()
	}
}

// rampResult is how a new engine fared.
type rampResult struct {
	// first and full are how long it took until the engine got its first request and until all of its slots were occupied.
	first, full time.Duration
	// mostQueued is the longest queue of the engine, and late how many of the requests sent there in the first two seconds
	// began later than their soft deadline.
	mostQueued, late int
}

// addEngine adds an engine to the data centre that is next, while requests queue, and returns how it fares.
func addEngine(seed uint64, ramped bool, pace float64) rampResult {
	sim := rampSimulation(seed, ramped)
	const rate = 220
	sim.runFor(10*time.Second, rate, func() {})
	added := &engine{name: "engine-new", slots: 4, pace: pace}
	sim.engines = append(sim.engines, added)
	start := sim.now
	sim.configureCentres(ramped)
	var result rampResult
	sim.runFor(4*time.Second, rate, func() {
		if result.first == 0 && len(added.runs)+len(added.queue) > 0 {
			result.first = sim.now.Sub(start)
		}
		if result.full == 0 && len(added.runs) >= added.slots {
			result.full = sim.now.Sub(start)
		}
		result.mostQueued = max(result.mostQueued, len(added.queue))
	})
	sim.runFor(6*time.Second, 0, func() {})
	for _, jb := range sim.all {
		if jb.engine == added && jb.sent.Sub(start) < 2*time.Second && !jb.onTime {
			result.late++
		}
	}
	return result
}

var _ = Describe("a new target", func() {
	It("is neither flooded by all leaders at once nor left idle", func() {
		for seed := range uint64(5) {
			ramped, unramped := addEngine(seed, true, 1), addEngine(seed, false, 1)
			GinkgoWriter.Println(seed, ramped, unramped)
			Expect(ramped.mostQueued).To(BeNumerically("<", unramped.mostQueued/3))
			Expect(ramped.late).To(BeNumerically("<", unramped.late/3))
			Expect(ramped.full).To(BeNumerically("<=", 2*time.Second))
		}
	})

	It("gets little as long as its answers are late", func() {
		for seed := range uint64(5) {
			ramped, unramped := addEngine(seed, true, 8), addEngine(seed, false, 8)
			GinkgoWriter.Println(seed, ramped, unramped)
			Expect(ramped.late).To(BeNumerically("<", unramped.late))
		}
	})
})

var _ = Describe("a target that was dark", func() {
	// Guards against the failure that each leader sends a dark target several requests each time it tries it again.
	It("costs few requests until it is back, and then has its full share soon", func() {
		darkness := func(seed uint64, ramped bool) (lost int, full time.Duration) {
			sim := rampSimulation(seed, ramped)
			const rate = 220
			sim.runFor(10*time.Second, rate, func() {})
			dark := sim.engines[7]
			start := sim.now
			dark.lostAfter = 400 * time.Millisecond
			dark.fails = func(now time.Time) yuccagrant.Outcome {
				if now.Sub(start) < 5*time.Second {
					lost++
					return yuccagrant.Lost
				}
				return yuccagrant.Served
			}
			sim.runFor(14*time.Second, rate, func() {
				if full == 0 && sim.now.Sub(start) > 5*time.Second && sim.served(dark) >= dark.slots {
					full = sim.now.Sub(start) - 5*time.Second
				}
			})
			return lost, full
		}
		for seed := range uint64(5) {
			lost, full := darkness(seed, true)
			lostUnramped, fullUnramped := darkness(seed, false)
			GinkgoWriter.Println(seed, lost, full, lostUnramped, fullUnramped)
			Expect(lost).To(BeNumerically("<", lostUnramped))
			Expect(full).To(BeNumerically("<=", 2*time.Second))
		}
	})
})

// served returns how many runs an engine has that will be served.
func (sim *simulation) served(eng *engine) int {
	count := 0
	for _, jb := range eng.runs {
		if jb.outcome == yuccagrant.Served {
			count++
		}
	}
	return count
}
