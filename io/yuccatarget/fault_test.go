package yuccatarget_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gleak"
	"pgregory.net/rapid"

	"yuccacleat/io/yuccastand"
	"yuccacleat/io/yuccatarget"
)

// target is what the checks need of either stand-in.
type target interface {
	Address() string
	Runs() []yuccastand.Run
	SetFaults(yuccastand.Faults)
	Close() error
}

func newTarget(plain bool, faults yuccastand.Faults) (target, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if plain {
		return yuccastand.NewPlain(listener, yuccastand.WithWork(time.Millisecond), yuccastand.WithPlainFaults(faults)), nil
	}
	rates := yuccastand.WithRates(200_000, 5_000)
	return yuccastand.NewEngine(listener, rates, yuccastand.WithEngineFaults(faults)), nil
}

const pieces = 8

func callFor(plain bool, id, address string) (call yuccatarget.Call, whole string) {
	if plain {
		return ticket(id, address), yuccastand.Answer(id, 1)
	}
	return generation(id, address, pieces), yuccastand.Answer(id, pieces)
}

// provesNotRun reports whether an error tells the caller that nothing ran.
func provesNotRun(err error) bool {
	return isA[*yuccatarget.UnsentError](err) || isA[*yuccatarget.RefusedError](err) || isA[*yuccatarget.LeavingError](err)
}

func isA[T error](err error) bool {
	var kind T
	return errors.As(err, &kind)
}

// honest compares what the client returned with what the run log says. It holds for
// every fault and at any speed.
func honest(runs []yuccastand.Run, text, whole string, err error) error {
	known := provesNotRun(err) || isA[*yuccatarget.LostError](err) || isA[*yuccatarget.BrokenError](err)
	switch {
	case len(runs) > 1:
		return fmt.Errorf("ran %d times", len(runs))
	case err == nil && (text != whole || len(runs) != 1):
		return fmt.Errorf("%q passed for the whole answer %q of %d runs", text, whole, len(runs))
	case err != nil && !known:
		return fmt.Errorf("untyped error %w", err)
	case provesNotRun(err) && len(runs) > 0:
		return fmt.Errorf("it ran, and the client says: %w", err)
	}
	return nil
}

// neverCame marks the rows in which the client has to give up.
var neverCame = beLost()

func beLost() OmegaMatcher    { return BeAssignableToTypeOf(&yuccatarget.LostError{}) }
func beUnsent() OmegaMatcher  { return BeAssignableToTypeOf(&yuccatarget.UnsentError{}) }
func beLeaving() OmegaMatcher { return BeAssignableToTypeOf(&yuccatarget.LeavingError{}) }
func beRefused() OmegaMatcher {
	return MatchError(&yuccatarget.RefusedError{Target: "engine-1", Back: 40 * time.Millisecond})
}

func beBroken(flaw yuccatarget.Flaw) OmegaMatcher {
	return WithTransform(func(err error) yuccatarget.Flaw {
		var broken *yuccatarget.BrokenError
		errors.As(err, &broken)
		return broken.Flaw
	}, Equal(flaw))
}

// counted lowers the count when its connection is closed for the first time.
type counted struct {
	net.Conn
	once *sync.Once
	open *atomic.Int64
}

func (conn counted) Close() error {
	conn.once.Do(func() { conn.open.Add(-1) })
	return conn.Conn.Close()
}

// countConns counts the connections that are open.
func countConns(open *atomic.Int64) yuccatarget.Option {
	return yuccatarget.WithDial(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return counted{Conn: conn, once: &sync.Once{}, open: open}, nil
	})
}

// Targets and the connections to them fail in each of these ways. A user who is told
// "not run" opens the request anew, so saying it of something that ran files a ticket
// twice; a user who is handed a shortened or foreign answer acts on it.
var _ = DescribeTable("a fault of the target",
	func(plain bool, faults yuccastand.Faults, ran int, outcome OmegaMatcher) {
		before := gleak.Goroutines()
		tgt, err := newTarget(plain, faults)
		Expect(err).NotTo(HaveOccurred())
		var open atomic.Int64
		cl := newClient(countConns(&open))
		if neverCame == outcome {
			cl = newHastyClient(countConns(&open))
		}
		call, whole := callFor(plain, "a", tgt.Address())
		var ans answerText
		_, err = cl.Run(testContext(), call, ans.add)
		Expect(err).To(outcome)
		Expect(honest(tgt.Runs(), ans.text, whole, err)).To(Succeed())
		Eventually(tgt.Runs).WithTimeout(limit).Should(HaveLen(ran))
		if !faults.WrongText {
			Expect(whole).To(HavePrefix(ans.text))
		}
		Expect(tgt.Close()).To(Succeed())
		cl.Close()
		Expect(open.Load()).To(BeZero())
		Eventually(gleak.Goroutines).WithTimeout(limit).ShouldNot(gleak.HaveLeaked(before))
	},
	Entry("engine: none", false, yuccastand.Faults{}, 1, BeNil()),
	Entry("engine: slow", false, yuccastand.Faults{SlowFactor: 20}, 1, BeNil()),
	Entry("engine: silent on the first connection", false, yuccastand.Faults{SilentAfterPieces: 3, SilentOnce: true}, 1, BeNil()),
	Entry("engine: silent at the end of the first connection", false, yuccastand.Faults{SilentAfterPieces: pieces, SilentOnce: true}, 1, BeNil()),
	Entry("engine: silent on every connection", false, yuccastand.Faults{SilentAfterPieces: 3}, 1, neverCame),
	Entry("engine: connection cut", false, yuccastand.Faults{CutAfterPieces: 3}, 1, BeNil()),
	Entry("engine: resumed too early", false, yuccastand.Faults{CutAfterPieces: 3, ResumeShift: -1}, 1, beBroken(yuccatarget.FlawOverlap)),
	Entry("engine: resumed too late", false, yuccastand.Faults{CutAfterPieces: 3, ResumeShift: 1}, 1, beBroken(yuccatarget.FlawGap)),
	Entry("engine: answer without an end", false, yuccastand.Faults{Unfinished: true}, 1, neverCame),
	Entry("engine: no length and no chunks", false, yuccastand.Faults{Unframed: true}, 1, BeNil()),
	Entry("engine: no length, connection closed", false, yuccastand.Faults{Unframed: true, CutAfterPieces: 3}, 1, BeNil()),
	Entry("engine: no length, answer without an end", false, yuccastand.Faults{Unframed: true, Unfinished: true}, 1, neverCame),
	Entry("engine: port closed", false, yuccastand.Faults{Dead: yuccastand.DeathRefuse}, 0, beUnsent()),
	Entry("engine: mute", false, yuccastand.Faults{Dead: yuccastand.DeathMute}, 0, neverCame),
	Entry("engine: call swallowed on its way", false, yuccastand.Faults{Swallow: true}, 0, neverCame),
	Entry("engine: leaving", false, yuccastand.Faults{Leaving: true}, 0, beLeaving()),
	Entry("engine: refuses", false, yuccastand.Faults{Refuse: true, BackMillis: 40}, 0, beRefused()),
	Entry("engine: 503 from something between", false, yuccastand.Faults{Status: 503}, 1, BeNil()),
	Entry("engine: pieces twice", false, yuccastand.Faults{DuplicatePieces: true}, 1, beBroken(yuccatarget.FlawOverlap)),
	Entry("engine: piece missing", false, yuccastand.Faults{SkipPiece: true}, 1, beBroken(yuccatarget.FlawGap)),
	Entry("engine: last piece missing", false, yuccastand.Faults{Truncate: true}, 1, beBroken(yuccatarget.FlawCount)),
	Entry("engine: foreign pieces", false, yuccastand.Faults{Foreign: true}, 1, beBroken(yuccatarget.FlawForeign)),
	Entry("engine: wrong hash", false, yuccastand.Faults{WrongHash: true}, 1, beBroken(yuccatarget.FlawHash)),
	Entry("engine: wrong text", false, yuccastand.Faults{WrongText: true}, 1, beBroken(yuccatarget.FlawHash)),
	Entry("engine: no JSON", false, yuccastand.Faults{Garble: true}, 1, beBroken(yuccatarget.FlawGarbled)),
	Entry("plain: none", true, yuccastand.Faults{}, 1, BeNil()),
	Entry("plain: silent after the work", true, yuccastand.Faults{SilentAfterPieces: 1}, 1, neverCame),
	Entry("plain: connection cut after the work", true, yuccastand.Faults{CutAfterPieces: 1}, 1, neverCame),
	Entry("plain: answer without an end", true, yuccastand.Faults{Unfinished: true}, 1, neverCame),
	Entry("plain: no length and no chunks", true, yuccastand.Faults{Unframed: true}, 1, BeNil()),
	Entry("plain: no length, connection closed after the work", true, yuccastand.Faults{Unframed: true, CutAfterPieces: 1}, 1, neverCame),
	Entry("plain: no length, answer without an end", true, yuccastand.Faults{Unframed: true, Unfinished: true}, 1, neverCame),
	Entry("plain: port closed", true, yuccastand.Faults{Dead: yuccastand.DeathRefuse}, 0, beUnsent()),
	Entry("plain: mute", true, yuccastand.Faults{Dead: yuccastand.DeathMute}, 0, neverCame),
	Entry("plain: call swallowed on its way", true, yuccastand.Faults{Swallow: true}, 0, neverCame),
	Entry("plain: leaving", true, yuccastand.Faults{Leaving: true}, 0, beLeaving()),
	Entry("plain: 503 from something between", true, yuccastand.Faults{Status: 503}, 1, neverCame),
	Entry("plain: 500 after the work", true, yuccastand.Faults{Status: 500}, 1, neverCame),
	Entry("plain: answer missing", true, yuccastand.Faults{Truncate: true}, 1, beBroken(yuccatarget.FlawCount)),
	Entry("plain: wrong hash", true, yuccastand.Faults{WrongHash: true}, 1, beBroken(yuccatarget.FlawHash)),
)

// Faults come together, change while a request runs, and callers give up at any moment.
// Whatever the mix, a user never sees a double run, a wrong answer that passes for a
// whole one, or "not run" for something that ran, even later.
func TestFaultsTogether(t *testing.T) {
	cl := yuccatarget.New(
		yuccatarget.WithProgress(20*time.Millisecond), yuccatarget.WithSilence(100*time.Millisecond), yuccatarget.WithAttempts(2))
	defer cl.Close()
	rapid.Check(t, func(rt *rapid.T) {
		plain := rapid.Bool().Draw(rt, "plain")
		first, second := drawFaults(rt, "first"), drawFaults(rt, "second")
		tgt, err := newTarget(plain, first)
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = tgt.Close() }()
		change := time.AfterFunc(time.Duration(rapid.IntRange(0, 10).Draw(rt, "changeMillis"))*time.Millisecond, func() { tgt.SetFaults(second) })
		defer change.Stop()
		patience := time.Duration(rapid.IntRange(0, 200).Draw(rt, "patienceMillis")) * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		call, whole := callFor(plain, "a", tgt.Address())
		var ans answerText
		_, err = cl.Run(ctx, call, ans.add)
		if wrong := honest(tgt.Runs(), ans.text, whole, err); wrong != nil {
			rt.Fatal(wrong)
		}
		if !strings.HasPrefix(whole, ans.text) && !first.WrongText && !second.WrongText {
			rt.Fatalf("pieces %q are not of %q", ans.text, whole)
		}
		tgt.SetFaults(yuccastand.Faults{})
		time.Sleep(2 * time.Millisecond)
		if wrong := honest(tgt.Runs(), ans.text, whole, err); wrong != nil {
			rt.Fatalf("later: %v", wrong)
		}
	})
}

func drawFaults(rt *rapid.T, name string) yuccastand.Faults {
	sometimes := func(what string) bool { return rapid.IntRange(0, 7).Draw(rt, name+what) == 0 }
	return yuccastand.Faults{
		SlowFactor:        rapid.SampledFrom([]float64{0, 1, 10}).Draw(rt, name+"Slow"),
		SilentAfterPieces: rapid.SampledFrom([]int{0, 0, 0, 1, 4, pieces}).Draw(rt, name+"Silent"),
		SilentOnce:        rapid.Bool().Draw(rt, name+"Once"),
		CutAfterPieces:    rapid.SampledFrom([]int{0, 0, 0, 1, 5}).Draw(rt, name+"Cut"),
		Dead:              rapid.SampledFrom([]yuccastand.Death{"", "", "", yuccastand.DeathMute, yuccastand.DeathRefuse}).Draw(rt, name+"Dead"),
		ResumeShift:       rapid.SampledFrom([]int{0, 0, 0, -1, 1}).Draw(rt, name+"Shift"),
		Status:            rapid.SampledFrom([]int{0, 0, 0, 0, 503}).Draw(rt, name+"Status"),
		Swallow:           sometimes("Swallow"),
		Leaving:           sometimes("Leaving"),
		Refuse:            sometimes("Refuse"),
		Unfinished:        sometimes("Unfinished"),
		Unframed:          sometimes("Unframed"),
		DuplicatePieces:   sometimes("Duplicate"),
		SkipPiece:         sometimes("Skip"),
		Truncate:          sometimes("Truncate"),
		Foreign:           sometimes("Foreign"),
		WrongHash:         sometimes("Hash"),
		WrongText:         sometimes("Text"),
		Garble:            sometimes("Garble"),
	}
}
