package yuccastate_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

var noon = time.Unix(1_800_000_000, 0)

var _ = Describe("a chain", func() {
	It("accepts a note once and tells the audit trail", func() {
		chain := yuccastate.NewChain()
		before := chain.Digest()
		key, raw := published(chain.State(), string(read("first.yaml")))
		verdict, err := chain.Offer(noon, key, raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(verdict.Kind).To(Equal(yuccastate.VerdictAccepted))
		Expect(verdict.Entries).To(ConsistOf(yuccastate.Entry{
			At: noon, Kind: yuccastate.EntryAccepted, By: "anna", Number: 1, Before: before, After: chain.Digest(),
		}))
		again, err := chain.Offer(noon, key, raw)
		Expect(err).NotTo(HaveOccurred())
		Expect(again).To(Equal(yuccastate.Verdict{Kind: yuccastate.VerdictRepeated, Number: 1}))
	})
})
