package yuccatarget_test

import (
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

func roleOrder(role string, fence yuccaid.ConfigNumber, expires time.Duration) yuccatarget.Order {
	return yuccatarget.Order{Kind: yuccatarget.OrderRole, Role: role, Fence: fence, Expires: expires}
}

var _ = Describe("a cancel", func() {
	It("ends a run, whose answer is told to be partial", func() {
		eng := startEngine(yuccastand.WithRates(10_000, 200))
		cl := newClient()
		var ans answerText
		started := make(chan struct{})
		cancelled := make(chan error, 1)
		go func() {
			<-started
			cancelled <- cl.Cancel(testContext(), eng.Address(), "a")
		}()
		_, err := cl.Run(testContext(), generation("a", eng.Address(), 100_000), func(piece yuccatarget.Piece) error {
			if piece.Position == 0 {
				close(started)
			}
			return ans.add(piece)
		})
		Expect(<-cancelled).To(Succeed())
		Expect(err).To(BeAssignableToTypeOf(&yuccatarget.CancelledError{}))
		run := eng.Runs()[0]
		Expect(run.Cancelled).To(BeTrue())
		Expect(run.Wasted).To(BeEquivalentTo(300))
		Expect(ans.text).To(Equal(yuccastand.Answer("a", run.Pieces)))
	})

	It("tells that there is nothing to end", func() {
		Expect(newClient().Cancel(testContext(), startEngine().Address(), "a")).To(MatchError(yuccatarget.ErrNoRun))
	})
})

var _ = Describe("an order", func() {
	It("changes the target's state", func() {
		eng := startEngine()
		cl := newClient()
		for _, order := range []yuccatarget.Order{
			{Kind: yuccatarget.OrderLoad, Model: "base", Version: "1", Fence: 1, Expires: limit},
			{Kind: yuccatarget.OrderVersion, Version: "2", Fence: 2, Expires: limit},
			{Kind: yuccatarget.OrderAdapter, Adapter: "notes", Fence: 3, Expires: limit},
			{Kind: yuccatarget.OrderAdapter, Adapter: "letters", Fence: 3, Expires: limit},
			{Kind: yuccatarget.OrderUnload, Adapter: "letters", Fence: 3, Expires: limit},
			roleOrder("prefill", 4, limit),
		} {
			_, err := cl.Order(testContext(), eng.Address(), order)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(cl.State(testContext(), eng.Address())).To(Equal(yuccatarget.State{
			Model: "base", Version: "2", Adapters: []yuccaid.Model{"notes"}, Role: "prefill", Fence: 4,
		}))
		state, err := cl.Order(testContext(), eng.Address(), yuccatarget.Order{Kind: yuccatarget.OrderUnload, Fence: 5, Expires: limit})
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(yuccatarget.State{Role: "prefill", Fence: 5}))
	})

	It("is not in effect before it is loaded", func() {
		eng := startEngine(yuccastand.WithEngineFaults(yuccastand.Faults{LoadMillis: limit.Milliseconds()}))
		state, err := newClient().Order(testContext(), eng.Address(), roleOrder("decode", 3, limit))
		Expect(err).NotTo(HaveOccurred())
		Expect(state).To(Equal(yuccatarget.State{Fence: 3, Loading: true}))
	})

	// A leader that was paused wakes up and gives an order of an older configuration.
	// Where the target checks, the order has no effect; where it does not, the state read
	// afterwards shows what has to be repaired.
	DescribeTable("with an old fencing number",
		func(checks bool, outcome OmegaMatcher, role string) {
			options := []yuccastand.EngineOption{}
			if checks {
				options = append(options, yuccastand.WithFenceCheck())
			}
			eng := startEngine(options...)
			cl := newClient()
			_, err := cl.Order(testContext(), eng.Address(), roleOrder("decode", 9, limit))
			Expect(err).NotTo(HaveOccurred())
			_, err = cl.Order(testContext(), eng.Address(), roleOrder("prefill", 8, limit))
			Expect(err).To(outcome)
			state, err := cl.State(testContext(), eng.Address())
			Expect(err).NotTo(HaveOccurred())
			Expect(state.Role).To(Equal(role))
			Expect(state.Fence).To(BeEquivalentTo(9))
		},
		Entry("is refused by a target that checks", true, MatchError(&yuccatarget.FencedError{Fence: 9}), "decode"),
		Entry("is obeyed by a target that does not", false, BeNil(), "prefill"),
	)

	It("is not sent once it has expired", func() {
		eng := startEngine()
		_, err := newClient().Order(testContext(), eng.Address(), roleOrder("decode", 1, 0))
		Expect(err).To(beUnsent())
		Expect(err).To(MatchError(&yuccatarget.ExpiredError{}))
		Expect(eng.Orders()).To(BeEmpty())
	})

	// A paused target takes the order's connection and wakes after the order's life. By
	// then another leader has given a newer order, which the old one would undo.
	It("has no effect at a target that wakes after its life", func() {
		const life = 500 * time.Millisecond
		eng := startEngine(yuccastand.WithEngineFaults(yuccastand.Faults{Dead: yuccastand.DeathMute}))
		_, err := newClient(yuccatarget.WithProgress(limit)).Order(testContext(), eng.Address(), roleOrder("decode", 1, life))
		Expect(err).To(BeAssignableToTypeOf(&yuccatarget.UnknownOrderError{}))
		Expect(err).To(MatchError(&yuccatarget.ExpiredError{}))
		time.Sleep(life) // The target counts the order's life from its arrival.
		eng.SetFaults(yuccastand.Faults{})
		_, err = newClient().Order(testContext(), eng.Address(), roleOrder("prefill", 2, limit))
		Expect(err).NotTo(HaveOccurred())
		Expect(eng.Orders()).To(HaveLen(1))
	})
})

var _ = Describe("a report", func() {
	It("of load lags behind", func() {
		eng := startEngine(yuccastand.WithRates(1, 1))
		cl := newClient()
		eng.SetFaults(yuccastand.Faults{LoadLagMillis: limit.Milliseconds()})
		Expect(cl.Load(testContext(), eng.Address())).To(HaveField("Waiting", 0))
		go func() { _, _ = cl.Run(testContext(), generation("a", eng.Address(), 5), (&answerText{}).add) }()
		Eventually(eng.Runs).WithTimeout(limit).Should(HaveLen(1))
		Expect(cl.Load(testContext(), eng.Address())).To(HaveField("Queued", BeEquivalentTo(0)))
		eng.SetFaults(yuccastand.Faults{Leaving: true})
		load, err := cl.Load(testContext(), eng.Address())
		Expect(err).NotTo(HaveOccurred())
		Expect(load.Queued).To(BeNumerically(">", 200))
		Expect(load.Leaving).To(BeTrue())
	})

	It("of cache events tells when some are missing", func() {
		eng := startEngine(yuccastand.WithEngineFaults(yuccastand.Faults{CacheGapEvery: 2}))
		cl := newClient()
		for i, id := range []string{"a", "b", "c"} {
			call := generation(id, eng.Address(), 1)
			call.Body = body(yuccatarget.Prompt{PromptTokens: 64, AnswerTokens: 1, Prefixes: []uint64{1<<63 + uint64(i)}})
			_, err := cl.Run(testContext(), call, (&answerText{}).add)
			Expect(err).NotTo(HaveOccurred())
		}
		batch, err := cl.CacheEvents(testContext(), eng.Address(), 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(batch).To(Equal(yuccatarget.CacheEvents{Gap: true, Events: []yuccatarget.CacheEvent{
			{Sequence: 1, Stored: []uint64{1 << 63}}, {Sequence: 3, Stored: []uint64{1<<63 + 2}},
		}}))
		eng.SetFaults(yuccastand.Faults{CacheLagMillis: limit.Milliseconds()})
		Expect(cl.CacheEvents(testContext(), eng.Address(), 0)).To(HaveField("Events", BeEmpty()))
	})

	// A kept connection goes silent for good while new ones work. One report is late; if
	// the connection were kept, all later ones would be too, and the target would look
	// overloaded for as long as the daemon lives.
	It("comes again after a kept connection has gone silent", func() {
		mid := startMiddle(false, func(conn net.Conn, _ string) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n"+`{"waiting":3}`)
		})
		cl := newClient(yuccatarget.WithReportTimeout(2 * time.Second))
		for _, outcome := range []OmegaMatcher{BeNil(), HaveOccurred(), BeNil()} {
			_, err := cl.Load(testContext(), mid.listener.Addr().String())
			Expect(err).To(outcome)
		}
	})
})
