package yuccaquota_test

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquota"
	"yuccacleat/core/yuccaroute"
)

var start = time.Unix(1_700_000_000, 0)

const (
	rate       = 10_000.0
	burst      = 20_000.0
	windowSpan = 8 * time.Second
)

var (
	noTolerance = yuccaquota.Tolerance{Window: windowSpan}
	tolerant    = yuccaquota.Tolerance{Window: windowSpan, Overshoot: 0.25, Allowance: 40_000}
)

// quotaLimit is the usage that the quota allows in a window of 8 s. A usage above toleratedLimit
// counts as a breach.
const (
	quotaLimit     = rate*8 + burst
	toleratedLimit = quotaLimit*1.25 + 40_000
)

// accounts returns one account with the given rate, in tokens per second, and burst, in tokens.
func accounts(rate, burst float64) []yuccaroute.Account {
	return []yuccaroute.Account{{Name: "rally", Quota: yuccaroute.Quota{Rate: rate, Burst: burst, PerToken: true}}}
}

// lastSalt is the salt of the ledger created last. Each ledger has a different salt.
var lastSalt uint64

func ledger(now time.Time, tolerance yuccaquota.Tolerance) *yuccaquota.Ledger {
	lastSalt++
	led := yuccaquota.New(tolerance, yuccaquota.WithSalt(lastSalt))
	led.Configure(now, accounts(rate, burst))
	return led
}

// fleet is a number of daemons that send reports to one another at a fixed interval.
type fleet struct {
	now     time.Time
	ledgers []*yuccaquota.Ledger
	// restarts counts the restarts of each daemon. It is part of the daemon's incarnation.
	restarts       []byte
	reportInterval time.Duration
	lastReport     time.Time
	// disconnected reports whether daemon i has no connection to the other daemons.
	disconnected func(i int) bool
	// admitted holds the admitted requests in the order of their times.
	admitted []admission
}

// admission is an admitted request.
type admission struct {
	at   time.Time
	cost float64
}

// peer is a daemon that sends reports but has no ledger.
var peer = yuccaid.NewIncarnation("entry-9", [16]byte{1})

// step is the time between two requests of send, by which tick advances the clock.
const step = 10 * time.Millisecond

func newFleet(size int, reportInterval time.Duration, tolerance yuccaquota.Tolerance) *fleet {
	flt := &fleet{now: start, reportInterval: reportInterval, lastReport: start, disconnected: func(int) bool { return false }}
	for range size {
		led := ledger(flt.now, tolerance)
		led.SetFleet(flt.now, yuccaquota.Fleet{Share: 1, Daemons: size, ReportDelay: reportInterval + 50*time.Millisecond})
		flt.ledgers = append(flt.ledgers, led)
	}
	flt.restarts = make([]byte, size)
	flt.connectAll()
	return flt
}

// name returns the incarnation of a daemon's current process.
func (flt *fleet) name(index int) yuccaid.Incarnation {
	return yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprintf("entry-%d", index)), [16]byte{flt.restarts[index]})
}

// restart replaces the process of a daemon by a new one.
func (flt *fleet) restart(index int, led *yuccaquota.Ledger) {
	flt.ledgers[index] = led
	flt.restarts[index]++
}

// restartAll replaces the processes of all daemons. The new ones have no usage history, and are connected
// to one another at once.
func (flt *fleet) restartAll(tolerance yuccaquota.Tolerance) {
	for index := range flt.ledgers {
		flt.restart(index, ledger(flt.now, tolerance))
		flt.ledgers[index].SetFleet(flt.now, yuccaquota.Fleet{Share: 1, Daemons: len(flt.ledgers), ReportDelay: flt.reportInterval + 50*time.Millisecond})
		flt.ledgers[index].MarkWithoutHistory(flt.now)
	}
	flt.connectAll()
}

// connect connects a daemon to all others.
func (flt *fleet) connect(index int) {
	led := flt.ledgers[index]
	for i, other := range flt.ledgers {
		if i != index {
			other.PeerConnected(flt.now, flt.name(index), led.LifetimeUsage(), led.DaemonTotals(flt.now))
			led.PeerConnected(flt.now, flt.name(i), other.LifetimeUsage(), other.DaemonTotals(flt.now))
		}
	}
}

func (flt *fleet) connectAll() {
	for index := range flt.ledgers {
		flt.connect(index)
	}
}

// tick advances the clock by one step and exchanges reports when they are due.
func (flt *fleet) tick() {
	flt.now = flt.now.Add(step)
	if flt.now.Sub(flt.lastReport) < flt.reportInterval {
		return
	}
	flt.lastReport = flt.now
	for i, led := range flt.ledgers {
		usage := led.Report(yuccaquota.DataCentre)
		for j, other := range flt.ledgers {
			if i != j && !flt.disconnected(i) && !flt.disconnected(j) {
				other.ApplyReport(flt.now, flt.name(i), usage)
			}
		}
	}
}

// send sends one request per step for a duration, to each daemon in turn.
func (flt *fleet) send(duration time.Duration, cost float64) {
	for turn := range int(duration / step) {
		if verdict := flt.ledgers[turn%len(flt.ledgers)].Admit(flt.now, "rally", cost, 0).Verdict; verdict == yuccaquota.Admitted {
			flt.admitted = append(flt.admitted, admission{at: flt.now, cost: cost})
		}
		flt.tick()
	}
}

// takeUp does the same as send with requests that take up streams, and returns how many of them were admitted.
func (flt *fleet) takeUp(duration time.Duration, cost float64) int {
	before := len(flt.admitted)
	for turn := range int(duration / step) {
		led := flt.ledgers[turn%len(flt.ledgers)]
		verdict := led.Admit(flt.now, "rally", cost, 0).Verdict
		if verdict == yuccaquota.Admitted || verdict == yuccaquota.HeldAfterRestart && led.AdmitTakeUp(flt.now, "rally", cost) {
			flt.admitted = append(flt.admitted, admission{at: flt.now, cost: cost})
		}
		flt.tick()
	}
	return len(flt.admitted) - before
}

// maxUsage returns the largest admitted usage in any window.
func (flt *fleet) maxUsage() float64 {
	maxUsage, sum, first := 0.0, 0.0, 0
	for _, each := range flt.admitted {
		sum += each.cost
		for flt.admitted[first].at.Add(windowSpan).Before(each.at) {
			sum -= flt.admitted[first].cost
			first++
		}
		maxUsage = max(maxUsage, sum)
	}
	return maxUsage
}
