package yuccaonce_test

import (
	"errors"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

const lifetime = time.Minute

var (
	fleetKey    = yuccaid.Key("fleet key for tests")
	incarnation = yuccaid.NewIncarnation("vm-1", [16]byte{1})
	start       = time.UnixMilli(1_700_000_000_000)
	ticket      = yuccaonce.Submission{Account: "hotline", Pool: "tickets", Operation: "file", Body: "b0d1"}
)

var _ = Describe("an owner", func() {
	var own *yuccaonce.Owner
	var id yuccaid.RequestID

	BeforeEach(func() {
		own = yuccaonce.New(incarnation, fleetKey, yuccaonce.WithLifetime(lifetime),
			yuccaonce.WithLimits(yuccaonce.Limits{Total: 4, PerAccount: 3, Unsubmitted: 2}))
		id, _ = own.Open(start, ticket.Account)
	})

	submit := func(now time.Time, submission yuccaonce.Submission) (yuccaonce.SubmitAction, error) {
		result, err := own.Submit(now, id, submission)
		return result.Action, err
	}
	submitAndDispatch := func() {
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitAdmit))
		Expect(own.Dispatch(start, id, "t1")).To(Succeed())
	}

	It("admits once, joins while the request runs and returns the outcome", func() {
		submitAndDispatch()
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitJoin))
		out, err := own.Finish(start, id, yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 2, Hash: "aa"})
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal(yuccaonce.Outcome{Run: yuccaonce.Ran, Pieces: 2, Hash: "aa"}))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitClosed))
		Expect(own.Outcome(start, id, ticket.Account)).To(Equal(out))
	})

	DescribeTable("refuses a second submit that differs",
		func(change func(*yuccaonce.Submission)) {
			submitAndDispatch()
			other := ticket
			change(&other)
			_, err := submit(start, other)
			Expect(err).To(BeAssignableToTypeOf(&yuccaonce.ConflictError{}))
		},
		Entry("in its body", func(c *yuccaonce.Submission) { c.Body = "0000" }),
		Entry("in its pool", func(c *yuccaonce.Submission) { c.Pool = "letters" }),
		Entry("in its operation", func(c *yuccaonce.Submission) { c.Operation = "look" }),
	)

	// Guards against revealing other accounts' requests: another account submits and
	// queries an id in each of its stages. If the errors differed by stage, that
	// account would learn which requests exist and when they end.
	It("answers other accounts the same in each state of the request", func() {
		outsider := ticket
		outsider.Account = "outsider"
		outsiderErrors := func(now time.Time) []string {
			_, first := own.Submit(now, id, outsider)
			_, second := own.Outcome(now, id, outsider.Account)
			return []string{first.Error(), second.Error()}
		}
		opened := outsiderErrors(start)
		submitAndDispatch()
		Expect(outsiderErrors(start)).To(Equal(opened))
		overdue := outsiderErrors(start.Add(lifetime))
		_, err := own.Finish(start.Add(lifetime), id, yuccaonce.Result{Run: yuccaonce.Ran})
		Expect(err).NotTo(HaveOccurred())
		Expect(outsiderErrors(start.Add(lifetime))).To(Equal(overdue))
		Expect(outsiderErrors(start.Add(time.Hour))).To(Equal(overdue))
	})

	// Guards against running a request that was reported as not run: a caller queries
	// the outcome of an id while its own submission is still on its way. The caller is
	// told that the request did not run and submits a new request. If the id weren't
	// closed, both requests would run.
	It("closes an unsubmitted id when its outcome is asked for", func() {
		out, err := own.Outcome(start, id, ticket.Account)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(Equal(yuccaonce.Outcome{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonNeverSubmitted}))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitClosed))
	})

	// Guards against reporting a dispatched request as displaced: a grant and a
	// displacement arrive at about the same time. If the later one of the two weren't
	// refused, a caller would be told that its request did not run although it ran.
	It("decides grant and displacement in one step", func() {
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitAdmit))
		out, done := own.CloseNotRun(start, id, yuccaonce.ReasonDisplaced, time.Second)
		Expect(done).To(BeTrue())
		Expect(out).To(Equal(yuccaonce.Outcome{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonDisplaced, RetryAfter: time.Second}))
		Expect(own.Dispatch(start, id, "t1")).To(BeAssignableToTypeOf(&yuccaonce.ClosedError{}))

		id, _ = own.Open(start, ticket.Account)
		submitAndDispatch()
		_, done = own.CloseNotRun(start, id, yuccaonce.ReasonDisplaced, 0)
		Expect(done).To(BeFalse())
		Expect(own.Dispatch(start, id, "t2")).To(BeAssignableToTypeOf(&yuccaonce.DispatchedError{}))
	})

	DescribeTable("reports of a dispatched request only what is proved",
		func(result yuccaonce.Result, run yuccaonce.Run, partial bool) {
			Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitAdmit))
			Expect(own.Dispatch(start, id, "t1")).To(Succeed())
			out, err := own.Finish(start, id, result)
			Expect(err).NotTo(HaveOccurred())
			Expect(out.Run).To(Equal(run))
			Expect(out.Partial).To(Equal(partial))
		},
		Entry("whole", yuccaonce.Result{Run: yuccaonce.Ran}, yuccaonce.Ran, false),
		Entry("refused by contract", yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonRefusedByTarget}, yuccaonce.NotRun, false),
		Entry("no byte sent", yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonUnsent}, yuccaonce.NotRun, false),
		Entry("refused after a piece", yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonRefusedByTarget, Pieces: 1}, yuccaonce.Ran, true),
		Entry("cancelled", yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonCancelled}, yuccaonce.Ran, true),
		Entry("preempted", yuccaonce.Result{Run: yuccaonce.Ran, Reason: yuccaonce.ReasonPreempted}, yuccaonce.Ran, true),
		Entry("claimed without proof", yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonOverload}, yuccaonce.Unknown, false),
		Entry("target lost", yuccaonce.Result{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonTargetLost}, yuccaonce.Unknown, false),
	)

	It("refuses steps out of order and ids of other owners", func() {
		Expect(own.Dispatch(start, id, "t1")).To(BeAssignableToTypeOf(&yuccaonce.StageError{}))
		_, err := own.Finish(start, id, yuccaonce.Result{})
		Expect(err).To(BeAssignableToTypeOf(&yuccaonce.StageError{}))
		other := yuccaonce.New(yuccaid.NewIncarnation("vm-1", [16]byte{2}), fleetKey)
		_, err = other.Submit(start, id, ticket)
		Expect(err).To(Equal(&yuccaonce.WrongOwnerError{Owner: incarnation}))
		_, err = own.Submit(start, id+"0", ticket)
		Expect(err).To(MatchError(yuccaid.ErrForged))
	})

	It("bounds the stored ids and returns when one becomes free", func() {
		limitError := func(now time.Time, acc yuccaid.Account) *yuccaonce.LimitError {
			_, err := own.Open(now, acc)
			var limitErr *yuccaonce.LimitError
			Expect(errors.As(err, &limitErr)).To(BeTrue())
			return limitErr
		}
		openAndSubmit := func(now time.Time, acc yuccaid.Account) {
			id, _ = own.Open(now, acc)
			Expect(own.Submit(now, id, yuccaonce.Submission{Account: acc})).NotTo(BeZero())
		}
		openAndSubmit(start.Add(time.Second), ticket.Account)
		_, err := own.Open(start.Add(time.Second), ticket.Account)
		Expect(err).NotTo(HaveOccurred())
		Expect(limitError(start.Add(time.Second), ticket.Account)).To(Equal(
			&yuccaonce.LimitError{Account: ticket.Account, Limit: "perAccount", Value: 3, RetryAfter: lifetime - time.Second}))
		openAndSubmit(start.Add(time.Second), "desk")
		Expect(limitError(start.Add(2*time.Second), "desk").Limit).To(Equal("total"))
		Expect(own.Tick(start.Add(lifetime))).To(Equal(1))
		_, err = own.Open(start.Add(lifetime), "desk")
		Expect(err).NotTo(HaveOccurred())
	})

	It("bounds the ids that an account opens and does not use", func() {
		_, err := own.Open(start, ticket.Account)
		Expect(err).NotTo(HaveOccurred())
		_, err = own.Open(start, ticket.Account)
		Expect(err).To(HaveField("Limit", "unsubmitted"))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitAdmit))
		_, err = own.Open(start, ticket.Account)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against clock jumps: the VM's clock is set back after an id has expired,
	// or jumps ahead while a request runs. The expired id must stay refused, and the
	// running request must still be finished with its outcome.
	It("keeps its decisions when the clock jumps", func() {
		submitAndDispatch()
		expiredID, _ := own.Open(start.Add(time.Second), ticket.Account)
		Expect(own.Tick(start.Add(time.Hour))).To(Equal(1))
		Expect(own.Counts()).To(Equal(yuccaonce.Counts{Dispatched: 1, Overdue: 1}))
		_, err := own.Submit(start, expiredID, ticket)
		Expect(err).To(BeAssignableToTypeOf(&yuccaonce.ExpiredError{}))
		Expect(submit(start, ticket)).To(Equal(yuccaonce.SubmitJoin))
		out, err := own.Finish(start, id, yuccaonce.Result{Run: yuccaonce.Ran})
		Expect(err).NotTo(HaveOccurred())
		Expect(own.Outcome(start, id, ticket.Account)).To(Equal(out))
		Expect(own.Tick(start.Add(lifetime))).To(Equal(1))
		Expect(own.Counts()).To(BeZero())
	})
})

var _ = Describe("an answer buffer", func() {
	It("keeps complete answers, bounded by age and bytes, and never a part", func() {
		buf := yuccaonce.NewAnswerBuffer[string](80, time.Second)
		Expect(buf.Put(start, "big", "01234567890", 11)).To(BeFalse())
		for _, id := range []yuccaid.RequestID{"0", "1", "2", "3", "4", "5", "6", "7", "8"} {
			Expect(buf.Put(start, id, "0123456789", 10)).To(BeTrue())
		}
		_, found := buf.Get(start, "0")
		Expect(found).To(BeFalse())
		answers, bytes := buf.Size()
		Expect(answers).To(Equal(8))
		Expect(bytes).To(Equal(yuccaid.Bytes(80)))
		data, _ := buf.Get(start, "8")
		Expect(data).To(HaveLen(10))
		buf.Tick(start.Add(time.Second))
		answers, bytes = buf.Size()
		Expect(answers + int(bytes)).To(BeZero())
	})
})
