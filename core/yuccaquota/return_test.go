package yuccaquota_test

import (
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaquota"
)

// returningCaller is a refused caller that waits for its second attempt, which is its last.
type returningCaller struct {
	at   time.Time
	cost float64
	rank int
}

// fate counts what has become of the callers of one rank.
type fate struct{ callers, served, refusedAgain int }

// servedShare returns the share of the callers that were served.
func (ft fate) servedShare() float64 { return float64(ft.served) / float64(ft.callers) }

func (ft *fate) add(other fate) {
	ft.callers += other.callers
	ft.served += other.served
	ft.refusedAgain += other.refusedAgain
}

// returningLoad generates the requests of an account to a fleet of several data centres. Refused callers come
// back once, when they are told to or after a third of their patience.
type returningLoad struct {
	cf       *centreFleet
	rng      *rand.Rand
	gen      *loadGenerator
	patience time.Duration
	// fixedReturn is the time after which all refused callers come back instead of the time that they are told,
	// unless it is zero.
	fixedReturn time.Duration
	returning   []returningCaller
	fates       [2]fate
}

func newReturningLoad(seed uint64, rate float64, tolerance yuccaquota.Tolerance, fixedReturn time.Duration) *returningLoad {
	return &returningLoad{
		cf: newCentreFleet(6, 118, rate, 2*rate, tolerance), rng: rand.New(rand.NewPCG(seed, 1)),
		gen: &loadGenerator{rng: rand.New(rand.NewPCG(seed, 2)), mean: 3000}, patience: 10 * time.Second, fixedReturn: fixedReturn,
	}
}

// run sends requests for a duration, half of them of each rank, and the second attempts that become due.
func (ld *returningLoad) run(duration time.Duration, demandRate float64) {
	for end := ld.cf.now.Add(duration); ld.cf.now.Before(end); ld.cf.tick() {
		due := func(call returningCaller) bool { return !call.at.After(ld.cf.now) }
		for _, call := range ld.returning {
			if due(call) && ld.admit(call.cost, call.rank).Verdict != yuccaquota.Admitted {
				ld.fates[call.rank].refusedAgain++
			}
		}
		ld.returning = slices.DeleteFunc(ld.returning, due)
		ld.gen.due += ld.gen.rng.ExpFloat64() * demandRate * step.Seconds()
		for ld.gen.due > 0 {
			ld.call()
		}
	}
}

// call has a new caller send its request.
func (ld *returningLoad) call() {
	cost, rank := ld.gen.size(), ld.gen.rng.IntN(len(ld.fates))
	ld.gen.due -= cost
	ld.fates[rank].callers++
	answer := ld.admit(cost, rank)
	if answer.Verdict == yuccaquota.Admitted {
		return
	}
	wait := answer.RetryAfter
	if ld.fixedReturn > 0 {
		wait = ld.fixedReturn
	}
	ld.returning = append(ld.returning, returningCaller{at: ld.cf.now.Add(min(wait, ld.patience/3)), cost: cost, rank: rank})
}

func (ld *returningLoad) admit(cost float64, rank int) yuccaquota.Answer {
	answer := ld.cf.admit(ld.rng, cost, rank)
	if answer.Verdict == yuccaquota.Admitted {
		ld.fates[rank].served++
		ld.cf.admitted = append(ld.cf.admitted, admission{at: ld.cf.now, cost: cost})
	}
	return answer
}

// all returns what has become of the callers of all ranks.
func (ld *returningLoad) all() fate {
	var sum fate
	for _, each := range ld.fates {
		sum.add(each)
	}
	return sum
}

var _ = Describe("callers refused by a quota", func() {
	const rate = 100_000.0
	tolerance := yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: 190_000}

	// burst is what an account demands, in multiples of its rate: usual, but for a burst of the given duration.
	type burst struct {
		duration     time.Duration
		usual, burst float64
	}
	play := func(seed uint64, brst burst, fixedReturn time.Duration) *returningLoad {
		ld := newReturningLoad(seed, rate, tolerance, fixedReturn)
		ld.run(windowSpan, brst.usual*rate)
		ld.run(brst.duration, brst.burst*rate)
		ld.run(2*windowSpan, brst.usual*rate)
		return ld
	}

	// Guards against the failure that the callers of an account which has used its quota all come back while its
	// window is still full, and are refused again.
	DescribeTable("come back when the account's window has room",
		func(brst burst) {
			var planned, fixed fate
			for seed := range uint64(8) {
				ld := play(seed, brst, 0)
				planned.add(ld.all())
				fixed.add(play(seed, brst, centreReportDelay).all())
				Expect(ld.cf.maxUsage()).To(BeNumerically("<=", (rate*8+2*rate)*1.25+190_000), "seed %d", seed)
			}
			Expect(planned.callers).To(Equal(fixed.callers))
			Expect(float64(planned.refusedAgain)).To(BeNumerically("<", 0.9*float64(fixed.refusedAgain)))
			Expect(planned.servedShare()).To(BeNumerically(">", fixed.servedShare()+0.02))
		},
		Entry("after three seconds of six times its rate", burst{duration: 3 * time.Second, usual: 0.5, burst: 6}),
		Entry("after a second of twelve times its rate", burst{duration: time.Second, usual: 0.4, burst: 12}),
	)

	// Guards against the failure that refused callers who aren't urgent delay the return of urgent ones, or are
	// never served because of them.
	It("are served the more urgent ones first, and the others as well", func() {
		var urgent, other fate
		for seed := range uint64(8) {
			ld := play(seed, burst{duration: 6 * time.Second, usual: 0.5, burst: 4}, 0)
			urgent.add(ld.fates[0])
			other.add(ld.fates[1])
		}
		Expect(urgent.servedShare()).To(BeNumerically(">", other.servedShare()))
		Expect(other.servedShare()).To(BeNumerically(">", urgent.servedShare()/2))
	})

	// Guards against the failure that a caller is told to come back while what the account has used in one moment
	// is still in its window.
	It("are told the time at which enough usage leaves the window", func() {
		led := ledger(start, noTolerance)
		Expect(led.Admit(start, "rally", quotaLimit, 0).Verdict).To(Equal(yuccaquota.Admitted))
		answer := led.Admit(start.Add(3*time.Second), "rally", 100, 0)
		Expect(answer.Verdict).To(Equal(yuccaquota.WindowFull))
		Expect(answer.RetryAfter).To(BeNumerically("~", 5*time.Second, 500*time.Millisecond))
		Expect(led.Admit(start.Add(3*time.Second).Add(answer.RetryAfter), "rally", 100, 0).Verdict).To(Equal(yuccaquota.Admitted))
	})
})
