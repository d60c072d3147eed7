package yuccaregion_test

import (
	"encoding/json"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// names are the regions from which sets are drawn.
var names = []yuccaid.Region{"", "coast", "delta", "hills", "hill", "plain"}

// drawSet draws a set, which may allow every region or none.
func drawSet(t *rapid.T, label string) yuccaregion.Set {
	if rapid.Bool().Draw(t, label+" any") {
		return yuccaregion.Set{}
	}
	return yuccaregion.Only(rapid.SliceOfN(rapid.SampledFrom(names[1:]), 0, 4).Draw(t, label)...)
}

var _ = Describe("a set of regions", func() {
	// Guards against the failure that a request is served in a region that its route or its account excludes.
	It("allows what both sets of an intersection allow, and nothing else", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			first, second := drawSet(t, "first"), drawSet(t, "second")
			both := first.Intersect(second)
			for _, region := range names {
				if both.Allows(region) != (first.Allows(region) && second.Allows(region)) {
					t.Fatalf("%v and %v give %v, which is wrong on %q", first, second, both, region)
				}
			}
			if both != second.Intersect(first) {
				t.Fatalf("the order of %v and %v matters", first, second)
			}
			if both.Limited() != (first.Limited() || second.Limited()) {
				t.Fatalf("%v and %v give %v", first, second, both)
			}
		})
	})

	// Guards against the failure that two regions which exclude each other allow every region.
	It("differs between every region and none", func() {
		none := yuccaregion.Only("coast").Intersect(yuccaregion.Only("plain"))
		Expect(none.Empty()).To(BeTrue())
		Expect(none.Limited()).To(BeTrue())
		Expect(none).To(Equal(yuccaregion.Only()))
		Expect(none).NotTo(Equal(yuccaregion.Set{}))
		Expect(yuccaregion.Set{}.Empty()).To(BeFalse())
		for _, region := range names {
			Expect(none.Allows(region)).To(BeFalse())
			Expect(yuccaregion.Set{}.Allows(region)).To(BeTrue())
		}
	})

	It("is the same however its regions are listed", func() {
		Expect(yuccaregion.Only("plain", "coast", "plain")).To(Equal(yuccaregion.Only("coast", "plain")))
		Expect(yuccaregion.Only("plain", "coast").Regions()).To(Equal([]yuccaid.Region{"coast", "plain"}))
		Expect(slices.Concat(yuccaregion.Set{}.Regions(), yuccaregion.Only().Regions())).To(BeEmpty())
	})

	// Guards against the failure that a set that allows no region allows every one once it is read again.
	It("is the same after it was written as JSON", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			set := drawSet(t, "set")
			raw, err := json.Marshal(set)
			if err != nil {
				t.Fatal(err)
			}
			read := yuccaregion.Only("hill")
			if err := json.Unmarshal(raw, &read); err != nil || read != set {
				t.Fatalf("%v became %v: %v", set, read, err)
			}
		})
	})

	DescribeTable("is told in logs", func(set yuccaregion.Set, text string) {
		Expect(set.String()).To(Equal(text))
	},
		Entry("every region", yuccaregion.Set{}, "any"),
		Entry("none", yuccaregion.Only(), "none"),
		Entry("some", yuccaregion.Only("plain", "coast"), "coast, plain"),
	)
})
