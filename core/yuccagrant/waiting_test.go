package yuccagrant_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccagrant"
)

var _ = Describe("a request that is late", func() {
	urgent, other := class{kind: "urgent", rank: 0, events: 20}, class{kind: "other", rank: 2, events: 20}
	nextOf := func(late, onTime class) uint64 {
		lead, now := leaderWithHistory(urgent, other)
		running, number := lead.fill(now, other, 10)
		lead.Submit(now, requestOf(1, late, now))
		for _, id := range running {
			lead.RunStarted(now.Add(50*time.Millisecond), id, 50*time.Millisecond, yuccagrant.ReportedLoad{})
		}
		now = now.Add(1100 * time.Millisecond)
		lead.Submit(now, requestOf(number+1, onTime, now))
		return lead.finish(now, running[0]).Number
	}

	// Guards against the failure that an urgent request that has become late waits until its caller leaves, because others can still be on time.
	It("goes before less urgent ones that are on time", func() {
		Expect(nextOf(urgent, other)).To(Equal(uint64(1)))
	})

	It("goes after those as urgent that are on time", func() {
		Expect(nextOf(urgent, urgent)).NotTo(Equal(uint64(1)))
	})
})
