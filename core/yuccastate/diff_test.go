package yuccastate_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccastate"
)

var _ = Describe("Diff", func() {
	It("lists what a note does, and what undoing it would do", func() {
		first := founded()
		second, err := first.Apply(parsed(first, string(read("second.yaml"))))
		Expect(err).NotTo(HaveOccurred())
		expectGolden("diff.golden", yuccastate.Diff(yuccastate.Empty(), first)+"\n"+
			yuccastate.Diff(first, second)+"\n"+yuccastate.Diff(second, first))
		Expect(yuccastate.Diff(second, second)).To(BeEmpty())
	})
})
