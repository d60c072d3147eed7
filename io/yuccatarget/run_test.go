package yuccatarget_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

var _ = Describe("a call", func() {
	It("brings the whole answer of an engine", func() {
		eng := startEngine()
		var ans answerText
		end, err := newClient().Run(testContext(), generation("a", eng.Address(), 20), ans.add)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.text).To(Equal(yuccastand.Answer("a", 20)))
		Expect(end.Pieces).To(Equal(20))
		Expect(end.Hash).To(Equal(yuccastand.AnswerHash("a", 20)))
		Expect(end.Prompt).To(BeEquivalentTo(300))
		Expect(eng.Runs()).To(HaveLen(1))
		Expect(eng.Runs()[0].Fence).To(BeEquivalentTo(7))
	})

	// Dialling takes seconds on a bad day. Meanwhile the deadline passes or the target is
	// withdrawn, and a call that is sent all the same works for nobody.
	It("is not sent if it is no longer wanted once the connection stands", func() {
		eng := startEngine(yuccastand.WithEngineFaults(yuccastand.Faults{CutAfterPieces: 2}))
		asked := 0
		call := generation("a", eng.Address(), 5)
		call.Ready = func() error {
			asked++
			return context.DeadlineExceeded
		}
		_, err := newClient().Run(testContext(), call, (&answerText{}).add)
		Expect(err).To(beUnsent())
		Expect(err).To(MatchError(context.DeadlineExceeded))
		Expect(eng.Runs()).To(BeEmpty())
		call.Ready = func() error {
			asked++
			return nil
		}
		_, err = newClient().Run(testContext(), call, (&answerText{}).add)
		Expect(err).NotTo(HaveOccurred())
		Expect(asked).To(Equal(2))
		call.Address = "127.0.0.1:1"
		_, err = newClient().Run(testContext(), call, (&answerText{}).add)
		Expect(err).To(beUnsent())
		Expect(asked).To(Equal(2))
	})

	// A caller on a slow link takes a piece only after longer than a target may be silent.
	// If that counted against the target, every such caller would lose its answer.
	It("waits for a slow caller", func() {
		eng := startEngine(yuccastand.WithRates(200_000, 100))
		var ans answerText
		_, err := newHastyClient().Run(testContext(), generation("a", eng.Address(), 10), func(piece yuccatarget.Piece) error {
			if piece.Position == 1 {
				time.Sleep(time.Second)
			}
			return ans.add(piece)
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.text).To(Equal(yuccastand.Answer("a", 10)))
	})

	It("brings the whole answer of a plain service", func() {
		plain := startPlain()
		var ans answerText
		_, err := newClient().Run(testContext(), ticket("t", plain.Address()), ans.add)
		Expect(err).NotTo(HaveOccurred())
		Expect(ans.text).To(Equal(yuccastand.Answer("t", 1)))
		Expect(plain.Runs()).To(HaveLen(1))
		Expect(plain.Runs()[0].Operation).To(Equal("file-ticket"))
	})
})
