package yuccaonce_test

import (
	"slices"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// trials is the number of histories that findViolation plays. It is several times the
// number after which the rarest violation below is found.
const trials = 1000

// findViolation plays seeded histories until the oracle reports a violation. It also
// returns how many requests ran and how many were reported as not run in the histories
// without a violation, because histories without a run or without such a report prove
// nothing. Actions of the kinds in without are left out.
func findViolation(off switches, without ...string) (ran, reportedNotRun int, err error) {
	for seed := range trials {
		sim := newSimulation(off)
		actions := slices.DeleteFunc(history.Example(seed), func(act action) bool {
			return slices.Contains(without, act.kind)
		})
		if err := sim.play(actions); err != nil {
			return ran, reportedNotRun, err
		}
		ran += len(sim.runs)
		reportedNotRun += len(sim.reportedNotRun)
	}
	return ran, reportedNotRun, nil
}

// Guards against running a request twice, and against reporting a request as not run
// that ran. Daemons are cut off, paused and restarted without their state, clocks jump,
// and messages come late, twice or out of order. A request that runs twice files a
// ticket twice, so two crews are sent out. A caller that is told that its request did
// not run submits it again; if the request did run, two crews are sent out as well.
func TestNoRequestRunsTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newSimulation(switches{}).play(history.Draw(t, "history")); err != nil {
			t.Fatal(err)
		}
	})
}

// Plays the same faults against daemons that lack one mechanism each. The oracle must
// report a violation, because an oracle that misses the lack of a mechanism would also
// miss a fault in the owner.
var _ = DescribeTable("the oracle reports the violation",
	func(off switches) {
		_, _, err := findViolation(off)
		Expect(err).To(HaveOccurred())
	},
	Entry("when a hash over the live daemons chooses the owner", switches{hashOwner: true}),
	Entry("when closed ids can be submitted again", switches{forgetsClosed: true}),
	Entry("when an unsubmitted id stays open after its outcome was reported", switches{leavesOpen: true}),
	Entry("when dispatch is recorded after the first byte", switches{recordsLate: true}),
	Entry("when a grant for a closed request is used", switches{ignoresClosed: true}),
	Entry("when a cancelled run is reported as not run", switches{cancelIsNotRun: true}),
	Entry("when a restarted process keeps its incarnation", switches{sameIncarnation: true}),
	Entry("when another daemon runs the requests of an owner that it can't reach", switches{runsElsewhere: true}),
)

var _ = It("reports no violation on the same histories with all mechanisms on", func() {
	ran, reportedNotRun, err := findViolation(switches{})
	Expect(err).NotTo(HaveOccurred())
	Expect(ran).To(BeNumerically(">", trials/4))
	Expect(reportedNotRun).To(BeNumerically(">", trials/4))
})

// Choosing the owner by a hash is also safe while no daemon is cut off, paused or
// restarted. The violation above therefore comes from these faults and not from the
// simulation itself.
var _ = It("reports no violation for the hash while no daemon is cut off, paused or restarted", func() {
	_, _, err := findViolation(switches{hashOwner: true}, "cut", "pause", "restart")
	Expect(err).NotTo(HaveOccurred())
})
