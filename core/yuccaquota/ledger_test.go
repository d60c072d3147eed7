package yuccaquota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaroute"
)

var start = time.Unix(1_700_000_000, 0)

const (
	rate  = 10_000.0
	burst = 20_000.0
	span  = 8 * time.Second
)

var (
	strict   = yuccaquota.Tolerance{Window: span}
	tolerant = yuccaquota.Tolerance{Window: span, Overshoot: 0.25, Allowance: 40_000}
)

// allowed is what a window may hold by the quota, and bound what is tolerated.
const (
	allowed = rate*8 + burst
	bound   = allowed*1.25 + 40_000
)

func accounts(rate, burst float64) []yuccaroute.Account {
	return []yuccaroute.Account{{Name: "rally", Quota: yuccaroute.Quota{Rate: rate, Burst: burst, PerToken: true}}}
}

// salts tell the ledgers of a fleet apart.
var salts uint64

func ledger(now time.Time, tolerance yuccaquota.Tolerance) *yuccaquota.Ledger {
	salts++
	led := yuccaquota.New(tolerance, yuccaquota.WithSalt(salts))
	led.Configure(now, accounts(rate, burst))
	return led
}

// fleet is some daemons that report to one another every so often.
type fleet struct {
	now     time.Time
	ledgers []*yuccaquota.Ledger
	// starts counts how often each daemon has begun.
	starts []byte
	every  time.Duration
	told   time.Time
	// cut says which daemons hear from nobody.
	cut func(i int) bool
	// let is what was let in, by time.
	let []letIn
}

type letIn struct {
	at   time.Time
	cost float64
}

var peer = yuccaid.NewIncarnation("entry-9", [16]byte{1})

const step = 10 * time.Millisecond

func newFleet(size int, every time.Duration, tolerance yuccaquota.Tolerance) *fleet {
	flt := &fleet{now: start, every: every, told: start, cut: func(int) bool { return false }}
	for range size {
		led := ledger(flt.now, tolerance)
		led.SetFleet(flt.now, 1, size, every+50*time.Millisecond)
		flt.ledgers = append(flt.ledgers, led)
	}
	flt.starts = make([]byte, size)
	flt.meetAll()
	return flt
}

// name is the present process of a daemon.
func (flt *fleet) name(at int) yuccaid.Incarnation {
	return yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprintf("entry-%d", at)), [16]byte{flt.starts[at]})
}

// restart puts a new process in the place of a daemon.
func (flt *fleet) restart(at int, led *yuccaquota.Ledger) {
	flt.ledgers[at] = led
	flt.starts[at]++
}

// meet has a daemon and all others learn of each other.
func (flt *fleet) meet(at int) {
	led := flt.ledgers[at]
	for i, other := range flt.ledgers {
		if i != at {
			other.PeerConnected(flt.now, flt.name(at), led.LifetimeUsage(), led.DaemonTotals(flt.now))
			led.PeerConnected(flt.now, flt.name(i), other.LifetimeUsage(), other.DaemonTotals(flt.now))
		}
	}
}

func (flt *fleet) meetAll() {
	for at := range flt.ledgers {
		flt.meet(at)
	}
}

func (flt *fleet) pass() {
	flt.now = flt.now.Add(step)
	if flt.now.Sub(flt.told) < flt.every {
		return
	}
	flt.told = flt.now
	for i, led := range flt.ledgers {
		spent := led.Report()
		for j, other := range flt.ledgers {
			if i != j && !flt.cut(i) && !flt.cut(j) {
				other.ApplyReport(flt.now, flt.name(i), spent)
			}
		}
	}
}

// press sends at each daemon in turn for a while.
func (flt *fleet) press(span time.Duration, cost float64) {
	for turn := range int(span / step) {
		if verdict := flt.ledgers[turn%len(flt.ledgers)].Admit(flt.now, "rally", cost, 0).Verdict; verdict == yuccaquota.Admitted {
			flt.let = append(flt.let, letIn{at: flt.now, cost: cost})
		}
		flt.pass()
	}
}

// most is the most that any window held.
func (flt *fleet) most() float64 {
	most, sum, first := 0.0, 0.0, 0
	for _, each := range flt.let {
		sum += each.cost
		for flt.let[first].at.Add(span).Before(each.at) {
			sum -= flt.let[first].cost
			first++
		}
		most = max(most, sum)
	}
	return most
}

var _ = Describe("a quota over several daemons", func() {
	DescribeTable("refuses nothing within it, however unevenly requests arrive",
		func(pick func(turn int) int) {
			flt := newFleet(7, 200*time.Millisecond, strict)
			for turn := range 3000 {
				// 90 tokens each 10 ms are nine tenths of the rate.
				verdict := flt.ledgers[pick(turn)].Admit(flt.now, "rally", 90, 0).Verdict
				Expect(verdict).To(Equal(yuccaquota.Admitted), "turn %d", turn)
				flt.pass()
			}
		},
		Entry("all at one daemon", func(int) int { return 3 }),
		Entry("evenly", func(turn int) int { return turn % 7 }),
		Entry("at one daemon after the other", func(turn int) int { return turn / 100 % 7 }),
	)

	// An account sends six times what it may, everywhere at once. Each daemon would let it in
	// as if it were alone, and its work would push out everybody else's.
	DescribeTable("lets in little more than it when an account presses",
		func(every time.Duration, over float64) {
			flt := newFleet(7, every, strict)
			flt.press(30*time.Second, 600)
			Expect(flt.most()).To(BeNumerically("<=", allowed*over))
			Expect(flt.most()).To(BeNumerically(">=", allowed*0.9))
		},
		Entry("with reports every 100 ms", 100*time.Millisecond, 1.1),
		Entry("with reports every 400 ms", 400*time.Millisecond, 1.3),
	)

	// Seventy daemons each see the same room that is left to an account and fill it before
	// they hear of one another.
	It("isn't filled many times over by a large fleet", func() {
		flt := newFleet(70, 300*time.Millisecond, tolerant)
		flt.press(30*time.Second, 600)
		Expect(flt.most()).To(BeNumerically("<=", bound))
		Expect(flt.most()).To(BeNumerically(">=", 0.6*bound))
	})

	It("lets a large fleet take a long request while there is room", func() {
		flt := newFleet(70, 300*time.Millisecond, strict)
		flt.press(10*time.Second, 30)
		verdict := flt.ledgers[50].Admit(flt.now, "rally", allowed/8, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	// An account has used three quarters of its window, evenly, and asks for one long and urgent
	// request that is an eighth of it. Nobody else would be hurt, yet each daemon refused it as
	// far beyond a share, and its caller gave up.
	It("lets a long request of a calm account in", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.press(10*time.Second, 120)
		answer := flt.ledgers[3].Admit(flt.now, "rally", 16_000, 0)
		Expect(float64(answer.Used)).To(BeNumerically("~", 0.72*float64(answer.Limit), 0.02*float64(answer.Limit)))
		Expect(answer.Verdict).To(Equal(yuccaquota.Admitted))
	})

	// Operators say how far an account may go beyond its quota before it counts as a breach.
	// Refusing earlier loses requests that nobody wanted refused.
	It("uses most of the tolerance and stays within it", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.press(30*time.Second, 600)
		Expect(flt.most()).To(BeNumerically("<=", 0.97*bound))
		Expect(flt.most()).To(BeNumerically(">=", 0.8*bound))
	})

	// Daemons are restarted in turn while an account presses. Each comes back without memory
	// of what was let in, and an empty window each time would multiply the quota.
	It("isn't renewed by restarts", func() {
		flt := newFleet(4, 100*time.Millisecond, tolerant)
		for turn := range 20 {
			flt.press(time.Second, 600)
			fresh := ledger(flt.now, tolerant)
			fresh.SetFleet(flt.now, 1, 4, 150*time.Millisecond)
			fresh.MarkWithoutHistory(flt.now)
			flt.restart(turn%4, fresh)
			flt.meet(turn % 4)
			fresh.RaiseTotals(flt.now, flt.ledgers[(turn+1)%4].Totals(flt.now), true)
		}
		Expect(flt.most()).To(BeNumerically("<=", bound))
	})

	// Connections break and come back while an account presses, and what was reported on them
	// is lost. Daemons that count only what they hear would believe in less each time.
	It("is kept though reports are lost", func() {
		flt := newFleet(6, 100*time.Millisecond, tolerant)
		rng := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			lost := rng.IntN(6)
			flt.cut = func(i int) bool { return i == lost }
			flt.press(100*time.Millisecond, 600)
		}
		Expect(flt.most()).To(BeNumerically("<=", bound))
	})

	// All daemons are killed in the middle of an account's rush, and nobody remembers.
	DescribeTable("isn't let in for a second time when all daemons forget",
		func(before time.Duration, pressure float64) {
			flt := newFleet(7, 100*time.Millisecond, tolerant)
			flt.press(before, pressure)
			for at := range flt.ledgers {
				flt.restart(at, ledger(flt.now, tolerant))
				flt.ledgers[at].SetFleet(flt.now, 1, 7, 150*time.Millisecond)
				flt.ledgers[at].MarkWithoutHistory(flt.now)
			}
			flt.meetAll()
			flt.press(15*time.Second, pressure)
			Expect(flt.most()).To(BeNumerically("<=", bound))
		},
		Entry("at four times the rate", 4*time.Second, 400.0),
		Entry("at six times the rate", 4*time.Second, 600.0),
		Entry("at six times the rate, later", 9*time.Second, 600.0),
		Entry("at three times the rate", 6*time.Second, 300.0),
	)

	It("lets in what is within the quota when all daemons forget", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		for _, led := range flt.ledgers {
			led.MarkWithoutHistory(flt.now)
		}
		flt.press(10*time.Second, 95)
		Expect(flt.let).To(HaveLen(int(10 * time.Second / step)))
	})

	// A daemon is cut off from all others while its callers still reach it.
	It("is divided when daemons don't hear from one another", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.cut = func(i int) bool { return i >= 4 }
		for i, led := range flt.ledgers {
			if i >= 4 {
				led.SetFleet(flt.now, 1.0/7, 7, 150*time.Millisecond)
			}
		}
		flt.press(30*time.Second, 600)
		Expect(flt.most()).To(BeNumerically("<=", 1.3*bound))
	})

	// All daemons were frozen, and for a moment none hears from another. The account has used
	// half of what it may: with a seventh of that each daemon would refuse it for seconds.
	It("leaves room to an account within it when daemons lose sight of one another", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.press(8*time.Second, 0.6*rate*step.Seconds())
		before := len(flt.let)
		flt.cut = func(int) bool { return true }
		for _, led := range flt.ledgers {
			led.SetFleet(flt.now, 0.15, 7, 150*time.Millisecond)
		}
		flt.press(time.Second, 0.6*rate*step.Seconds())
		Expect(flt.let[before:]).To(HaveLen(int(time.Second / step)))
	})

	// The same, while an account presses with six times its rate.
	It("is kept when daemons lose sight of one another in a rush", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.press(6*time.Second, 6*rate*step.Seconds())
		flt.cut = func(int) bool { return true }
		flt.press(1500*time.Millisecond, 6*rate*step.Seconds())
		for _, led := range flt.ledgers {
			led.SetFleet(flt.now, 1.0/7, 7, 150*time.Millisecond)
		}
		flt.press(12*time.Second, 6*rate*step.Seconds())
		Expect(flt.most()).To(BeNumerically("<=", bound))
	})

	It("follows a lowered quota at once and an unlimited one never refuses", func() {
		led := ledger(start, strict)
		led.Configure(start, accounts(100, 200))
		verdict := led.Admit(start, "rally", 900, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
		answer := led.Admit(start, "rally", 200, 0)
		back, verdict := answer.RetryAfter, answer.Verdict
		Expect(verdict).NotTo(Equal(yuccaquota.Admitted))
		Expect(back).To(BeNumerically("~", span, span/10))
		led.Configure(start, nil)
		verdict = led.Admit(start, "rally", 1e9, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	It("lets in a request larger than a window when that is empty", func() {
		led := ledger(start, strict)
		verdict := led.Admit(start, "rally", 3*allowed, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
		verdict = led.Admit(start, "rally", 1, 0).Verdict
		Expect(verdict).NotTo(Equal(yuccaquota.Admitted))
	})

	// An account has used most of its quota, for letters and notes alike. A gas leak that is
	// reported now must not be told to wait for letters.
	It("keeps the last of it for urgent requests and for short ones", func() {
		led := ledger(start, strict)
		for verdict := yuccaquota.Admitted; verdict == yuccaquota.Admitted; {
			verdict = led.Admit(start, "rally", 1000, 2).Verdict
		}
		letter := led.Admit(start, "rally", 1000, 2).Verdict
		Expect(letter).To(Equal(yuccaquota.WindowFull))
		short := led.Admit(start, "rally", allowed/4000, 2).Verdict
		Expect(short).To(Equal(yuccaquota.Admitted))
		for range 10 {
			note := led.Admit(start, "rally", 1000, 0).Verdict
			Expect(note).To(Equal(yuccaquota.Admitted))
		}
	})

	// An account is let in for more than its quota, since that is tolerated. On full engines
	// these requests must be told from those of accounts that keep to theirs.
	It("says which requests are beyond it", func() {
		led := ledger(start, tolerant)
		for used := 0.0; used < allowed; used += 1000 {
			Expect(led.Admit(start, "rally", 1000, 0).OverQuota).To(BeFalse())
		}
		answer := led.Admit(start, "rally", 1000, 0)
		Expect(answer.Verdict).To(Equal(yuccaquota.Admitted))
		Expect(answer.OverQuota).To(BeTrue())
	})

	It("gives back what didn't run", func() {
		led := ledger(start, strict)
		led.Admit(start, "rally", allowed, 0)
		led.Refund(start, "rally", allowed)
		Expect(led.Report()).To(BeEmpty())
		verdict := led.Admit(start, "rally", allowed, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	// The daemon that speaks for its data centre is killed. What was let in until another one
	// takes over would never be heard of elsewhere.
	It("passes on to other data centres what a predecessor left out", func() {
		led := ledger(start, strict)
		led.PeerConnected(start, peer, nil, nil)
		led.ApplyReport(start, peer, []yuccaquota.Usage{{Account: "rally", Amount: 500}})
		led.MarkRemoteReported([]yuccaquota.Usage{{Account: "rally", Amount: 300}})
		led.Admit(start, "rally", 40, 0)
		Expect(led.RemoteReport()).To(Equal([]yuccaquota.Usage{{Account: yuccaid.Account("rally"), Amount: 240}}))
	})

	// A daemon is restarted. A neighbour tells it what all data centres let in, and then each of
	// them tells its part again; counted twice, accounts within their quota would be refused.
	It("counts once what a neighbour and its own data centre both tell", func() {
		led := ledger(start, strict)
		led.MarkWithoutHistory(start)
		spent := func(amount int64) []yuccaquota.UsageByAge {
			return []yuccaquota.UsageByAge{{Account: "rally", Let: []int64{amount}}}
		}
		led.RaiseTotals(start, spent(9000), true)
		led.ApplyRemoteTotals(start, "gulf", spent(4000))
		led.ApplyRemoteTotals(start, "austin", spent(3000))
		Expect(led.Totals(start)).To(Equal(spent(9000)))
		led.ApplyRemoteTotals(start, "gulf", spent(4500))
		Expect(led.Totals(start)).To(Equal(spent(9000)))
		led.ApplyRemoteTotals(start, "gulf", spent(8000))
		Expect(led.Totals(start)).To(Equal(spent(11000)))
		led.RaiseRemoteTotals(start, "austin", spent(11000), spent(3000))
		Expect(led.Totals(start)).To(Equal(spent(11000)))
	})

	// Daemons restart and lose connections in turn, and each tells the next what it knows. An
	// account that stopped asking would be refused for as long as that goes on, if what was
	// passed on were counted anew each time.
	It("forgets after a window what daemons pass on to one another", func() {
		leds := []*yuccaquota.Ledger{ledger(start, strict), ledger(start, strict), ledger(start, strict)}
		Expect(leds[0].Admit(start, "rally", allowed/2, 0).Verdict).To(Equal(yuccaquota.Admitted))
		now := start
		for turn := range 90 {
			now = now.Add(100 * time.Millisecond)
			from, to := leds[turn%3], leds[(turn+1)%3]
			to.RaiseTotals(now, from.Totals(now), true)
			to.ApplyRemoteTotals(now, "gulf", from.Totals(now))
			if turn == 40 {
				Expect(to.Totals(now)).NotTo(BeEmpty())
			}
		}
		for _, led := range leds {
			Expect(led.Totals(now)).To(BeEmpty())
		}
	})

	It("passes on to other data centres what this one let in, and nothing of theirs", func() {
		led := ledger(start, strict)
		led.Admit(start, "rally", 100, 0)
		led.PeerConnected(start, peer, nil, nil)
		led.ApplyReport(start, peer, []yuccaquota.Usage{{Account: "rally", Amount: 50}})
		led.ApplyRemoteReport(start, "gulf", []yuccaquota.Usage{{Account: "rally", Amount: 7000}})
		Expect(led.RemoteReport()).To(Equal([]yuccaquota.Usage{{Account: yuccaid.Account("rally"), Amount: 150}}))
		Expect(led.RemoteReport()).To(BeEmpty())
	})
})
