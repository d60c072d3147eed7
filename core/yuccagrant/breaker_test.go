package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

// failingPool returns a simulation of a pool in six data centres. One engine of eight fails as the given
// function says from the fifth second on.
func failingPool(seed uint64, fails func(now time.Time) yuccagrant.Outcome) *simulation {
	sim := regionalPool(seed, 6, true)
	start := sim.now
	for at, eng := range sim.engines {
		if at%8 == 0 {
			eng.fails = func(now time.Time) yuccagrant.Outcome {
				if now.Sub(start) < 5*time.Second {
					return yuccagrant.Served
				}
				return fails(now)
			}
		}
	}
	return sim
}

// lost counts the requests of a kind, or of all kinds if kind is empty, whose connection broke.
func (sim *simulation) lost(kind string) int {
	count := 0
	for _, jb := range sim.jobsOf(kind) {
		if jb.outcome == yuccagrant.Unreachable {
			count++
		}
	}
	return count
}

func alwaysUnreachable(time.Time) yuccagrant.Outcome { return yuccagrant.Unreachable }

var _ = Describe("a target that resets every connection", func() {
	// Guards against the failure that each leader sends a failing target, which looks idle, as many requests as it has slots after each backoff.
	It("costs few requests, and hardly any of the most urgent ones", func() {
		sim := failingPool(1, alwaysUnreachable)
		sim.run(15*time.Second, steady(400))
		isolated := failingPool(1, alwaysUnreachable)
		isolated.isolated = true
		isolated.run(15*time.Second, steady(400))
		Expect(sim.lost("")).To(BeNumerically("<=", 150))
		Expect(sim.lost("")).To(BeNumerically("<", isolated.lost("")/2))
		Expect(sim.lost("plan")).To(BeNumerically("<", sim.lost("summary")))
	})

	// Guards against the failure that leaders remember failures for too long, so that slots stay idle.
	It("gets its share again soon after it has recovered", func() {
		start := time.Time{}
		sim := failingPool(1, func(now time.Time) yuccagrant.Outcome {
			if start.IsZero() {
				start = now
			}
			if now.Sub(start) < 5*time.Second {
				return yuccagrant.Unreachable
			}
			return yuccagrant.Served
		})
		sim.run(20*time.Second, steady(400))
		recovered := 0
		for _, eng := range sim.engines {
			if eng.fails != nil && sim.sentTo(eng, start.Add(10*time.Second)) > 20 {
				recovered++
			}
		}
		Expect(recovered).To(Equal(6))
	})

	// Guards against the failure that targets which serve two thirds of their runs get hardly any requests.
	It("is told apart from targets that fail some of their runs", func() {
		sim := regionalPool(1, 6, true)
		number := 0
		for _, eng := range sim.engines {
			eng.fails = func(time.Time) yuccagrant.Outcome {
				if number++; number%3 == 0 {
					return yuccagrant.Unreachable
				}
				return yuccagrant.Served
			}
		}
		sim.run(15*time.Second, steady(150))
		Expect(sim.tally("").servedShare()).To(BeNumerically(">=", 0.6))
	})
})

// sentTo counts the requests that were sent to an engine and began after the given time.
func (sim *simulation) sentTo(eng *engine, after time.Time) int {
	count := 0
	for _, jb := range sim.all {
		if jb.engine == eng && jb.first.After(after) {
			count++
		}
	}
	return count
}
