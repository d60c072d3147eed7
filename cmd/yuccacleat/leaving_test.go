package main_test

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccastand"
)

// quietAfter is how many requests elsewhere show that a target gets no more: with an
// even share it would have had more than a tenth of them.
const quietAfter = 100

// leavingSpecs are about targets that are about to go; those of one spec stay gone.
func leavingSpecs(the func() *fleet) {
	// A target's VM is to be taken away. Work that is still sent there dies with it, and
	// its callers wait for an answer that never comes.
	gone := make(map[int]bool)
	DescribeTable("gives no new work to a target that leaves",
		func(ctx SpecContext, leave func(fl *fleet, index int)) {
			fl := the()
			ld := fl.load(ctx, 5, 6, 0)
			index := fl.inUse(gone)
			gone[index] = true
			count := func() int { return len(runs(fl.engines[index])) + fl.refusedByTargets() }
			turned := fl.refusedByTargets()
			leave(fl, index)
			began := time.Now()
			last, seen := began, count()
			quiet := ld.served.Load()
			Eventually(func() bool {
				now, served := count(), ld.served.Load()
				if now > seen {
					last, seen, quiet = time.Now(), now, served
				}
				return served >= quiet+quietAfter
			}).WithTimeout(patience).WithPolling(pollEach).Should(BeTrue())
			measured("leaving to last new work", last.Sub(began))
			ld.end()
			GinkgoWriter.Printf("%d requests turned away by the target\n", fl.refusedByTargets()-turned)
		},
		Entry("by the platform's list", func(fl *fleet, index int) { fl.list(yuccaid.VM(fmt.Sprintf("vm-engine-%d", index+1))) }),
		Entry("by its own answer", func(fl *fleet, index int) { faults(fl.engines[index], yuccastand.Faults{Leaving: true}) }),
		Entry("by a note", func(fl *fleet, index int) {
			target := yuccaid.Target(fmt.Sprintf("engine-%d", index+1))
			fl.publish(yuccastate.Note{Author: "test operator", Withdrawn: yuccastate.Names{Targets: []yuccaid.Target{target}}})
		}),
	)
}

// inUse waits for a target that gets work under the present load.
func (fl *fleet) inUse(gone map[int]bool) int {
	GinkgoHelper()
	before := make([]int, len(fl.engines))
	for i, address := range fl.engines {
		before[i] = len(runs(address))
	}
	found := -1
	Eventually(func() int {
		for i, address := range fl.engines {
			if !gone[i] && len(runs(address)) > before[i]+3 {
				found = i
			}
		}
		return found
	}).WithTimeout(patience).WithPolling(pollEach).Should(BeNumerically(">=", 0))
	return found
}

// refusedByTargets counts the requests that a leaving target had to turn away.
func (fl *fleet) refusedByTargets() int {
	count := 0
	for _, tell := range fl.witness.heard() {
		if tell.reason == yuccaonce.ReasonRefusedByTarget {
			count++
		}
	}
	return count
}

// shutdownSpecs end the fleet.
func shutdownSpecs(the func() *fleet) {
	// A release is rolled out: every VM is told to stop, one after another, while
	// callers go on. A daemon that left too early would cut answers off, or make
	// requests that it owned unknown.
	It("shuts down one daemon after another and cuts off no request", func(ctx SpecContext) {
		fl := the()
		heard := len(fl.witness.heard())
		ld := fl.load(ctx, 6, 10, 0)
		for i, dm := range fl.daemons {
			served := ld.served.Load()
			Eventually(ld.served.Load).WithTimeout(patience).Should(BeNumerically(">", served+20))
			if i == len(fl.daemons)-1 {
				ld.end()
			}
			dm.signal(syscall.SIGTERM)
			if i < len(fl.daemons)-1 {
				ld.use(fl.daemons[i+1:])
			}
			Expect(dm.exit()).To(BeZero(), dm.logs.String())
		}
		for _, tell := range fl.witness.heard()[heard:] {
			Expect(tell.whole()).To(BeTrue(), "%+v: %s", tell, fl.tracesOf(tell.id))
		}
	})
}

// tracesOf returns what the daemons logged of a request, and of their roles.
func (fl *fleet) tracesOf(id yuccaid.RequestID) string {
	var found strings.Builder
	for _, dm := range fl.daemons {
		for line := range strings.Lines(dm.logs.String()) {
			if strings.Contains(line, string(id)) || strings.Contains(line, "ead") {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}
