package yuccatarget_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccastand"
)

var _ = Describe("a call", func() {
	It("brings the whole answer of an engine", func() {
		eng := startEngine()
		var ans answer
		end, err := newClient().Run(testContext(), generation("a", eng.Address(), 20), ans.add)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.text).To(Equal(yuccastand.Answer("a", 20)))
		Expect(end.Pieces).To(Equal(20))
		Expect(end.Hash).To(Equal(yuccastand.AnswerHash("a", 20)))
		Expect(end.Prompt).To(BeEquivalentTo(300))
		Expect(eng.Runs()).To(HaveLen(1))
		Expect(eng.Runs()[0].Fence).To(BeEquivalentTo(7))
	})

	It("brings the whole answer of a plain service", func() {
		plain := startPlain()
		var ans answer
		_, err := newClient().Run(testContext(), ticket("t", plain.Address()), ans.add)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.text).To(Equal(yuccastand.Answer("t", 1)))
		Expect(plain.Runs()).To(HaveLen(1))
		Expect(plain.Runs()[0].Operation).To(Equal("file-ticket"))
	})
})
