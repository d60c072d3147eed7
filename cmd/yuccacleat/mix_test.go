package main_test

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccastand"
)

const (
	// mixSecondsKey and mixSeedKey name the variables for a longer run by hand and for
	// the repetition of a run.
	mixSecondsKey = "YUCCACLEAT_MIX_SECONDS"
	mixSeedKey    = "YUCCACLEAT_MIX_SEED"
	mixSeconds    = 12
	mixSeed       = 20
)

// targetFaults are what targets do wrong in the mix. A wrong text isn't among them:
// only the hash at the end shows it, so the witness can't judge a part of it.
var targetFaults = []yuccastand.Faults{
	{SlowFactor: 10},
	{SilentAfterPieces: 2, SilentOnce: true},
	{CutAfterPieces: 2},
	{CutAfterPieces: 1, ResumeShift: 1},
	{DuplicatePieces: true},
	{Truncate: true},
	{Foreign: true},
	{WrongHash: true},
	{Garble: true},
	{Status: 502},
	{Refuse: true, BackMillis: 10},
	{Dead: yuccastand.DeathMute},
	{Dead: yuccastand.DeathRefuse, DeadMillis: 700},
}

// mix is one random sequence of faults, each of which ends before the fleet is judged.
type mix struct {
	fl   *fleet
	rng  *rand.Rand
	load *loading
}

func setting(key string, usual uint64) uint64 {
	if value, err := strconv.ParseUint(os.Getenv(key), 10, 64); err == nil {
		return value
	}
	return usual
}

// part draws a span up to a limit: some faults end before anybody notices them.
func (mx *mix) part(limit time.Duration) time.Duration {
	return time.Duration(mx.rng.Int64N(int64(limit)))
}

func (mx *mix) daemon() *daemon {
	return mx.fl.daemons[mx.rng.IntN(len(mx.fl.daemons))]
}

// step does one fault, and perhaps a second one on top of it.
func (mx *mix) step() {
	heal := mx.fault()
	if mx.rng.IntN(2) == 0 {
		also := mx.fault()
		time.Sleep(mx.part(time.Second))
		also()
	}
	time.Sleep(mx.part(time.Second))
	heal()
}

// fault begins a random one and returns what ends it.
func (mx *mix) fault() (heal func()) {
	fl := mx.fl
	nothing := func() {}
	switch mx.rng.IntN(8) {
	case 0:
		fl.replace(mx.daemon())
		mx.load.use(fl.daemons)
		return nothing
	case 1:
		dm := mx.daemon()
		dm.signal(syscall.SIGSTOP)
		time.Sleep(mx.part(7 * time.Second))
		return func() { _ = dm.cmd.Process.Signal(syscall.SIGCONT) }
	case 2:
		side := make(map[yuccaid.VM]bool)
		for _, dm := range fl.daemons {
			side[dm.name] = mx.rng.IntN(2) == 0
		}
		fl.cut(func(from, to yuccaid.VM) bool { return side[from] != side[to] })
		return func() { fl.cut(nil) }
	case 3:
		mx.daemon().relay.hush()
		return nothing
	case 4:
		faults(fl.platform, yuccastand.PlatformFaults{Down: true})
		return func() { faults(fl.platform, yuccastand.PlatformFaults{}) }
	case 5:
		faults(fl.platform, yuccastand.PlatformFaults{StaleRevision: 1})
		return func() { faults(fl.platform, yuccastand.PlatformFaults{}) }
	case 6:
		fl.publish(fl.reweigh(1 + int(fl.state.Number)))
		return nothing
	}
	targets := append([]string{fl.plain}, fl.engines...)
	address := targets[mx.rng.IntN(len(targets))]
	faults(address, targetFaults[mx.rng.IntN(len(targetFaults))])
	return func() { fl.mend(address) }
}

// mend takes a target's faults away, once its port is open.
func (fl *fleet) mend(address string) {
	Eventually(func(g Gomega) { fetch(g, address, "/control/faults", new(yuccastand.Faults)) }).
		WithTimeout(patience).WithPolling(pollEach).Should(Succeed())
	faults(address, yuccastand.Faults{})
}

var _ = Describe("a random mix of faults", func() {
	// Faults come at any moment, together or twice. Whatever happens, no request runs
	// twice, nothing that ran is called not run, and whole answers are whole.
	It("breaks no promise to any caller", func(ctx SpecContext) {
		seed := setting(mixSeedKey, mixSeed)
		span := time.Duration(setting(mixSecondsKey, mixSeconds)) * time.Second
		GinkgoWriter.Printf("%s=%d %s=%v\n", mixSeedKey, seed, mixSecondsKey, span)
		fl := newFleet(5, unlike[0], unlike[0], unlike[1])
		mx := &mix{fl: fl, rng: rand.New(rand.NewPCG(seed, 0)), load: fl.load(ctx, seed, 8, 2)}
		steps := 0
		for began := time.Now(); time.Since(began) < span; steps++ {
			mx.step()
		}
		fl.settle()
		mx.load.end()
		GinkgoWriter.Printf("%d steps, %d served\n", steps, mx.load.served.Load())
		Expect(mx.load.served.Load()).To(BeNumerically(">", 0))
		fl.verify()
	})
})
