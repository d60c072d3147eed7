package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("long prompts", func() {
	// Engines read one prompt after the other. If the leader chose a target by its number of runs
	// alone, it would send a prompt to a target that has to read two others first, although another
	// target with as many runs has read all of its prompts.
	It("are sent where few tokens have to be read first", func() {
		for seed := range uint64(3) {
			sim := newSimulation(seed, batchingEngines(1, 1, 1, 1, 3, 1, 1, 1)...)
			sim.classes = []class{{kind: "note", softDeadline: 1200 * time.Millisecond, events: 20, prompt: 16_300, share: 1}}
			sim.run(40*time.Second, steady(12))
			Expect(sim.tally("").onTimeShare()).To(BeNumerically(">=", 0.8), "seed %d", seed)
		}
	})
})
