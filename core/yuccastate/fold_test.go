package yuccastate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate"
)

var _ = Describe("a first note", func() {
	It("is in force once it is applied", func() {
		state := founded()
		Expect(state.Number).To(Equal(yuccaid.ConfigNumber(1)))
		acc, known := state.AccountOf("desk secret")
		Expect(known).To(BeTrue())
		Expect(acc).To(Equal(yuccaid.Account("desk")))
		literal := &yuccastate.State{Accounts: state.Accounts}
		acc, known = literal.AccountOf("desk secret")
		Expect(known).To(BeTrue())
		Expect(acc).To(Equal(yuccaid.Account("desk")), "also in a state built as a literal")
		_, known = state.AccountOf("other secret")
		Expect(known).To(BeFalse())
		Expect(state.Allowed("desk", "drafts-1")).To(BeTrue())
		Expect(state.Allowed("letters", "drafts-1")).To(BeFalse(), "not on its list")
		Expect(state.Allowed("letters", "drafts-2")).To(BeTrue())
		Expect(state.Allowed("letters", "bookings-1")).To(BeFalse(), "not its pool")
		Expect(state.Allowed("nobody", "drafts-1")).To(BeFalse())
		Expect(state.SetupOf("drafts-2").Version).To(Equal("1.9"))
		Expect(string(state.SetupOf("drafts-2").Model)).To(Equal("drafter"))
		Expect(yuccastate.Empty().Digest()).To(Equal(yuccaid.Digest("888b91929a3a2fd964f4a7ab728f27a65ddbc8f4e170f0b9ed33262dfd8032a9")))
	})
})

var _ = Describe("Diff", func() {
	It("lists what a note does, and what undoing it would do", func() {
		first := founded()
		second, err := first.Apply(nextNote(first, string(readTestdata("second.yaml"))))
		Expect(err).NotTo(HaveOccurred())
		expectGolden("diff.golden", yuccastate.Diff(yuccastate.Empty(), first)+"\n"+
			yuccastate.Diff(first, second)+"\n"+yuccastate.Diff(second, first))
		Expect(yuccastate.Diff(second, second)).To(BeEmpty())
	})
})
