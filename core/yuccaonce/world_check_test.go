package yuccaonce_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// trials is several times what the slowest breach below takes.
const trials = 1000

// breach plays seeded histories until the oracle sees a breach, and counts requests
// that ran and that were called not run, since a world without either proves nothing.
func breach(off switches, without ...string) (ran, denied int, err error) {
	for seed := range trials {
		w := newWorld(off)
		actions := slices.DeleteFunc(history.Example(seed), func(act action) bool {
			return slices.Contains(without, act.kind)
		})
		if err := w.play(actions); err != nil {
			return ran, denied, err
		}
		ran += len(w.runs)
		denied += len(w.denied)
	}
	return ran, denied, nil
}

// Daemons are cut off, paused and restarted with empty memories, clocks jump, and
// messages come late, twice or out of order. A caller whose ticket is filed twice
// sees two crews sent; one who is told that a ticket was not filed files it again.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(switches{}).play(history.Draw(t, "history")); err != nil {
			t.Fatal(err)
		}
	})
}

// The same faults meet a fleet that lacks one mechanism. The oracle has to notice, or
// it would not notice a fault in the owner either.
var _ = DescribeTable("the oracle finds the breach",
	func(off switches) {
		_, _, err := breach(off)
		Expect(err).To(HaveOccurred())
	},
	Entry("when a hash over the live list names the owner", switches{hashOwner: true}),
	Entry("when ended ids are forgotten", switches{forgetsEnded: true}),
	Entry("when an unsubmitted id stays open after its outcome was told", switches{asksOnly: true}),
	Entry("when dispatch is recorded after the first byte", switches{recordsLate: true}),
	Entry("when a void grant is used", switches{ignoresVoid: true}),
	Entry("when a cancelled run is told as not run", switches{cancelIsNotRun: true}),
	Entry("when a restarted process keeps its name", switches{sameIncarnation: true}),
	Entry("when another daemon runs what its lost owner had", switches{runsElsewhere: true}),
)

var _ = It("holds on every one of those histories with all mechanisms on", func() {
	ran, denied, err := breach(switches{})
	Expect(err).NotTo(HaveOccurred())
	Expect(ran).To(BeNumerically(">", trials/4))
	Expect(denied).To(BeNumerically(">", trials/4))
})

// Without faults between daemons the hash is safe too, so its breach above comes from
// cuts, pauses and restarts and not from the way the world is made.
var _ = It("holds for the hash while no daemon is cut off, paused or restarted", func() {
	_, _, err := breach(switches{hashOwner: true}, "cut", "pause", "restart")
	Expect(err).NotTo(HaveOccurred())
})
