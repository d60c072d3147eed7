package yuccaquota_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
)

var _ = Describe("a quota over several daemons", func() {
	DescribeTable("refuses no request within it, however unevenly requests arrive",
		func(pick func(turn int) int) {
			flt := newFleet(7, 200*time.Millisecond, noTolerance)
			for turn := range 3000 {
				// 90 tokens every 10 ms are 90 % of the rate.
				verdict := flt.ledgers[pick(turn)].Admit(flt.now, "rally", 90, 0).Verdict
				Expect(verdict).To(Equal(yuccaquota.Admitted), "turn %d", turn)
				flt.tick()
			}
		},
		Entry("all to one daemon", func(int) int { return 3 }),
		Entry("evenly", func(turn int) int { return turn % 7 }),
		Entry("to one daemon after the other", func(turn int) int { return turn / 100 % 7 }),
	)

	// An account sends six times its rate, spread over all daemons. If each daemon counted only the
	// requests that it received itself, all requests of the account would be admitted and would
	// displace the requests of other accounts.
	DescribeTable("admits little more than it when an account exceeds it",
		func(reportInterval time.Duration, factor float64) {
			flt := newFleet(7, reportInterval, noTolerance)
			flt.send(30*time.Second, 600)
			Expect(flt.maxUsage()).To(BeNumerically("<=", quotaLimit*factor))
			Expect(flt.maxUsage()).To(BeNumerically(">=", quotaLimit*0.9))
		},
		Entry("with reports every 100 ms", 100*time.Millisecond, 1.1),
		Entry("with reports every 400 ms", 400*time.Millisecond, 1.3),
	)

	// Seventy daemons each see the same remaining quota of an account and use it up before they
	// receive one another's reports.
	It("isn't exceeded many times by a large fleet", func() {
		flt := newFleet(70, 300*time.Millisecond, tolerant)
		flt.send(30*time.Second, 600)
		Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
		Expect(flt.maxUsage()).To(BeNumerically(">=", 0.6*toleratedLimit))
	})

	It("allows a large fleet to admit a long request while enough of it remains", func() {
		flt := newFleet(70, 300*time.Millisecond, noTolerance)
		flt.send(10*time.Second, 30)
		verdict := flt.ledgers[50].Admit(flt.now, "rally", quotaLimit/8, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	// An account has used three quarters of its window at an even rate and sends one long, urgent
	// request that costs an eighth of the window. If a daemon admitted only what fits into its
	// share, each daemon would refuse the request, because its cost far exceeds a share, although
	// the remaining quota suffices.
	It("admits a long request of an account with moderate use", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.send(10*time.Second, 116)
		answer := flt.ledgers[3].Admit(flt.now, "rally", 16_000, 0)
		Expect(float64(answer.Used)).To(BeNumerically("~", 0.72*float64(answer.Limit), 0.02*float64(answer.Limit)))
		Expect(answer.Verdict).To(Equal(yuccaquota.Admitted))
	})

	// Operators set how far an account may exceed its quota before that counts as a breach. Daemons use half
	// of that, and in a calm fleet leave half of the other half.
	It("uses half of the tolerance", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.send(30*time.Second, 600)
		Expect(flt.maxUsage()).To(BeNumerically("<=", quotaLimit+0.75*(toleratedLimit-quotaLimit)))
		Expect(flt.maxUsage()).To(BeNumerically(">=", quotaLimit+0.45*(toleratedLimit-quotaLimit)))
	})

	// Guards against the failure that a daemon is cut off, another one is killed whose reports it alone has got,
	// and then the first is killed too: nobody knows what they admitted, and the others admit it again.
	DescribeTable("is enforced although daemons are killed that alone knew what was admitted",
		func(rate, demandFactor float64) {
			tolerance := yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: 190_000}
			calm := yuccaquota.Fleet{Share: 1, Daemons: 5, ReportDelay: 150 * time.Millisecond}
			cost := demandFactor * rate * step.Seconds()
			flt := newFleet(5, 100*time.Millisecond, tolerance)
			for _, led := range flt.ledgers {
				led.Configure(flt.now, accounts(rate, 2*rate))
			}
			flt.send(3*time.Second, cost)
			isCutOff := func(i int) bool { return i < 2 }
			flt.disconnected = isCutOff
			flt.send(1500*time.Millisecond, cost)
			for index, led := range flt.ledgers {
				part := calm
				part.Share = (3 + 0.4*2) / 5
				if isCutOff(index) {
					part.Share = 1.0 / 5
				}
				led.SetFleet(flt.now, part)
			}
			flt.send(500*time.Millisecond, cost)
			for index := range 2 {
				fresh := ledger(flt.now, tolerance)
				fresh.Configure(flt.now, accounts(rate, 2*rate))
				fresh.MarkWithoutHistory(flt.now)
				flt.restart(index, fresh)
				fresh.RaiseTotals(flt.now, flt.ledgers[3].Totals(flt.now), true)
			}
			flt.disconnected = func(int) bool { return false }
			for index, led := range flt.ledgers {
				led.SetFleet(flt.now, calm)
				flt.connect(index)
			}
			flt.send(windowSpan, cost)
			Expect(flt.maxUsage()).To(BeNumerically("<=", (rate*8+2*rate)*1.25+190_000))
		},
		Entry("of a small account, at twelve times its rate", 2000.0, 12.0),
		Entry("of a larger account, at five times its rate", 12_000.0, 5.0),
	)

	// Daemons are restarted in turn while an account exceeds its rate. Each daemon restarts without
	// usage history. If the account's window started empty each time, the account would get a
	// multiple of its quota.
	It("isn't renewed by restarts", func() {
		flt := newFleet(4, 100*time.Millisecond, tolerant)
		for turn := range 20 {
			flt.send(time.Second, 600)
			fresh := ledger(flt.now, tolerant)
			fresh.SetFleet(flt.now, yuccaquota.Fleet{Share: 1, Daemons: 4, ReportDelay: 150 * time.Millisecond})
			fresh.MarkWithoutHistory(flt.now)
			flt.restart(turn%4, fresh)
			flt.connect(turn % 4)
			fresh.RaiseTotals(flt.now, flt.ledgers[(turn+1)%4].Totals(flt.now), true)
		}
		Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
	})

	// Connections break and are established again while an account exceeds its rate, and the
	// reports sent on the broken connections are lost. A daemon that counted only the reports it
	// received would count too little.
	It("is enforced although reports are lost", func() {
		flt := newFleet(6, 100*time.Millisecond, tolerant)
		rng := rand.New(rand.NewPCG(1, 1))
		for range 300 {
			disconnectedDaemon := rng.IntN(6)
			flt.disconnected = func(i int) bool { return i == disconnectedDaemon }
			flt.send(100*time.Millisecond, 600)
		}
		Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
	})

	// All daemons are killed while an account exceeds its rate, and none has usage history
	// afterwards. If the account's window started empty, the account would use its quota twice
	// within one window.
	DescribeTable("isn't granted a second time when all daemons restart without usage history",
		func(overload time.Duration, cost float64) {
			flt := newFleet(7, 100*time.Millisecond, tolerant)
			flt.send(overload, cost)
			flt.restartAll(tolerant)
			flt.send(15*time.Second, cost)
			Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
		},
		Entry("at four times the rate", 4*time.Second, 400.0),
		Entry("at six times the rate", 4*time.Second, 600.0),
		Entry("at six times the rate, later", 9*time.Second, 600.0),
		Entry("at three times the rate", 6*time.Second, 300.0),
	)

	// Guards against the failure that an account uses its quota twice within one window, because its demand
	// fell while all daemons were away: callers have left or wait, so the demand after the restart says
	// little about the usage before it.
	DescribeTable("isn't granted a second time when the demand falls with the restart of all daemons",
		func(overload time.Duration, before, after float64) {
			generous := yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: 10 * quotaLimit}
			flt := newFleet(7, 100*time.Millisecond, generous)
			flt.send(overload, before)
			flt.restartAll(generous)
			flt.send(15*time.Second, after)
			Expect(flt.maxUsage()).To(BeNumerically("<=", quotaLimit*1.25+generous.Allowance))
		},
		Entry("to nine tenths", 6*time.Second, 1800.0, 1600.0),
		Entry("to two thirds", 6*time.Second, 1800.0, 1200.0),
		Entry("to two fifths", 6*time.Second, 1800.0, 750.0),
		Entry("to two fifths, after a short overload", 2600*time.Millisecond, 4000.0, 1600.0),
		Entry("to a fifth", 6*time.Second, 1800.0, 360.0),
	)

	// Guards against the failure that streams which ran when all daemons were killed are lost, because new requests of their account
	// have used what it gets until its usage is known again.
	It("admits streams that are taken up when all daemons restart without usage history", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.send(4*time.Second, 400)
		flt.restartAll(tolerant)
		flt.send(2*time.Second, 400)
		before := len(flt.admitted)
		flt.send(70*time.Millisecond, 400)
		Expect(flt.admitted).To(HaveLen(before))
		Expect(flt.takeUp(70*time.Millisecond, 400)).To(Equal(7))
	})

	// Guards against the failure that an account uses its quota twice within one window with requests that all take up streams.
	DescribeTable("isn't granted a second time to streams that are taken up",
		func(overload time.Duration, cost float64) {
			flt := newFleet(7, 100*time.Millisecond, tolerant)
			flt.send(overload, cost)
			flt.restartAll(tolerant)
			flt.takeUp(15*time.Second, cost)
			Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
		},
		Entry("at four times the rate", 4*time.Second, 400.0),
		Entry("at six times the rate", 4*time.Second, 600.0),
		Entry("at six times the rate, later", 9*time.Second, 600.0),
		Entry("at three times the rate", 6*time.Second, 300.0),
	)

	// Guards against the same failure where the demand falls with the restart.
	DescribeTable("isn't granted a second time to streams that are taken up by fewer callers",
		func(overload time.Duration, before, after float64) {
			generous := yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: 10 * quotaLimit}
			flt := newFleet(7, 100*time.Millisecond, generous)
			flt.send(overload, before)
			flt.restartAll(generous)
			flt.takeUp(15*time.Second, after)
			Expect(flt.maxUsage()).To(BeNumerically("<=", quotaLimit*1.25+generous.Allowance))
		},
		Entry("to nine tenths", 6*time.Second, 1800.0, 1600.0),
		Entry("to two fifths", 6*time.Second, 1800.0, 750.0),
		Entry("to two fifths, after a short overload", 2600*time.Millisecond, 4000.0, 1600.0),
		Entry("to a fifth", 6*time.Second, 1800.0, 360.0),
	)

	It("admits the usage within the quota when all daemons restart without usage history", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		for _, led := range flt.ledgers {
			led.MarkWithoutHistory(flt.now)
		}
		flt.send(10*time.Second, 95)
		Expect(flt.admitted).To(HaveLen(int(10 * time.Second / step)))
	})

	// Three of seven daemons are disconnected from all others while callers still reach them. If
	// each disconnected daemon used the whole quota, the account would get its quota several times.
	It("is divided when daemons receive no reports from one another", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.disconnected = func(i int) bool { return i >= 4 }
		for i, led := range flt.ledgers {
			if i >= 4 {
				led.SetFleet(flt.now, yuccaquota.Fleet{Share: 1.0 / 7, Daemons: 7, ReportDelay: 150 * time.Millisecond})
			}
		}
		flt.send(30*time.Second, 600)
		Expect(flt.maxUsage()).To(BeNumerically("<=", 1.3*toleratedLimit))
	})

	// All daemons were paused, and for a moment no daemon receives the reports of another. The
	// account has used half of its quota. If each daemon compared the account's usage at all
	// daemons with a seventh of the quota, each daemon would refuse the account's requests for
	// seconds.
	It("admits an account within it when daemons are disconnected from one another", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.send(8*time.Second, 0.6*rate*step.Seconds())
		before := len(flt.admitted)
		flt.disconnected = func(int) bool { return true }
		for _, led := range flt.ledgers {
			led.SetFleet(flt.now, yuccaquota.Fleet{Share: 0.15, Daemons: 7, ReportDelay: 150 * time.Millisecond})
		}
		flt.send(time.Second, 0.6*rate*step.Seconds())
		Expect(flt.admitted[before:]).To(HaveLen(int(time.Second / step)))
	})

	// No daemon receives the reports of another while an account sends six times its rate. For the
	// first 1.5 s the daemons don't notice that they are disconnected, and each daemon still uses
	// the whole quota.
	It("is enforced when daemons are disconnected from one another under overload", func() {
		flt := newFleet(7, 100*time.Millisecond, tolerant)
		flt.send(6*time.Second, 6*rate*step.Seconds())
		flt.disconnected = func(int) bool { return true }
		flt.send(1500*time.Millisecond, 6*rate*step.Seconds())
		for _, led := range flt.ledgers {
			led.SetFleet(flt.now, yuccaquota.Fleet{Share: 1.0 / 7, Daemons: 7, ReportDelay: 150 * time.Millisecond})
		}
		flt.send(12*time.Second, 6*rate*step.Seconds())
		Expect(flt.maxUsage()).To(BeNumerically("<=", toleratedLimit))
	})

	It("applies a lowered quota at once, and never refuses an account without quota", func() {
		led := ledger(start, noTolerance)
		led.Configure(start, accounts(100, 200))
		verdict := led.Admit(start, "rally", 900, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
		answer := led.Admit(start, "rally", 200, 0)
		retryAfter, verdict := answer.RetryAfter, answer.Verdict
		Expect(verdict).NotTo(Equal(yuccaquota.Admitted))
		Expect(retryAfter).To(BeNumerically("~", windowSpan, windowSpan/10))
		led.Configure(start, nil)
		verdict = led.Admit(start, "rally", 1e9, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	It("admits a request larger than a window when that is empty", func() {
		led := ledger(start, noTolerance)
		verdict := led.Admit(start, "rally", 3*quotaLimit, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
		verdict = led.Admit(start, "rally", 1, 0).Verdict
		Expect(verdict).NotTo(Equal(yuccaquota.Admitted))
	})

	// An account has used most of its quota for requests of rank 2. An urgent request of rank 0
	// must not be refused because of those earlier requests.
	It("reserves the rest of it for urgent requests and for short ones", func() {
		led := ledger(start, noTolerance)
		for verdict := yuccaquota.Admitted; verdict == yuccaquota.Admitted; {
			verdict = led.Admit(start, "rally", 1000, 2).Verdict
		}
		lessUrgent := led.Admit(start, "rally", 1000, 2).Verdict
		Expect(lessUrgent).To(Equal(yuccaquota.WindowFull))
		short := led.Admit(start, "rally", quotaLimit/4000, 2).Verdict
		Expect(short).To(Equal(yuccaquota.Admitted))
		for range 10 {
			urgent := led.Admit(start, "rally", 1000, 0).Verdict
			Expect(urgent).To(Equal(yuccaquota.Admitted))
		}
	})

	// An account's requests are admitted beyond its quota, because some excess is tolerated. When
	// engines are full, these requests must be distinguishable from the requests of accounts within
	// their quotas.
	It("reports which requests exceed it", func() {
		led := ledger(start, tolerant)
		for used := 0.0; used < quotaLimit; used += 1000 {
			Expect(led.Admit(start, "rally", 1000, 0).OverQuota).To(BeFalse())
		}
		answer := led.Admit(start, "rally", 1000, 0)
		Expect(answer.Verdict).To(Equal(yuccaquota.Admitted))
		Expect(answer.OverQuota).To(BeTrue())
	})

	It("refunds requests that have not run", func() {
		led := ledger(start, noTolerance)
		led.Admit(start, "rally", quotaLimit, 0)
		led.Refund(start, "rally", quotaLimit)
		Expect(led.Report(yuccaquota.DataCentre)).To(BeEmpty())
		verdict := led.Admit(start, "rally", quotaLimit, 0).Verdict
		Expect(verdict).To(Equal(yuccaquota.Admitted))
	})

	// The daemon that sends its data centre's reports to the remote data centres is killed. If its
	// successor didn't report the usage that the killed daemon had not reported, the remote data
	// centres would never learn of that usage.
	It("reports to remote data centres what the previous reporting daemon has not", func() {
		led := ledger(start, noTolerance)
		led.PeerConnected(start, peer, nil, nil)
		led.ApplyReport(start, peer, []yuccaquota.Usage{{Account: "rally", Amount: 500}})
		led.MarkRemoteReported([]yuccaquota.Usage{{Account: "rally", Amount: 300}})
		led.Admit(start, "rally", 40, 0)
		Expect(led.RemoteReport()).To(Equal([]yuccaquota.Usage{{Account: yuccaid.Account("rally"), Amount: 240}}))
	})

	// A daemon is restarted. Another daemon sends it the totals of all data centres, and then each
	// data centre sends its own totals. If the same usage were counted from both totals, accounts
	// within their quotas would be refused.
	It("counts usage once that is sent by a peer and by its data centre", func() {
		led := ledger(start, noTolerance)
		led.MarkWithoutHistory(start)
		usage := func(amount int64) []yuccaquota.UsageByAge {
			return []yuccaquota.UsageByAge{{Account: "rally", Let: []int64{amount}}}
		}
		led.RaiseTotals(start, usage(9000), true)
		led.ApplyRemoteTotals(start, "gulf", usage(4000))
		led.ApplyRemoteTotals(start, "austin", usage(3000))
		Expect(led.Totals(start)).To(Equal(usage(9000)))
		led.ApplyRemoteTotals(start, "gulf", usage(4500))
		Expect(led.Totals(start)).To(Equal(usage(9000)))
		led.ApplyRemoteTotals(start, "gulf", usage(8000))
		Expect(led.Totals(start)).To(Equal(usage(11000)))
		led.RaiseRemoteTotals(start, "austin", usage(11000), usage(3000))
		Expect(led.Totals(start)).To(Equal(usage(11000)))
	})

	// Daemons restart and reconnect in turn, and each copies the totals of the previous one. If
	// copied usage were counted as new, an account that has stopped sending would be refused for as
	// long as that continues.
	It("drops usage after a window although daemons copy it from one another", func() {
		ledgers := []*yuccaquota.Ledger{ledger(start, noTolerance), ledger(start, noTolerance), ledger(start, noTolerance)}
		Expect(ledgers[0].Admit(start, "rally", quotaLimit/2, 0).Verdict).To(Equal(yuccaquota.Admitted))
		now := start
		for turn := range 90 {
			now = now.Add(100 * time.Millisecond)
			from, to := ledgers[turn%3], ledgers[(turn+1)%3]
			to.RaiseTotals(now, from.Totals(now), true)
			to.ApplyRemoteTotals(now, "gulf", from.Totals(now))
			if turn == 40 {
				Expect(to.Totals(now)).NotTo(BeEmpty())
			}
		}
		for _, led := range ledgers {
			Expect(led.Totals(now)).To(BeEmpty())
		}
	})

	It("reports to remote data centres the usage of the local one, and none of theirs", func() {
		led := ledger(start, noTolerance)
		led.Admit(start, "rally", 100, 0)
		led.PeerConnected(start, peer, nil, nil)
		led.ApplyReport(start, peer, []yuccaquota.Usage{{Account: "rally", Amount: 50}})
		led.ApplyRemoteReport(start, "gulf", []yuccaquota.Usage{{Account: "rally", Amount: 7000}})
		Expect(led.RemoteReport()).To(Equal([]yuccaquota.Usage{{Account: yuccaid.Account("rally"), Amount: 150}}))
		Expect(led.RemoteReport()).To(BeEmpty())
	})
})
