package yuccaspeed_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaspeed"
)

// machine is a target whose speed changes every period: for a sixth of the periods its work takes 2.5
// times as long.
type machine struct {
	rng     *rand.Rand
	period  time.Duration
	until   time.Time
	factor  float64
	reading yuccaspeed.Reading
}

func (mach *machine) at(now time.Time) float64 {
	for !now.Before(mach.until) {
		mach.until = mach.until.Add(mach.period)
		mach.factor = 1
		if mach.rng.Float64() < 1.0/6 {
			mach.factor = 2.5
		}
	}
	return mach.factor
}

// observe lets a model follow forty machines for a minute, and returns the mean squared errors of what
// it expects of work that is begun at random times, and of expecting the usual time of all work. states
// returns the figure that a machine states when work takes the given factor of the usual time.
func observe(mod *yuccaspeed.Model, period time.Duration, states func(rng *rand.Rand, factor float64) float64) (withFigure, without float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	start := time.Unix(1_700_000_000, 0)
	var machines []*machine
	for range 40 {
		machines = append(machines, &machine{rng: rng, period: period, until: start.Add(time.Duration(rng.Float64() * float64(period)))})
	}
	const usual = 1 + 1.5/6
	count := 0
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(2 * time.Millisecond) {
		mach := machines[rng.IntN(len(machines))]
		ratio := mach.at(now) / usual * math.Exp(0.3*rng.NormFloat64())
		if now.Sub(start) > 10*time.Second {
			count++
			withFigure += math.Pow(float64(mod.Factor(now, mach.reading))-ratio, 2)
			without += math.Pow(1-ratio, 2)
		}
		mod.Learn(now, mach.reading, ratio)
		mach.reading = mod.Observe(now, mach.reading, yuccaspeed.Factor(states(rng, mach.at(now))))
	}
	return withFigure / float64(count), without / float64(count)
}

func truthful(_ *rand.Rand, factor float64) float64 { return factor }

// invented and contrary return false figures: one that is drawn anew for each answer, and the opposite of the truth.
func invented(rng *rand.Rand, _ float64) float64    { return 1 + 1.5*rng.Float64() }
func contrary(_ *rand.Rand, factor float64) float64 { return 3.5 - factor }

var _ = Describe("what targets state about their speed", func() {
	It("tells how long work takes while it holds", func() {
		var mod yuccaspeed.Model
		withFigure, without := observe(&mod, 600*time.Millisecond, truthful)
		Expect(withFigure).To(BeNumerically("<", 0.7*without))
		Expect(mod.Trust()).To(BeNumerically(">", 0.7))
	})

	// Guards against the failure that work is sent to targets that were fast a while ago.
	It("counts for little if it changes before the next answer", func() {
		var mod yuccaspeed.Model
		withFigure, without := observe(&mod, 40*time.Millisecond, truthful)
		Expect(withFigure).To(BeNumerically("<", 1.02*without))
	})

	// Guards against the failure that false figures send work to slow targets.
	DescribeTable("does no harm if it is false", func(states func(*rand.Rand, float64) float64) {
		var mod yuccaspeed.Model
		withFigure, without := observe(&mod, 600*time.Millisecond, states)
		Expect(withFigure).To(BeNumerically("<", 1.02*without))
		Expect(mod.Trust()).To(BeNumerically("<", 0.2))
	}, Entry("and drawn at random", invented), Entry("and the contrary of the truth", contrary))

	It("changes nothing if it is missing", func() {
		var mod yuccaspeed.Model
		Expect(mod.Factor(time.Now(), yuccaspeed.Reading{})).To(Equal(yuccaspeed.Factor(1)))
		reading := mod.Observe(time.Now(), yuccaspeed.Reading{}, 0)
		Expect(reading.Known()).To(BeFalse())
	})
})

// Guards against the failure that figures and outcomes such as zero, huge and negative ones make a target look infinitely fast or slow.
func TestFactorIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var mod yuccaspeed.Model
		var reading yuccaspeed.Reading
		now := time.Unix(1_700_000_000, 0)
		for range rapid.IntRange(1, 200).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "millis")) * time.Millisecond)
			mod.Learn(now, reading, rapid.Float64().Draw(rt, "ratio"))
			reading = mod.Observe(now, reading, yuccaspeed.Factor(rapid.Float64().Draw(rt, "figure")))
			factor := float64(mod.Factor(now, reading))
			if !(factor >= float64(mod.Least())-1e-9 && factor > 0 && factor <= 30) {
				rt.Fatalf("factor %v, least %v", factor, mod.Least())
			}
		}
	})
}
