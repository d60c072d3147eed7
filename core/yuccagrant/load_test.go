package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

// mixedEngines returns two fast engines for each slow one, with six slots each.
func mixedEngines() []*engine { return newEngines(6, 1, 1, 3, 1, 1, 3) }

var _ = Describe("callers under load", func() {
	// For five seconds twice as many requests arrive as the engines can serve. If requests were
	// served in order of arrival, letters, which are the least urgent, would fill the engines
	// and notes, the most urgent requests, would be late.
	It("get their urgent answers on time in a burst, and letters give way", func() {
		burst := func(since time.Duration) float64 {
			if since > 10*time.Second && since < 15*time.Second {
				return 75
			}
			return 20
		}
		scheduled := newSimulation(1, mixedEngines()...)
		scheduled.run(30*time.Second, burst)
		unscheduled := newSimulation(1, mixedEngines()...)
		unscheduled.leastOutstanding = true
		unscheduled.run(30*time.Second, burst)
		Expect(scheduled.tally("note").onTimeShare()).To(BeNumerically(">=", 0.97))
		Expect(scheduled.tally("note").onTimeShare()).To(BeNumerically(">", unscheduled.tally("note").onTimeShare()+0.1))
		Expect(scheduled.tally("").onTime).To(BeNumerically(">", unscheduled.tally("").onTime))
	})

	// For a minute 1.5 times as many requests arrive as the engines can serve. If requests were
	// refused regardless of rank, notes would be refused while letters are served.
	It("are refused from the lowest rank upwards when the fleet is full for long", func() {
		sim := newSimulation(2, mixedEngines()...)
		sim.run(60*time.Second, steady(60))
		note, handover, letter := sim.tally("note"), sim.tally("handover"), sim.tally("letter")
		Expect(note.onTimeShare()).To(BeNumerically(">=", 0.95))
		Expect(note.onTimeShare()).To(BeNumerically(">=", handover.onTimeShare()-0.02))
		Expect(handover.onTimeShare()).To(BeNumerically(">", letter.onTimeShare()))
		Expect(note.refused).To(BeNumerically("<=", note.submitted/50))
	})

	// If the time after which refused callers retry did not grow with the queue, they would
	// retry while the queue is still full and be refused again.
	It("are told to retry later the more requests are waiting", func() {
		meanRetryAfter := func(rate float64) time.Duration {
			sim := newSimulation(3, mixedEngines()...)
			sim.run(20*time.Second, steady(rate))
			var sum time.Duration
			count := 0
			for _, jb := range sim.all {
				if jb.refused {
					sum += jb.retryAfter
					count++
					Expect(jb.retryAfter).To(BeNumerically(">", 0))
				}
			}
			return sum / time.Duration(max(count, 1))
		}
		Expect(meanRetryAfter(140)).To(BeNumerically(">", meanRetryAfter(60)))
	})

	// Under lasting overload a request could wait long and then be refused, which is worse for
	// its caller than an immediate refusal, or be answered too late.
	It("don't wait long for a refusal", func() {
		sim := newSimulation(4, mixedEngines()...)
		sim.run(30*time.Second, steady(90))
		for _, jb := range sim.all {
			if jb.refused {
				Expect(jb.sent.IsZero()).To(BeTrue(), "a refused request was sent")
			}
		}
		late := 0
		for _, jb := range sim.all {
			if jb.done && jb.first.Sub(jb.arrived) > 4*time.Second {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", len(sim.all)/400))
	})

	// One engine becomes eight times slower without reporting it. If the leader did not notice, the
	// slow engine would go on getting as many requests as each of the other engines, and would
	// answer its requests late.
	It("hardly notice an engine that has turned slow", func() {
		engines := newEngines(6, 1, 1, 1, 1)
		sim := newSimulation(5, engines...)
		sim.run(5*time.Second, steady(25))
		engines[0].pace = 8
		before := len(sim.all)
		sim.run(20*time.Second, steady(25))
		late := 0
		for _, jb := range sim.all[before:] {
			if !jb.onTime {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", (len(sim.all)-before)/70))
	})

	// Half of the requests take much longer than the other half. The long requests could occupy all
	// slots and make the short requests late.
	It("with short requests aren't held up by long ones", func() {
		sim := newSimulation(6, newEngines(6, 1, 1, 1, 1)...)
		sim.classes = []class{
			{kind: "short", rank: 1, softDeadline: 500 * time.Millisecond, events: 8, prompt: 300, share: 0.5},
			{kind: "long", rank: 1, softDeadline: 3 * time.Second, events: 200, prompt: 9000, share: 0.5},
		}
		sim.run(30*time.Second, steady(16))
		Expect(sim.tally("short").onTimeShare()).To(BeNumerically(">=", 0.97))
		Expect(sim.tally("long").onTimeShare()).To(BeNumerically(">=", 0.95))
	})

	// One of four engines fails all requests for ten seconds. An engine that fails requests at once
	// looks idle. An engine that hangs holds each request until its deadline. Either could attract
	// request after request. After the ten seconds the engine works again.
	DescribeTable("whose target fails lose little more than the requests that were there",
		func(outcome yuccagrant.Outcome, maxLostShare float64) {
			engines := newEngines(6, 1, 1, 1, 1)
			sim := newSimulation(7, engines...)
			sim.run(5*time.Second, steady(20))
			start := sim.now
			engines[1].fails = func(now time.Time) yuccagrant.Outcome {
				if now.Sub(start) < 10*time.Second {
					return outcome
				}
				return yuccagrant.Served
			}
			before := len(sim.all)
			sim.run(10*time.Second, steady(20))
			lost := 0
			for _, jb := range sim.all[before:] {
				if !jb.done {
					lost++
				}
			}
			Expect(float64(lost)).To(BeNumerically("<=", maxLostShare*float64(len(sim.all)-before)))
			engines[1].fails = nil
			before = len(sim.all)
			sim.run(10*time.Second, steady(20))
			served := 0
			for _, jb := range sim.all[before:] {
				if jb.done {
					served++
				}
			}
			Expect(served).To(BeNumerically(">=", (len(sim.all)-before)*97/100))
		},
		Entry("that refuses connections", yuccagrant.Unreachable, 0.01),
		Entry("that rejects everything", yuccagrant.Rejected, 0.01),
		Entry("that hangs", yuccagrant.Lost, 0.02),
	)
})
