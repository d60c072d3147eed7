package yuccaroster_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaroster"
)

// The platform is away for 4.5 s. If all daemons of a data centre called it as soon as its last
// response was old, a fleet of three hundred would make a thousand failing calls.
var _ = DescribeTable("the number of daemons that read the platform",
	func(age time.Duration, readers int) {
		Expect(yuccaroster.Readers(age)).To(Equal(readers))
	},
	Entry("is one while the reader gets responses", 1200*time.Millisecond, 1),
	Entry("grows when its last response is old", 1700*time.Millisecond, 3),
	Entry("doubles with each second", 2700*time.Millisecond, 6),
	Entry("stays small for the time of an outage", 4500*time.Millisecond, 12),
	Entry("includes a large data centre in the end", 8*time.Second, 192),
	Entry("doesn't overflow", 24*time.Hour, 3<<16),
)
