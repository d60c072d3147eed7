package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

// unequalPool returns a simulation of engines of which each third takes 4.4 times as long as the others.
// Callers wait three seconds for the end of their answers; the leader knows that if ends is set.
func unequalPool(seed uint64, ends bool) *simulation {
	paces := make([]float64, 24)
	for at := range paces {
		paces[at] = 1
		if at%3 == 0 {
			paces[at] = 4.4
		}
	}
	sim := newSimulation(seed, newEngines(4, paces...)...)
	sim.classes = []class{{
		kind: "draft", softDeadline: time.Second, deadline: 3 * time.Second, events: 60, prompt: 1500, share: 1,
		alterRequest: func(req *yuccagrant.Request) {
			if ends {
				req.End = req.Deadline
			}
		},
	}}
	return sim
}

// fates counts the requests whose answers were complete in time, and those that were begun and weren't.
func (sim *simulation) fates() (complete, cut int) {
	for _, jb := range sim.all {
		switch {
		case !jb.done:
		case jb.ends.After(jb.req.Deadline):
			cut++
		default:
			complete++
		}
	}
	return complete, cut
}

var _ = Describe("long answers", func() {
	// Guards against the failure that a long answer keeps a slot of a slow engine until its caller leaves, and is cut off.
	It("aren't begun where they can't be completed in time", func() {
		gained := 0
		for seed := range uint64(3) {
			known, unknown := unequalPool(seed, true), unequalPool(seed, false)
			known.run(20*time.Second, steady(145))
			unknown.run(20*time.Second, steady(145))
			complete, cut := known.fates()
			completeBefore, cutBefore := unknown.fates()
			Expect(cut).To(BeNumerically("<", cutBefore/2), "seed %d", seed)
			gained += complete - completeBefore
		}
		Expect(gained).To(BeNumerically(">", 0))
	})

	// Guards against the failure that callers who announce answers that no engine could complete are not served.
	It("are served if their announced length can't be meant", func() {
		sim := unequalPool(1, true)
		end := sim.classes[0].alterRequest
		sim.classes[0].alterRequest = func(req *yuccagrant.Request) {
			end(req)
			req.Class = yuccagrant.Class(req.ID.Number)
			req.Answer *= 1000
		}
		sim.run(20*time.Second, steady(60))
		Expect(sim.tally("").servedShare()).To(BeNumerically(">=", 0.95))
	})
})
