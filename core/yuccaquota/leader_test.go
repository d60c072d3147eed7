package yuccaquota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
)

const (
	// localReportInterval is the time between two reports to the daemons of the same data centre, and
	// castInterval the time between two reports to the other data centres.
	localReportInterval = 490 * time.Millisecond
	castInterval        = 180 * time.Millisecond
	// centreReportDelay is the time until the leaders of all data centres have received a report.
	centreReportDelay = localReportInterval + castInterval + 100*time.Millisecond
)

// dataCentre is the daemons of one data centre.
type dataCentre struct {
	name    yuccaid.Centre
	ledgers []*yuccaquota.Ledger
	// leader is the index of the daemon that leads the account. The daemon at index 0 reports to the
	// other data centres.
	leader int
}

// centreFleet is a fleet of several data centres, in each of which one daemon leads the account.
type centreFleet struct {
	*fleet
	centres []*dataCentre
	// aloneShare is the share of the requests that a daemon admits without the account's leader.
	aloneShare float64
	// disconnected reports whether no reports are exchanged.
	disconnected bool
	// lastLocal and lastCast are when the daemons last reported within their data centre and to the
	// other data centres.
	lastLocal, lastCast time.Time
}

func newCentreFleet(centres, daemons int, rate, burst float64, tolerance yuccaquota.Tolerance) *centreFleet {
	cf := &centreFleet{fleet: &fleet{now: start}, lastLocal: start, lastCast: start}
	for number := range centres {
		dc := &dataCentre{name: yuccaid.Centre(fmt.Sprintf("centre-%d", number))}
		size := daemons / centres
		if number < daemons%centres {
			size++
		}
		for range size {
			led := ledger(cf.now, tolerance)
			led.Configure(cf.now, accounts(rate, burst))
			led.SetFleet(cf.now, yuccaquota.Fleet{Share: 1, Daemons: daemons, Leaders: centres, ReportDelay: centreReportDelay})
			dc.ledgers = append(dc.ledgers, led)
		}
		for _, led := range dc.ledgers {
			for index := range dc.ledgers {
				led.PeerConnected(cf.now, dc.daemon(index), nil, nil)
			}
		}
		cf.centres = append(cf.centres, dc)
	}
	return cf
}

func (dc *dataCentre) daemon(index int) yuccaid.Incarnation {
	return yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprintf("%s-%d", dc.name, index)), [16]byte{1})
}

// configure gives all daemons another quota.
func (cf *centreFleet) configure(rate, burst float64) {
	for _, dc := range cf.centres {
		for _, led := range dc.ledgers {
			led.Configure(cf.now, accounts(rate, burst))
		}
	}
}

// tick advances the clock by one step and exchanges the reports that are due.
func (cf *centreFleet) tick() {
	cf.now = cf.now.Add(step)
	if cf.disconnected {
		return
	}
	if cf.now.Sub(cf.lastLocal) >= localReportInterval {
		cf.lastLocal = cf.now
		for _, dc := range cf.centres {
			dc.reportLocally(cf.now)
		}
	}
	if cf.now.Sub(cf.lastCast) >= castInterval {
		cf.lastCast = cf.now
		for _, dc := range cf.centres {
			cf.cast(dc)
		}
	}
}

// reportLocally sends the report of each daemon to the other daemons of the data centre.
func (dc *dataCentre) reportLocally(now time.Time) {
	for index, led := range dc.ledgers {
		usage := led.Report(yuccaquota.DataCentre)
		for other, receiver := range dc.ledgers {
			if other != index && len(usage) > 0 {
				receiver.ApplyReport(now, dc.daemon(index), usage)
			}
		}
	}
}

// cast reports the usage of a data centre to all daemons of the other data centres.
func (cf *centreFleet) cast(from *dataCentre) {
	usage := from.ledgers[0].RemoteReport()
	for _, led := range from.ledgers[1:] {
		led.MarkRemoteReported(usage)
	}
	for _, dc := range cf.centres {
		if dc == from {
			continue
		}
		for _, led := range dc.ledgers {
			led.ApplyRemoteReport(cf.now, from.name, usage)
		}
	}
}

// admit decides on a request that arrives at a random daemon.
func (cf *centreFleet) admit(rng *rand.Rand, cost float64, rank int) yuccaquota.Answer {
	dc := cf.centres[rng.IntN(len(cf.centres))]
	if rng.Float64() < cf.aloneShare {
		return dc.ledgers[rng.IntN(len(dc.ledgers))].Admit(cf.now, "rally", cost, rank)
	}
	return dc.ledgers[dc.leader].AdmitAsLeader(cf.now, "rally", cost, rank)
}

// kill restarts all daemons without usage history. For 450 ms they receive no reports and know no
// leaders.
func (cf *centreFleet) kill(ld *load, rate, burst float64, tolerance yuccaquota.Tolerance) {
	total := 0
	for _, dc := range cf.centres {
		total += len(dc.ledgers)
		for index := range dc.ledgers {
			led := ledger(cf.now, tolerance)
			led.Configure(cf.now, accounts(rate, burst))
			led.SetFleet(cf.now, yuccaquota.Fleet{Share: 0.15, Daemons: total, Leaders: len(cf.centres), ReportDelay: centreReportDelay})
			led.MarkWithoutHistory(cf.now)
			dc.ledgers[index] = led
		}
	}
	cf.aloneShare, cf.disconnected = 1, true
	ld.run(450*time.Millisecond, nil)
	cf.aloneShare, cf.disconnected = 0, false
	for _, dc := range cf.centres {
		for index, led := range dc.ledgers {
			led.SetFleet(cf.now, yuccaquota.Fleet{Share: 1, Daemons: total, Leaders: len(cf.centres), ReportDelay: centreReportDelay})
			for other, peer := range dc.ledgers {
				if other != index {
					led.PeerConnected(cf.now, dc.daemon(other), peer.LifetimeUsage(), peer.DaemonTotals(cf.now))
				}
			}
		}
	}
	for _, dc := range cf.centres {
		totals := dc.ledgers[0].CentreTotals(cf.now)
		for _, other := range cf.centres {
			if other != dc {
				for _, led := range other.ledgers {
					led.ApplyRemoteTotals(cf.now, dc.name, totals)
				}
			}
		}
	}
}

// load generates an account's requests to a fleet of several data centres.
type load struct {
	cf         *centreFleet
	rng        *rand.Rand
	demandRate float64
	mean       float64
	// sent and refused count requests.
	sent, refused int
}

// run sends requests for a duration. Each step is preceded by each, unless that is nil.
func (ld *load) run(duration time.Duration, each func()) {
	gen := &loadGenerator{rng: ld.rng, mean: ld.mean}
	for end := ld.cf.now.Add(duration); ld.cf.now.Before(end); ld.cf.tick() {
		if each != nil {
			each()
		}
		gen.due += ld.rng.ExpFloat64() * ld.demandRate * step.Seconds()
		for gen.due > 0 {
			cost := gen.size()
			gen.due -= cost
			ld.sent++
			if ld.cf.admit(ld.rng, cost, 0).Verdict != yuccaquota.Admitted {
				ld.refused++
				continue
			}
			ld.cf.admitted = append(ld.cf.admitted, admission{at: ld.cf.now, cost: cost})
		}
	}
}

var _ = Describe("a quota that one daemon of each data centre leads", func() {
	const allowance = 190_000.0
	tolerance := yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: allowance}
	toleratedFor := func(rate, burst float64) float64 { return (rate*8+burst)*1.25 + allowance }

	// Three hundred daemons serve an account that uses seven tenths of its quota, with prompts of up
	// to a second's worth of the quota. Divided by the number of daemons, what remains of the quota
	// is less than one prompt, so prompts were refused although the account was within its quota.
	DescribeTable("refuses almost no request within it",
		func(centres, daemons int, rate float64) {
			for seed := range uint64(3) {
				cf := newCentreFleet(centres, daemons, rate, 2*rate, tolerance)
				ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: 0.7 * rate, mean: 3700}
				ld.run(20*time.Second, nil)
				Expect(ld.refused).To(BeNumerically("<=", ld.sent/500), "seed %d: of %d", seed, ld.sent)
			}
		},
		Entry("of a small account of a large fleet", 6, 295, 47_000.0),
		Entry("of a large account of a large fleet", 6, 295, 400_000.0),
		Entry("of a fleet of three data centres", 3, 60, 47_000.0),
		Entry("of a fleet of fourteen data centres", 14, 400, 47_000.0),
	)

	// An account demands many times its quota, and each leader admits requests before it has
	// received the reports of the others.
	DescribeTable("is enforced",
		func(centres, daemons int, rate, demandFactor, aloneShare float64) {
			for seed := range uint64(5) {
				cf := newCentreFleet(centres, daemons, rate, 2*rate, tolerance)
				cf.aloneShare = aloneShare
				ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: demandFactor * rate, mean: 3700}
				ld.run(20*time.Second, nil)
				Expect(cf.maxUsage()).To(BeNumerically("<=", toleratedFor(rate, 2*rate)), "seed %d", seed)
				Expect(cf.maxUsage()).To(BeNumerically(">=", 0.75*toleratedFor(rate, 2*rate)), "seed %d", seed)
			}
		},
		Entry("on a small account of a large fleet", 6, 295, 47_000.0, 7.5, 0.0),
		Entry("on a large account of a large fleet", 6, 295, 400_000.0, 4.0, 0.0),
		Entry("on a small account of fourteen data centres", 14, 400, 47_000.0, 7.5, 0.0),
		Entry("while some daemons can't reach the leader", 6, 295, 47_000.0, 7.5, 0.2),
		Entry("while no daemon can reach the leader", 6, 295, 47_000.0, 7.5, 1.0),
	)

	// The daemons that lead an account are killed one after the other, in each data centre, while
	// the account demands four times its quota. What each of them admitted since its last report is
	// unknown to its successor.
	It("is enforced when its leaders are killed again and again", func() {
		const rate = 100_000.0
		for seed := range uint64(5) {
			cf := newCentreFleet(6, 295, rate, 2*rate, tolerance)
			ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: 4 * rate, mean: 3700}
			turn := 0
			ld.run(20*time.Second, func() {
				if turn++; turn%37 == 0 {
					dc := cf.centres[turn/37%len(cf.centres)]
					// The report that the killed daemon would have sent is lost.
					dc.ledgers[dc.leader].Report(yuccaquota.DataCentre)
					dc.leader = 1 + (dc.leader % (len(dc.ledgers) - 1))
				}
			})
			Expect(cf.maxUsage()).To(BeNumerically("<=", toleratedFor(rate, 2*rate)), "seed %d", seed)
		}
	})

	// An account demands three and a half times its quota, then five times, and all daemons are killed.
	// If the account's window started empty, the account would use its quota a second time.
	DescribeTable("is enforced when all daemons restart without usage history",
		func(first, second float64) {
			const rate = 100_000.0
			for seed := range uint64(5) {
				cf := newCentreFleet(6, 120, rate, 2*rate, tolerance)
				ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: first * rate, mean: 3700}
				ld.run(8*time.Second, nil)
				ld.demandRate = second * rate
				ld.run(4*time.Second, nil)
				cf.kill(ld, rate, 2*rate, tolerance)
				ld.run(10*time.Second, nil)
				Expect(cf.maxUsage()).To(BeNumerically("<=", toleratedFor(rate, 2*rate)), "seed %d", seed)
			}
		},
		Entry("while the demand increases", 3.5, 5.0),
		Entry("while the demand stays the same", 4.0, 4.0),
	)

	// Within a fifth of a second, before any leader has received a report of another one, an account
	// demands three times what is tolerated in a window.
	DescribeTable("is enforced in a burst that reaches all leaders at once",
		func(centres, daemons int, rate float64) {
			for seed := range uint64(10) {
				cf := newCentreFleet(centres, daemons, rate, 2*rate, tolerance)
				ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: 15 * toleratedFor(rate, 2*rate), mean: 3700}
				ld.run(200*time.Millisecond, nil)
				ld.demandRate = 2 * rate
				ld.run(6*time.Second, nil)
				Expect(cf.maxUsage()).To(BeNumerically("<=", toleratedFor(rate, 2*rate)), "seed %d", seed)
			}
		},
		Entry("of a large fleet, on a small account", 6, 295, 47_000.0),
		Entry("of a large fleet, on a large account", 6, 295, 400_000.0),
		Entry("of fourteen data centres", 14, 400, 47_000.0),
	)

	// An operator lowers the quota to a third while the account uses all of it. One window later no
	// more than the lower quota may be in use.
	It("is enforced when it is lowered", func() {
		const before, after = 150_000.0, 50_000.0
		for seed := range uint64(5) {
			cf := newCentreFleet(6, 295, before, 2*before, tolerance)
			ld := &load{cf: cf, rng: rand.New(rand.NewPCG(seed, 1)), demandRate: 2 * before, mean: 3700}
			ld.run(10*time.Second, nil)
			cf.configure(after, 2*after)
			ld.run(8*time.Second, nil)
			cf.admitted = nil
			ld.run(12*time.Second, nil)
			Expect(cf.maxUsage()).To(BeNumerically("<=", toleratedFor(after, 2*after)), "seed %d", seed)
		}
	})
})
