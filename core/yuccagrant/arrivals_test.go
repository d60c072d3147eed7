package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

var _ = Describe("callers who are refused in an overload", func() {
	// More urgent requests take nearly all slots for 20 seconds. If the wait of others were estimated by
	// the queue alone, they would be kept until their time is up and then be refused.
	It("aren't kept waiting for slots that more urgent ones will get", func() {
		sim := newSimulation(1, newEngines(4, 1, 1, 1, 1, 1, 1)...)
		sim.classes = []class{
			{kind: "plan", rank: 0, softDeadline: time.Second, events: 60, prompt: 3700, share: 0.6},
			{
				kind: "summary", rank: 1, softDeadline: time.Second, deadline: 8 * time.Second, events: 60, prompt: 2900, share: 0.4,
				alterRequest: func(req *yuccagrant.Request) { req.Tier = 1 },
			},
		}
		sim.run(20*time.Second, steady(70))
		refused, kept := 0, 0
		for _, jb := range sim.jobsOf("summary") {
			if jb.refused {
				refused++
				if jb.refusedAt.Sub(jb.arrived) > 500*time.Millisecond {
					kept++
				}
			}
		}
		Expect(refused).To(BeNumerically(">", 100))
		Expect(float64(kept)).To(BeNumerically("<", 0.1*float64(refused)))
	})

	// For three seconds three times as many requests arrive as can be served. If all that are refused
	// were told to come back when the queue of that moment is done, they would come in one burst, and
	// be refused again.
	It("come back no faster than they can be served", func() {
		sim := newSimulation(2, mixedEngines()...)
		sim.run(3*time.Second, steady(130))
		const period = 500 * time.Millisecond
		back := make(map[int64]int)
		most := 0
		for _, jb := range sim.all {
			if jb.refused {
				at := jb.refusedAt.Add(jb.retryAfter).UnixNano() / int64(period)
				back[at]++
				most = max(most, back[at])
			}
		}
		// The engines serve some 45 requests a second.
		Expect(most).To(BeNumerically("<=", 30))
	})
})
