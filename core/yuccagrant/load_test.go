package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

// mixed is a fleet like that of a hotline: two quick engines for each slow one.
func mixed() []*engine { return fleet(6, 1, 1, 3, 1, 1, 3) }

var _ = Describe("callers under load", func() {
	// A pipeline is hit and many callers come at once, twice as many as the fleet can take.
	// Without order the letters fill the engines and the notes come late.
	It("get their urgent answers on time in a burst, and letters give way", func() {
		burst := func(since time.Duration) float64 {
			if since > 10*time.Second && since < 15*time.Second {
				return 75
			}
			return 20
		}
		led := newWorld(1, mixed()...)
		led.play(30*time.Second, burst)
		plain := newWorld(1, mixed()...)
		plain.simple = true
		plain.play(30*time.Second, burst)
		Expect(led.tally("note").good()).To(BeNumerically(">=", 0.97))
		Expect(led.tally("note").good()).To(BeNumerically(">", plain.tally("note").good()+0.1))
		Expect(led.tally("").onTime).To(BeNumerically(">", plain.tally("").onTime))
	})

	// For a minute half as much again comes as the fleet can take.
	It("are refused from the lowest rank upwards when the fleet is full for long", func() {
		wld := newWorld(2, mixed()...)
		wld.play(60*time.Second, steady(60))
		note, handover, letter := wld.tally("note"), wld.tally("handover"), wld.tally("letter")
		Expect(note.good()).To(BeNumerically(">=", 0.95))
		Expect(note.good()).To(BeNumerically(">=", handover.good()-0.02))
		Expect(handover.good()).To(BeNumerically(">", letter.good()))
		Expect(note.refused).To(BeNumerically("<=", note.asked/50))
	})

	// Refused callers who come back when they were told to must not meet the same queue.
	It("are told to come back later the more there is before them", func() {
		backs := func(rate float64) time.Duration {
			wld := newWorld(3, mixed()...)
			wld.play(20*time.Second, steady(rate))
			var sum time.Duration
			count := 0
			for _, one := range wld.all {
				if one.refused {
					sum += one.back
					count++
					Expect(one.back).To(BeNumerically(">", 0))
				}
			}
			return sum / time.Duration(max(count, 1))
		}
		Expect(backs(140)).To(BeNumerically(">", backs(60)))
	})

	// A long wait for nothing is worse than a refusal at once.
	It("don't wait long for a refusal", func() {
		wld := newWorld(4, mixed()...)
		wld.play(30*time.Second, steady(90))
		for _, one := range wld.all {
			if one.refused {
				Expect(one.sent.IsZero()).To(BeTrue(), "a refused request was sent")
			}
		}
		late := 0
		for _, one := range wld.all {
			if one.done && one.first.Sub(one.arrived) > 4*time.Second {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", len(wld.all)/400))
	})

	// One engine works five times as slowly from some moment on, without a word.
	It("hardly notice an engine that has turned slow", func() {
		engines := fleet(6, 1, 1, 1, 1)
		wld := newWorld(5, engines...)
		wld.play(5*time.Second, steady(25))
		engines[0].pace = 8
		before := len(wld.all)
		wld.play(20*time.Second, steady(25))
		late := 0
		for _, one := range wld.all[before:] {
			if !one.onTime {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", (len(wld.all)-before)/70))
	})

	// Half of the traffic is ten times as long as the rest.
	It("with short requests aren't held up by long ones", func() {
		wld := newWorld(6, fleet(6, 1, 1, 1, 1)...)
		wld.classes = []class{
			{kind: "short", rank: 1, aim: 500 * time.Millisecond, events: 8, prompt: 300, share: 0.5},
			{kind: "long", rank: 1, aim: 3 * time.Second, events: 200, prompt: 9000, share: 0.5},
		}
		wld.play(30*time.Second, steady(16))
		Expect(wld.tally("short").good()).To(BeNumerically(">=", 0.97))
		Expect(wld.tally("long").good()).To(BeNumerically(">=", 0.95))
	})

	DescribeTable("whose target fails lose little more than the requests that were there",
		func(outcome yuccagrant.Outcome, most float64) {
			engines := fleet(6, 1, 1, 1, 1)
			wld := newWorld(7, engines...)
			wld.play(5*time.Second, steady(20))
			start := wld.now
			engines[1].fails = func(now time.Time) yuccagrant.Outcome {
				if now.Sub(start) < 10*time.Second {
					return outcome
				}
				return yuccagrant.Served
			}
			before := len(wld.all)
			wld.play(10*time.Second, steady(20))
			lost := 0
			for _, one := range wld.all[before:] {
				if !one.done {
					lost++
				}
			}
			Expect(float64(lost)).To(BeNumerically("<=", most*float64(len(wld.all)-before)))
			engines[1].fails = nil
			before = len(wld.all)
			wld.play(10*time.Second, steady(20))
			used := 0
			for _, one := range wld.all[before:] {
				if one.done {
					used++
				}
			}
			Expect(used).To(BeNumerically(">=", (len(wld.all)-before)*97/100))
		},
		Entry("that refuses connections", yuccagrant.Unreachable, 0.01),
		Entry("that rejects everything", yuccagrant.Rejected, 0.01),
		Entry("that hangs", yuccagrant.Lost, 0.02),
	)
})
