package main_test

import (
	"context"
	"errors"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccacaller"
	"yuccacleat/io/yuccadaemon"
	"yuccacleat/io/yuccastand"
)

var unlike = [][]string{
	{"--prefill", "8000", "--decode", "400", "--slots", "8"},
	{"--prefill", "2000", "--decode", "100", "--slots", "4"},
}

var _ = Describe("the whole path over processes", func() {
	It("opens at one daemon, submits through another, is placed by a third and runs once", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		for _, request := range []yuccadaemon.Request{
			draft("urgent", words(200), 40),
			desk("lookup", "plate 77"),
			desk("file-ticket", "smell at Elm and 3rd"),
		} {
			leader, others := fl.leader(request.Pool)
			Expect(others).To(HaveLen(2))
			id, err := fl.caller.Open(ctx, others[0].addresses.Caller)
			Expect(err).NotTo(HaveOccurred())
			answer, err := fl.caller.Submit(ctx, others[1].addresses.Caller, id, request)
			Expect(err).NotTo(HaveOccurred(), "leader %s: %s", leader.name, others[0].logs)
			Expect(answer.End.Run).To(Equal(yuccaonce.Ran))
			Expect(answer.End.Partial).To(BeFalse())
			Expect(string(answer.Data)).To(Equal(yuccastand.Answer(string(id), answer.End.Pieces)))
			Expect(fl.runsOf(id)).To(Equal(1))
			Expect(outcome(ctx, fl, leader, id)).To(Equal(yuccaonce.Ran))
		}
	})
})

func outcome(ctx context.Context, fl *fleet, dm *daemon, id yuccaid.RequestText) yuccaonce.Run {
	GinkgoHelper()
	end, err := fl.caller.Outcome(ctx, dm.addresses.Caller, id)
	Expect(err).NotTo(HaveOccurred())
	return end.Run
}

var _ = Describe("a graceful shutdown", func() {
	// A VM is replaced while callers read long answers from the daemon on it. A
	// daemon that left at once would cut the answers off, and callers would have to
	// ask again for work that the engines had nearly done.
	It("finishes every answer of the daemon that leaves", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		leader, others := fl.leader("draft")
		for _, leaving := range []*daemon{leader, others[0]} {
			answers := make(chan error, 4)
			for range cap(answers) {
				go func() {
					answer, err := fl.caller.Run(ctx, leaving.addresses.Caller, draft("normal", words(50), 400))
					if err == nil && answer.End.Partial {
						err = &yuccacaller.BrokenError{Detail: "partial"}
					}
					answers <- err
				}()
			}
			Eventually(func(g Gomega) int { return leaving.status(g).Running["normal"] }).WithTimeout(patience).Should(Equal(cap(answers)))
			leaving.signal(syscall.SIGTERM)
			for range cap(answers) {
				Expect(<-answers).NotTo(HaveOccurred())
			}
			Expect(leaving.exit()).To(Equal(0), leaving.logs.String())
		}
	})
})

var _ = Describe("a target that takes a request and falls silent", func() {
	// The engine took the request, and then nothing more came from it. The caller must
	// hear that nobody knows, since a second run could do harm, and the request must
	// not be sent anywhere else.
	It("leaves the request unknown and unrepeated", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		faults(fl.plain, yuccastand.Faults{Status: 502})
		id, err := fl.caller.Open(ctx, fl.daemons[0].addresses.Caller)
		Expect(err).NotTo(HaveOccurred())
		for _, dm := range fl.daemons {
			_, err = fl.caller.Submit(ctx, dm.addresses.Caller, id, desk("file-ticket", "smell"))
			var refused *yuccacaller.RefusedError
			Expect(errors.As(err, &refused)).To(BeTrue())
			Expect(refused.Run).To(Equal(yuccaonce.Unknown))
		}
		Expect(fl.runsOf(id)).To(Equal(1))
	})
})

var _ = Describe("connections between daemons that go silent", func() {
	// Something between two VMs loses track of their connections: what is sent on them
	// vanishes, while new ones work. Requests would wait for a leader that is there.
	It("are replaced by new ones, and requests are served", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		for _, dm := range fl.daemons {
			dm.relay.hush()
		}
		_, others := fl.leader("draft")
		answer, err := fl.caller.Run(ctx, others[0].addresses.Caller, draft("urgent", words(50), 20))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.End.Run).To(Equal(yuccaonce.Ran))
		Expect(fl.runsOf(answer.ID)).To(Equal(1))
	})
})

var _ = Describe("a cut inside a data centre", func() {
	// A switch fails and one daemon, the pool's leader, sees nobody else. Callers reach
	// both sides and must be served on both, each request once; an id opened on one
	// side and submitted on the other must not run on the wrong side.
	It("leaves both sides serving and runs nothing twice", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		leader, others := fl.leader("draft")
		id, err := fl.caller.Open(ctx, leader.addresses.Caller)
		Expect(err).NotTo(HaveOccurred())
		fl.cut(func(from, to yuccaid.VM) bool { return (from == leader.name) != (to == leader.name) })
		for _, dm := range []*daemon{leader, others[0]} {
			answer, err := fl.caller.Run(ctx, dm.addresses.Caller, draft("urgent", words(20), 10))
			Expect(err).NotTo(HaveOccurred(), dm.logs.String())
			Expect(fl.runsOf(answer.ID)).To(Equal(1))
		}
		_, err = fl.caller.Submit(ctx, others[1].addresses.Caller, id, draft("urgent", words(20), 10))
		var refused *yuccacaller.RefusedError
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.Run).To(Equal(yuccaonce.Unknown))
		fl.cut(nil)
		fl.settle()
		answer, err := fl.caller.Submit(ctx, others[1].addresses.Caller, id, draft("urgent", words(20), 10))
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.End.Run).To(Equal(yuccaonce.Ran))
		Expect(fl.runsOf(id)).To(Equal(1))
	})
})

var _ = Describe("a target whose process has died", func() {
	// An engine is gone and nobody has told the daemons. No byte of a request can have
	// reached it, so callers must be served by the other engine, not refused.
	It("costs callers nothing while another works", func(ctx SpecContext) {
		fl := newFleet(3, unlike...)
		faults(fl.engines[0], yuccastand.Faults{Dead: yuccastand.DeathRefuse, DeadMillis: patience.Milliseconds()})
		for range 6 {
			answer, err := fl.caller.Run(ctx, fl.daemons[0].addresses.Caller, draft("urgent", words(20), 10))
			Expect(err).NotTo(HaveOccurred(), fl.daemons[0].logs.String())
			Expect(answer.End.Run).To(Equal(yuccaonce.Ran))
		}
		Expect(runs(fl.engines[1])).To(HaveLen(6))
	})
})
