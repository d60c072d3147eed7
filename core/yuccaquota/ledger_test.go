package yuccaquota_test

import (
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
)

func accounts(rate, burst float64) []yuccaroute.Account {
	return []yuccaroute.Account{{Name: "rally", Quota: yuccaroute.Quota{Rate: rate, Burst: burst, Tokens: true}}}
}

// fleet is some daemons that report to one another every so often.
type fleet struct {
	now     time.Time
	ledgers []*yuccaquota.Ledger
	every   time.Duration
	told    time.Time
	// cut says which daemons hear from nobody.
	cut func(i int) bool
}

func newFleet(size int, every time.Duration) *fleet {
	flt := &fleet{now: start, every: every, told: start, cut: func(int) bool { return false }}
	for range size {
		flt.ledgers = append(flt.ledgers, ledger(flt.now))
	}
	return flt
}

func ledger(now time.Time) *yuccaquota.Ledger {
	led := yuccaquota.New()
	led.Configure(now, accounts(rate, burst))
	return led
}

func (flt *fleet) pass(span time.Duration) {
	flt.now = flt.now.Add(span)
	if flt.now.Sub(flt.told) < flt.every {
		return
	}
	flt.told = flt.now
	for i, led := range flt.ledgers {
		spent := led.Report()
		for j, other := range flt.ledgers {
			if i != j && !flt.cut(i) && !flt.cut(j) {
				other.Heard(flt.now, spent)
			}
		}
	}
}

// press sends as much as is let in, at the daemons that pick chooses in turn, for a while,
// and returns how much that was.
func (flt *fleet) press(span time.Duration, cost float64, pick func(step int) int) float64 {
	let := 0.0
	for step := range int(span / (10 * time.Millisecond)) {
		if _, taken := flt.ledgers[pick(step)].Take(flt.now, "rally", cost); taken {
			let += cost
		}
		flt.pass(10 * time.Millisecond)
	}
	return let
}

var _ = Describe("a quota over several daemons", func() {
	DescribeTable("refuses nothing within it, however unevenly requests arrive",
		func(pick func(step int) int) {
			flt := newFleet(7, 200*time.Millisecond)
			for step := range 3000 {
				// 90 tokens each 10 ms are nine tenths of the rate.
				_, taken := flt.ledgers[pick(step)].Take(flt.now, "rally", 90)
				Expect(taken).To(BeTrue(), "step %d", step)
				flt.pass(10 * time.Millisecond)
			}
		},
		Entry("all at one daemon", func(int) int { return 3 }),
		Entry("evenly", func(step int) int { return step % 7 }),
		Entry("at one daemon after the other", func(step int) int { return step / 100 % 7 }),
	)

	// An account sends six times what it may, everywhere at once. Each daemon would let it in
	// as if it were alone, and its work would push out everybody else's.
	DescribeTable("lets in little more than it when an account presses",
		func(every time.Duration, over float64) {
			flt := newFleet(7, every)
			span := 30 * time.Second
			let := flt.press(span, 600, func(step int) int { return step % 7 })
			Expect(let).To(BeNumerically("<=", (rate*span.Seconds()+burst)*over))
			Expect(let).To(BeNumerically(">=", rate*span.Seconds()*0.95))
		},
		Entry("with reports every 100 ms", 100*time.Millisecond, 1.15),
		Entry("with reports every 400 ms", 400*time.Millisecond, 1.25),
	)

	// Daemons are restarted in turn while an account presses. Each comes back without memory
	// of what was let in, and a full bucket each time would multiply the quota.
	It("isn't renewed by restarts", func() {
		flt := newFleet(4, 100*time.Millisecond)
		let := 0.0
		for turn := range 20 {
			let += flt.press(time.Second, 600, func(step int) int { return step % 4 })
			fresh := ledger(flt.now)
			fresh.Lower(flt.now, flt.ledgers[(turn+1)%4].Levels(flt.now))
			flt.ledgers[turn%4] = fresh
		}
		Expect(let).To(BeNumerically("<=", (rate*20+burst)*1.2))
	})

	// A daemon is cut off from all others while its callers still reach it.
	It("is divided when daemons don't hear from one another", func() {
		flt := newFleet(7, 100*time.Millisecond)
		flt.cut = func(i int) bool { return i >= 4 }
		for i, led := range flt.ledgers {
			if i >= 4 {
				led.SetPart(flt.now, 1.0/7)
			}
		}
		let := flt.press(30*time.Second, 600, func(step int) int { return step % 7 })
		Expect(let).To(BeNumerically("<=", (rate*30+burst)*1.55))
	})

	It("follows a lowered quota at once and an unlimited one never refuses", func() {
		led := ledger(start)
		led.Configure(start, accounts(100, 200))
		_, taken := led.Take(start, "rally", 200)
		Expect(taken).To(BeTrue())
		back, taken := led.Take(start, "rally", 200)
		Expect(taken).To(BeFalse())
		Expect(back).To(Equal(2 * time.Second))
		led.Configure(start, nil)
		_, taken = led.Take(start, "rally", 1e9)
		Expect(taken).To(BeTrue())
	})

	It("lets in a request larger than the burst when the bucket is full", func() {
		led := ledger(start)
		_, taken := led.Take(start, "rally", 3*burst)
		Expect(taken).To(BeTrue())
		_, taken = led.Take(start, "rally", 1)
		Expect(taken).To(BeFalse())
	})

	It("gives back what didn't run", func() {
		led := ledger(start)
		led.Take(start, "rally", burst)
		led.Return(start, "rally", burst)
		Expect(led.Report()).To(BeEmpty())
		_, taken := led.Take(start, "rally", burst)
		Expect(taken).To(BeTrue())
	})

	It("passes on to other data centres what this one let in, and nothing of theirs", func() {
		led := ledger(start)
		led.Take(start, "rally", 100)
		led.Heard(start, []yuccaquota.Spent{{Account: "rally", Amount: 50}})
		led.HeardAway(start, []yuccaquota.Spent{{Account: "rally", Amount: 7000}})
		Expect(led.ReportAway()).To(Equal([]yuccaquota.Spent{{Account: yuccaid.Account("rally"), Amount: 150}}))
		Expect(led.ReportAway()).To(BeEmpty())
	})
})
