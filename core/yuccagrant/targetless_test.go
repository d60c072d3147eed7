package yuccagrant_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

// serveWithout has six data centres, of which the last one has no targets, serve a load that the targets of the others can
// just bear. It returns the share of requests that were served on time, of the callers of that data centre and of all others.
func serveWithout(seed uint64) (without, others float64) {
	const centres, enginesPerCentre, rate = 6, 4, 170
	sim := newSimulation(seed, newEngines(4, make([]float64, (centres-1)*enginesPerCentre)...)...)
	for _, eng := range sim.engines {
		eng.pace = 1
	}
	sim.split(seed, centres)
	for at, lead := range sim.leaders {
		var targets []yuccagrant.Target
		for number, eng := range sim.engines {
			eng.lead = sim.leaders[number%(centres-1)]
			targets = append(targets, yuccagrant.Target{Name: eng.name, Slots: eng.slots, OtherCentre: number%(centres-1) != at})
		}
		lead.SetCentreCount(centres)
		sim.apply(lead.SetTargets(sim.now, targets))
	}
	sim.runFor(20*time.Second, rate, func() {})
	sim.runFor(5*time.Second, 0, func() {})
	var onTime, all [2]float64
	for _, jb := range sim.all {
		group := 0
		if jb.lead == sim.leaders[centres-1] {
			group = 1
		}
		all[group]++
		if jb.done && jb.onTime {
			onTime[group]++
		}
	}
	return onTime[1] / all[1], onTime[0] / all[0]
}

var _ = Describe("a data centre without targets", func() {
	// Guards against the failure that callers of a data centre without targets are refused, because other leaders fill their own targets first.
	It("is served about as well as the others while all are busy", func() {
		for seed := range uint64(3) {
			without, others := serveWithout(seed)
			GinkgoWriter.Println(fmt.Sprintf("seed %d: on time %.3f without targets, %.3f elsewhere", seed, without, others))
			Expect(without).To(BeNumerically(">=", 0.9*others))
		}
	})
})
