package yuccastream_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastream"
)

var _ = DescribeTable("the origin of a stream whose prompt ends with a part of 1000 tokens, from what targets keep of it",
	func(expected yuccaid.Version, holdings ...yuccastream.Holding) {
		origin, found := yuccastream.OriginOf(holdings, 1000)
		Expect(found).To(Equal(expected != ""))
		Expect(origin.Version).To(Equal(expected))
	},
	Entry("is told by the target that keeps it", yuccaid.Version("v1"), holding("notes", "v1", 1000)),
	Entry("is told by one that keeps whole blocks", yuccaid.Version("v1"), holding("notes", "v1", 992)),
	Entry("is told by one that keeps the answer too", yuccaid.Version("v1"), holding("notes", "v1", 1240)),
	Entry("is told by several of one version", yuccaid.Version("v1"), holding("notes", "v1", 400), holding("notes", "v1", 992)),
	Entry("isn't told by nobody", yuccaid.Version("")),
	// Guards against the failure that a stream goes on at a version that began to read its prompt and made no event.
	Entry("isn't told by one that has read a part of it only", yuccaid.Version(""), holding("notes", "v1", 512)),
	Entry("isn't told if two versions have read it", yuccaid.Version(""), holding("notes", "v1", 992), holding("notes", "v2", 992)),
	Entry("isn't told if another version has read some of it", yuccaid.Version(""), holding("notes", "v1", 992), holding("notes", "v2", 16)),
	Entry("isn't told if targets of two pools have read it", yuccaid.Version(""), holding("notes", "v1", 992), holding("archive", "v1", 992)),
	Entry("isn't told by a process that isn't known", yuccaid.Version(""), holding("notes", "", 992)),
	Entry("is told if another target of its version doesn't tell", yuccaid.Version("v1"), holding("notes", "v1", 0), holding("notes", "v1", 992)),
	Entry("isn't told if a target of another version doesn't tell", yuccaid.Version(""), holding("notes", "v1", 992), holding("notes", "v2", 0)),
	Entry("isn't told if no target tells", yuccaid.Version(""), holding("notes", "v1", 0)),
	Entry("isn't told if a process that isn't known has read it too", yuccaid.Version(""), holding("notes", "v1", 992), holding("notes", "", 992)),
)

var _ = It("isn't told by a target that doesn't tell, however short the part is", func() {
	_, found := yuccastream.OriginOf([]yuccastream.Holding{holding("notes", "v1", 0)}, 40)
	Expect(found).To(BeFalse())
})

var _ = It("doesn't depend on what targets of other pools don't tell, if the stream can't have begun there", func() {
	keeps := holding("notes", "v1", 992)
	unknown := yuccastream.Holding{}
	list := []yuccastream.Holding{keeps, holding("archive", "v1", 0), holding("notes", "v2", 0), holding("archive", "v1", 16), unknown}
	Expect(yuccastream.InPool(list, "notes")).To(Equal([]yuccastream.Holding{keeps, list[2], list[3], unknown}))
})

func holding(pool yuccaid.Pool, version yuccaid.Version, tokens yuccaid.Tokens) yuccastream.Holding {
	return yuccastream.Holding{Origin: yuccastream.Origin{Pool: pool, Version: version}, Tokens: tokens}
}

var _ = It("never tells an origin of which another holding knows nothing", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		drawn := rapid.SliceOf(rapid.Custom(func(t *rapid.T) yuccastream.Holding {
			return holding("notes", rapid.SampledFrom([]yuccaid.Version{"", "v1", "v2"}).Draw(t, "version"), yuccaid.Tokens(rapid.IntRange(0, 2000).Draw(t, "tokens")))
		})).Draw(t, "holdings")
		origin, found := yuccastream.OriginOf(drawn, 1000)
		for _, one := range drawn {
			if found && one.Origin != origin {
				t.Fatalf("told %v although a target of %v keeps the part", origin, one.Origin)
			}
		}
	})
})
