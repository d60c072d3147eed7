package main_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/core/yuccastate"
)

var _ = Describe("two data centres", func() {
	// All engines of a pool stand in another data centre than the caller, as after the
	// own ones were withdrawn. An owner that refused here would turn callers away beside
	// idle engines; one that handed the request over could have it run twice.
	It("serve a request in the other one when its own has no target, once", func(ctx SpecContext) {
		fl := newFleet(1, unlike...)
		fl.startIn("verona-1", "entry-9")
		fl.list()
		note := yuccastate.Note{Author: "operator"}
		note.Added.Centres = map[yuccaid.Centre]yuccastate.Centre{"verona-1": {Region: "italy"}}
		fl.publish(note)
		fl.settle()
		for _, operation := range []bool{true, false} {
			request := desk("file-ticket", "smell")
			if operation {
				request = draft("urgent", words(100), 20)
			}
			answer, err := fl.caller.Run(ctx, fl.daemons[1].addresses.Caller, request)
			Expect(err).NotTo(HaveOccurred(), fl.daemons[1].logs.String())
			Expect(answer.End.Run).To(Equal(yuccaonce.Ran))
			Expect(fl.runsOf(answer.ID)).To(Equal(1))
		}
	})
})
