package yuccaonce_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

const lifetime = time.Minute

var (
	fleetKey = yuccaid.Key("fleet key for tests")
	here     = yuccaid.NewIncarnation("vm-1", [16]byte{1})
	start    = time.UnixMilli(1_700_000_000_000)
	ticket   = yuccaonce.Claim{Account: "hotline", Pool: "tickets", Operation: "file", Body: "b0d1"}
)

var _ = Describe("an owner", func() {
	var own *yuccaonce.Owner
	var id yuccaid.RequestText

	BeforeEach(func() {
		own = yuccaonce.New(here, fleetKey, yuccaonce.WithLifetime(lifetime))
		id, _ = own.Open(start, ticket.Account)
	})

	submit := func(now time.Time, claim yuccaonce.Claim) (yuccaonce.StepKind, error) {
		step, err := own.Submit(now, id, claim)
		return step.Kind, err
	}

	It("admits once, joins while it runs and passes on the outcome", func() {
		Expect(submit(start, ticket)).To(Equal(yuccaonce.StepAdmit))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.StepJoin))
		Expect(own.Dispatch(start, id, "t1")).To(Succeed())
		Expect(submit(start, ticket)).To(Equal(yuccaonce.StepJoin))
		out, err := own.Finish(start, id, yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 2, Hash: "aa"})
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal(yuccaonce.Outcome{Run: yuccaonce.Ran, Pieces: 2, Hash: "aa"}))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.StepClosed))
		Expect(own.Outcome(start, id, ticket.Account)).To(Equal(out))
	})
})
