package yuccagrant_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// pair is a leader of a quick target and one that is five times as slow, which has seen
// answers of both, and of which the quick one is full.
func pair() (lead *yuccagrant.Leader, now time.Time) {
	lead = yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
	now = time.Unix(1_700_000_000, 0)
	lead.Configure(now, []yuccagrant.Target{{Name: "quick", Slots: 2}, {Name: "slow", Slots: 2}})
	for number := range uint64(60) {
		one := answerOf(number, 20, now)
		one.Tried = []yuccaid.Target{[]yuccaid.Target{"quick", "slow"}[number%2]}
		Expect(lead.Ask(now, one).Grants).To(HaveLen(1))
		pace := []time.Duration{5, 1}[number%2]
		now = now.Add(time.Second)
		lead.Ended(now, yuccagrant.Ended{ID: one.ID, Outcome: yuccagrant.Served, First: pace * 20 * time.Millisecond, Events: 20, Span: pace * 400 * time.Millisecond})
		lead.Tick(now)
	}
	for number := range uint64(3) {
		one := answerOf(100+number, 20, now)
		one.Tried = []yuccaid.Target{"slow"}
		Expect(lead.Ask(now, one).Grants).To(HaveLen(1))
	}
	return lead, now
}

// answerOf asks for an answer of some events, whose caller waits ten seconds for its end.
func answerOf(number uint64, events yuccaid.Tokens, now time.Time) yuccagrant.Ask {
	return yuccagrant.Ask{
		ID: idOf(number), Prompt: 100, Answer: 6 * events, Gap: time.Second,
		Aim: now.Add(2 * time.Second), Until: now.Add(4 * time.Second), End: now.Add(10 * time.Second),
	}
}

var _ = Describe("a long answer", func() {
	// Only a slow engine is free. It would generate for as long as the caller waits, and the
	// answer would be cut off in the middle.
	It("waits for a quick target rather than break off on a slow one", func() {
		lead, now := pair()
		Expect(lead.Ask(now, answerOf(200, 200, now)).Grants).To(BeEmpty())
		dec := lead.Ask(now, answerOf(201, 20, now))
		Expect(dec.Grants).To(HaveLen(1))
		Expect(dec.Grants[0].Target).To(BeEquivalentTo("slow"))
		dec = lead.Ended(now.Add(300*time.Millisecond), yuccagrant.Ended{ID: idOf(100), Outcome: yuccagrant.Served, First: 20 * time.Millisecond, Events: 20, Span: 280 * time.Millisecond})
		Expect(dec.Grants).To(HaveLen(1))
		Expect(dec.Grants[0].ID).To(Equal(idOf(200)))
	})

	// All quick engines have failed. Waiting for them, it would be refused.
	It("takes a slow target when no quick one can be had", func() {
		lead, now := pair()
		lead.Ended(now, yuccagrant.Ended{ID: idOf(100), Outcome: yuccagrant.Unreachable})
		dec := lead.Ask(now, answerOf(200, 200, now))
		Expect(dec.Grants).To(HaveLen(1))
		Expect(dec.Grants[0].Target).To(BeEquivalentTo("slow"))
	})
})
