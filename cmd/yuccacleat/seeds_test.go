package main_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a daemon on a new VM while the platform is away", func() {
	// A VM is replaced under another name during an outage of the platform. No list
	// names it to the others or the others to it, so only the seeds of its settings lead
	// there; a daemon that didn't dial them would never serve.
	It("takes the configuration from its seeds and serves", func() {
		fl := newFleet(1, unlike...)
		fl.seeds = []string{fl.daemons[0].relay.address()}
		way := newGate(fl.platform)
		DeferCleanup(way.close)
		way.cut()
		newcomer := fl.serve("odessa-1", "entry-9", newRelay("entry-9"), way)
		Eventually(func(g Gomega) {
			status := newcomer.status(g)
			g.Expect(status.Ready).To(BeTrue())
			g.Expect(status.Digest).To(Equal(fl.state.Digest()))
		}).WithTimeout(patience).WithPolling(pollEach).Should(Succeed())
	})
})
