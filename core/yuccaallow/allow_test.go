package yuccaallow_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

var _ = Describe("the check of a target", func() {
	target := yuccaallow.Target{Name: "a", Region: "coast", Version: "v1"}
	changed := func(change func(*yuccaallow.Target)) yuccaallow.Target {
		tgt := target
		change(&tgt)
		return tgt
	}
	coast := yuccaallow.Limits{Regions: yuccaregion.Only("coast", "hills")}

	DescribeTable("tells why a request may not use it",
		func(lim yuccaallow.Limits, failed []yuccaid.Target, tgt yuccaallow.Target, want yuccaallow.Exclusion) {
			Expect(yuccaallow.Check(lim, failed, tgt)).To(Equal(want))
		},
		Entry("any target", yuccaallow.Limits{}, nil, target, yuccaallow.Allowed),
		Entry("a target in an allowed region", coast, nil, target, yuccaallow.Allowed),
		Entry("a target in another region", yuccaallow.Limits{Regions: yuccaregion.Only("hills")}, nil, target, yuccaallow.OtherRegion),
		Entry("regions that exclude each other", yuccaallow.Limits{Regions: yuccaregion.Only()}, nil, target, yuccaallow.OtherRegion),
		Entry("a target in an unknown data centre", coast, nil, changed(func(tgt *yuccaallow.Target) { tgt.Region = "" }), yuccaallow.OtherRegion),
		Entry("a target of the version", yuccaallow.Limits{Version: "v1"}, nil, target, yuccaallow.Allowed),
		Entry("a target of another version", yuccaallow.Limits{Version: "v2"}, nil, target, yuccaallow.OtherVersion),
		Entry("a target that leaves", coast, nil, changed(func(tgt *yuccaallow.Target) { tgt.Leaving = true }), yuccaallow.Leaving),
		Entry("a target in an evacuated data centre", yuccaallow.Limits{}, nil, changed(func(tgt *yuccaallow.Target) { tgt.Evacuated = true }), yuccaallow.Evacuated),
		Entry("a target on which it failed", coast, []yuccaid.Target{"b", "a"}, target, yuccaallow.FailedBefore),
		Entry("a target beside one on which it failed", coast, []yuccaid.Target{"b"}, target, yuccaallow.Allowed),
	)
})
