package yuccaroster_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
)

// Guards against the failure that a lost change of the targets is never requested again.
var _ = DescribeTable("the revision up to which a daemon knows all changes",
	func(known, after, at, expected int) {
		got := yuccaroster.Revision(known).Extend(yuccaroster.Revision(after), yuccaroster.Revision(at))
		Expect(got).To(Equal(yuccaroster.Revision(expected)))
	},
	Entry("grows with changes that follow", 7, 7, 9, 9),
	Entry("grows with changes that overlap", 7, 5, 9, 9),
	Entry("stays when changes before them are missing", 7, 8, 9, 7),
	Entry("stays when it knows them all", 7, 3, 5, 7),
	Entry("grows with all registrations, which follow no change", 7, 0, 9, 9),
)
