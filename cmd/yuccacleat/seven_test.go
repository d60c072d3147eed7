package main_test

import (
	. "github.com/onsi/ginkgo/v2"
)

// One fleet serves all specs of seven daemons, in an order in which each leaves what
// the next one needs; after each, all answers ever told are held against all runs.
var _ = Describe("a fleet of seven daemons", Ordered, func() {
	var fl *fleet
	the := func() *fleet { return fl }
	BeforeAll(func() { fl = newFleet(7, unlike[0], unlike[0], unlike[0], unlike[0], unlike[1]) })
	AfterEach(func() { fl.verify() })
	configurationSpecs(the)
	leavingSpecs(the)
	lossSpecs(the)
	shutdownSpecs(the)
})
