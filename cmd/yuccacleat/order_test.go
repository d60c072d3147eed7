package main_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccatarget"
)

var _ = Describe("the wished state of targets", func() {
	// Operators publish a new version. A target that was not brought to it goes on
	// answering with the old one, and callers get answers that operators withdrew.
	It("is reached on targets that check orders and on those that don't", func() {
		fl := newFleet(3, append(unlike[0], "--checks-fence"), unlike[1])
		for _, version := range []string{"v1", "v2"} {
			note := yuccastate.Note{By: "operator"}
			pool := fl.state.Pools["draft"]
			pool.Wish = yuccastate.Wish{Model: "triage-8b", Version: version, Role: "decode"}
			note.Changed.Pools = map[yuccaid.Pool]yuccastate.Pool{"draft": pool}
			fl.publish(note)
			for _, address := range fl.engines {
				Eventually(func(g Gomega) {
					var state yuccatarget.State
					fetch(g, address, yuccatarget.StatePath, &state)
					g.Expect(state.Model).To(Equal(yuccaid.Model("triage-8b")))
					g.Expect(state.Version).To(Equal(version))
					g.Expect(state.Role).To(Equal("decode"))
				}).WithTimeout(patience).WithPolling(pollEach).Should(Succeed())
			}
		}
	})
})
