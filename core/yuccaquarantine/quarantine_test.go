package yuccaquarantine_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
)

// whole is the view of a daemon that sees its whole fleet and knows of earlier crashes.
var whole = yuccaquarantine.View{Whole: true, Experienced: true}

// fleet is daemons that tell one another all news after each tick.
type fleet struct {
	now     time.Time
	view    yuccaquarantine.View
	daemons []*yuccaquarantine.Quarantine
	crashes int
}

func newFleet(daemons int) *fleet {
	flt := &fleet{now: time.Unix(1_700_000_000, 0), view: whole}
	for index := range daemons {
		flt.daemons = append(flt.daemons, yuccaquarantine.New(yuccaid.VM(fmt.Sprint("entry-", index))))
	}
	return flt
}

// pass lets time pass, with a tick of all daemons every 20 ms.
func (flt *fleet) pass(span time.Duration) {
	for ; span > 0; span -= 20 * time.Millisecond {
		flt.now = flt.now.Add(20 * time.Millisecond)
		for from, qua := range flt.daemons {
			news := qua.Tick(flt.now, flt.view)
			for to, other := range flt.daemons {
				if to != from {
					other.Merge(flt.now, news)
				}
			}
		}
	}
}

// crash has another target crash, on which runs with the traits were under way at one daemon.
func (flt *fleet) crash(daemon int, traits ...yuccaquarantine.Trait) {
	flt.crashes++
	process := yuccaquarantine.Process{Target: yuccaid.Target(fmt.Sprint("t-", flt.crashes)), StartMillis: 1}
	flt.daemons[daemon].RecordCrash(flt.now, yuccaquarantine.Crash{Process: process, At: flt.now, Traits: traits})
}

func (flt *fleet) sound(daemon int, traits ...yuccaquarantine.Trait) {
	flt.daemons[daemon].RecordSound(flt.now, traits)
}

func (flt *fleet) decide(daemon int, traits ...yuccaquarantine.Trait) yuccaquarantine.Decision {
	return flt.daemons[daemon].Decide(flt.now, flt.view, traits)
}

// send sends a request with the traits at any daemon that lets it through. It reports false if all hold it back. A request with
// the bad trait crashes its target, the other one clears its traits.
func (flt *fleet) send(bad yuccaquarantine.Trait, traits ...yuccaquarantine.Trait) bool {
	for daemon := range flt.daemons {
		dec := flt.decide(daemon, traits...)
		if dec.Held {
			continue
		}
		if dec.Trial {
			flt.daemons[daemon].StartTrial(flt.now, dec.Traits)
		}
		for _, trait := range traits {
			if trait == bad {
				flt.crash(daemon, traits...)
				return true
			}
		}
		flt.sound(daemon, traits...)
		return true
	}
	return false
}

var _ = Describe("a trait on which targets crash", func() {
	It("is held at all daemons after the third crash", func() {
		flt := newFleet(4)
		for turn := range 3 {
			Expect(flt.decide(3, "bad").Held).To(BeFalse(), "turn %d", turn)
			flt.crash(turn, "bad", yuccaquarantine.Trait(fmt.Sprint("own-", turn)))
			flt.pass(time.Second)
		}
		for daemon := range flt.daemons {
			dec := flt.decide(daemon, "other", "bad")
			Expect(dec.Held).To(BeTrue())
			Expect(dec.Traits).To(Equal([]yuccaquarantine.Trait{"bad"}))
			Expect(dec.Crashes).To(Equal(3))
			Expect(dec.RetryAfter).To(BeNumerically(">", 0))
		}
		Expect(flt.decide(0, "other", "own-1").Held).To(BeFalse())
	})

	It("has requests wait until it is decided whether it is held", func() {
		flt := newFleet(2)
		for range 3 {
			flt.crash(0, "bad")
		}
		flt.pass(40 * time.Millisecond)
		dec := flt.decide(1, "bad")
		Expect(dec.Held).To(BeFalse())
		Expect(dec.Pending).To(BeTrue())
		Expect(flt.decide(1, "other")).To(Equal(yuccaquarantine.Decision{}))
		flt.pass(300 * time.Millisecond)
		Expect(flt.decide(1, "bad").Held).To(BeTrue())
	})

	It("is held after two crashes where the daemons don't see the whole fleet, or have lost what they knew", func() {
		for _, view := range []yuccaquarantine.View{{Whole: true}, {Experienced: true}} {
			flt := newFleet(2)
			flt.view = view
			for range 2 {
				flt.crash(0, "bad")
				flt.pass(time.Second)
			}
			Expect(flt.decide(1, "bad").Held).To(BeTrue())
		}
	})

	It("is tried once at a time, and ever more rarely", func() {
		flt := newFleet(5)
		sent := 0
		for elapsed := time.Duration(0); elapsed < time.Hour; elapsed += 100 * time.Millisecond {
			if flt.send("bad", "shared", "bad") {
				sent++
			}
			flt.sound(0, "shared")
			flt.pass(100 * time.Millisecond)
			switch elapsed {
			case 10 * time.Second:
				Expect(sent).To(BeNumerically("<=", 7))
				sent = 0
			case 5 * time.Minute:
				Expect(sent).To(BeNumerically("<=", 3))
			}
		}
		Expect(sent).To(BeNumerically("<=", 8))
	})

	It("is served again once a run with it has come far", func() {
		flt := newFleet(3)
		for range 3 {
			flt.crash(0, "bad")
			flt.pass(400 * time.Millisecond)
		}
		Expect(flt.decide(1, "bad").Held).To(BeTrue())
		Eventually(func() bool {
			flt.pass(100 * time.Millisecond)
			return flt.send("none", "bad")
		}).Should(BeTrue())
		for daemon, qua := range flt.daemons {
			if daemon > 0 {
				qua.Merge(flt.now, yuccaquarantine.News{Cleared: []yuccaquarantine.Cleared{{Trait: "bad", At: flt.now}}})
			}
			flt.sound(0, "bad")
			Expect(flt.decide(daemon, "bad")).To(Equal(yuccaquarantine.Decision{}), "before the next tick")
		}
		flt.pass(200 * time.Millisecond)
		for daemon := range flt.daemons {
			Expect(flt.decide(daemon, "bad")).To(Equal(yuccaquarantine.Decision{}))
		}
	})

	It("isn't charged twice with a crash that is told again once it was forgotten", func() {
		flt := newFleet(2)
		for range 2 {
			flt.crash(0, "rare")
			flt.pass(400 * time.Millisecond)
		}
		state := flt.daemons[0].State()
		for turn := range 600 {
			flt.crash(1, yuccaquarantine.Trait(fmt.Sprint("other-", turn)))
			flt.pass(20 * time.Millisecond)
		}
		flt.daemons[1].Merge(flt.now, state)
		flt.pass(time.Second)
		Expect(flt.daemons[1].Held()).To(BeEmpty())
	})

	It("is known to a daemon that joins, with its trials", func() {
		flt := newFleet(2)
		for range 3 {
			flt.crash(0, "bad")
			flt.pass(400 * time.Millisecond)
		}
		flt.pass(5 * time.Second)
		Expect(flt.send("bad", "bad")).To(BeTrue())
		flt.pass(time.Second)
		joined := yuccaquarantine.New("entry-new")
		joined.Merge(flt.now, flt.daemons[1].State())
		joined.Tick(flt.now.Add(time.Second), whole)
		dec := joined.Decide(flt.now.Add(time.Second), whole, []yuccaquarantine.Trait{"bad"})
		Expect(dec.Held).To(BeTrue())
		Expect(dec.RetryAfter).To(BeNumerically(">", 50*time.Second))
	})
})

// Guards against the failure that contents on which targets crash excuse one another, because they come at the same time.
var _ = It("holds several contents that crash targets at the same moments", func() {
	const (
		contents = 5
		pause    = 2 * time.Second
		allowed  = 5 * time.Second
	)
	flt := newFleet(4)
	sent := make([][]time.Time, contents)
	for range 20 {
		for index := range sent {
			content := yuccaquarantine.Trait(fmt.Sprint("content:", index))
			if flt.send(content, "shared", content) {
				sent[index] = append(sent[index], flt.now)
			}
		}
		flt.sound(0, "shared")
		flt.pass(pause)
	}
	for index, times := range sent {
		late := 0
		for _, at := range times[3:] {
			if at.Sub(times[2]) > allowed {
				late++
			}
		}
		Expect(late).To(BeNumerically("<=", 3), "content %d", index)
	}
})

// Guards against the failure that a content which is held is let through again, because others ran on the targets that it crashed.
var _ = It("holds a content on which targets crashed, whatever else explains its crashes", func() {
	flt := newFleet(3)
	for range 3 {
		flt.crash(0, "content:one", "content:two")
		flt.pass(400 * time.Millisecond)
	}
	for range 3 {
		flt.crash(1, "content:two")
		flt.pass(400 * time.Millisecond)
	}
	Expect(flt.decide(2, "content:one").Held).To(BeTrue())
	Expect(flt.decide(2, "content:two").Held).To(BeTrue())
})

var _ = Describe("traits that aren't the reason", func() {
	It("aren't held if they were on the same targets by chance", func() {
		flt := newFleet(3)
		for turn := range 4 {
			flt.crash(0, "bad", yuccaquarantine.Trait(fmt.Sprint("mate-", turn%3)))
			flt.pass(500 * time.Millisecond)
		}
		Expect(flt.decide(1, "bad").Held).To(BeTrue())
		for turn := range 3 {
			Expect(flt.decide(1, yuccaquarantine.Trait(fmt.Sprint("mate-", turn))).Held).To(BeFalse())
		}
	})

	It("neither wait nor lose a second attempt for crashes that another trait explains", func() {
		flt := newFleet(3)
		for range 5 {
			flt.crash(0, "bad", "mate")
			flt.pass(400 * time.Millisecond)
		}
		flt.crash(0, "bad")
		flt.pass(400 * time.Millisecond)
		Expect(flt.daemons[1].Held()).To(Equal([]yuccaquarantine.Trait{"bad"}))
		Expect(flt.decide(1, "mate")).To(Equal(yuccaquarantine.Decision{}))
		Expect(flt.daemons[1].MayRepeat(flt.now, []yuccaquarantine.Trait{"mate"})).To(BeTrue())
	})

	It("are told apart by one request of theirs if they have the same crashes", func() {
		flt := newFleet(3)
		for range 3 {
			flt.crash(0, "bad", "other")
			flt.pass(400 * time.Millisecond)
		}
		Expect(flt.decide(0, "bad", "other").Held).To(BeTrue())
		Eventually(func() bool {
			flt.pass(100 * time.Millisecond)
			return flt.send("bad", "sound", "other")
		}).Should(BeTrue())
		flt.pass(200 * time.Millisecond)
		Expect(flt.decide(1, "other")).To(Equal(yuccaquarantine.Decision{}))
		Expect(flt.decide(1, "bad").Held).To(BeTrue())
	})

	It("are served within seconds if requests have several of them, each held for other crashes", func() {
		flt := newFleet(3)
		for _, trait := range []yuccaquarantine.Trait{"one", "two", "three"} {
			for range 3 {
				flt.crash(0, trait)
				flt.pass(400 * time.Millisecond)
			}
		}
		Expect(flt.daemons[1].Held()).To(ConsistOf(yuccaquarantine.Trait("one"), yuccaquarantine.Trait("two"), yuccaquarantine.Trait("three")))
		began := flt.now
		Eventually(func() bool {
			flt.pass(100 * time.Millisecond)
			return flt.send("bad", "one", "two", "three")
		}).Should(BeTrue())
		Expect(flt.now.Sub(began)).To(BeNumerically("<", 4*time.Second))
		flt.pass(400 * time.Millisecond)
		Expect(flt.daemons[2].Held()).To(BeEmpty())
	})

	It("are tried on their own, not with a bad trait that isn't due", func() {
		flt := newFleet(3)
		for _, trait := range []yuccaquarantine.Trait{"sound", "bad"} {
			for range 3 {
				flt.crash(0, trait)
				flt.pass(400 * time.Millisecond)
			}
		}
		flt.pass(3 * time.Second)
		Expect(flt.send("bad", "bad")).To(BeTrue())
		flt.pass(time.Second)
		Expect(flt.send("bad", "sound", "bad")).To(BeFalse())
		Expect(flt.send("bad", "sound")).To(BeTrue())
		flt.pass(400 * time.Millisecond)
		Expect(flt.daemons[1].Held()).To(Equal([]yuccaquarantine.Trait{"bad"}))
	})

	It("are tried once more soon if the first trial told nothing", func() {
		flt := newFleet(3)
		for range 3 {
			flt.crash(0, "sound")
			flt.pass(400 * time.Millisecond)
		}
		flt.pass(3 * time.Second)
		trials := 0
		for range 120 {
			for daemon, qua := range flt.daemons {
				if dec := flt.decide(daemon, "sound"); dec.Trial {
					trials++
					qua.StartTrial(flt.now, dec.Traits)
					break
				}
			}
			flt.pass(100 * time.Millisecond)
		}
		Expect(trials).To(Equal(2))
	})

	It("are served within seconds if they were on each target that crashed, and on others", func() {
		flt := newFleet(3)
		for range 3 {
			flt.crash(0, "bad", "everywhere")
			flt.pass(400 * time.Millisecond)
		}
		flt.crash(0, "everywhere")
		flt.pass(400 * time.Millisecond)
		began := flt.now
		Eventually(func() bool {
			flt.pass(100 * time.Millisecond)
			return flt.send("bad", "everywhere")
		}).Should(BeTrue())
		Expect(flt.now.Sub(began)).To(BeNumerically("<", 4*time.Second))
		flt.pass(400 * time.Millisecond)
		Expect(flt.decide(1, "everywhere").Held).To(BeFalse())
		Expect(flt.decide(1, "bad").Held).To(BeTrue())
	})

	It("aren't held if many targets crash at once, and few of these with the trait", func() {
		flt := newFleet(3)
		for turn := range 9 {
			traits := []yuccaquarantine.Trait{yuccaquarantine.Trait(fmt.Sprint("own-", turn))}
			if turn%2 == 0 {
				traits = append(traits, "shared")
			}
			flt.crash(turn%3, traits...)
		}
		flt.pass(5 * time.Second)
		Expect(flt.decide(0, "shared").Held).To(BeFalse())
	})

	It("aren't held later for many targets that crashed at once, however many crash meanwhile", func() {
		flt := newFleet(2)
		for turn := range 12 {
			flt.crash(0, yuccaquarantine.Trait(fmt.Sprint("own-", turn)))
		}
		for range 4 {
			flt.crash(1, "shared")
		}
		flt.pass(time.Second)
		Expect(flt.decide(0, "shared").Held).To(BeFalse())
		for turn := range 600 {
			flt.crash(0, yuccaquarantine.Trait(fmt.Sprint("later-", turn)))
			flt.pass(40 * time.Millisecond)
		}
		flt.pass(time.Second)
		Expect(flt.daemons[0].Held()).To(BeEmpty())
	})

	It("aren't held if a run came far with them shortly before", func() {
		flt := newFleet(3)
		flt.sound(2, "shared")
		for range 5 {
			flt.crash(0, "shared")
			flt.pass(100 * time.Millisecond)
		}
		flt.pass(time.Second)
		Expect(flt.decide(0, "shared").Held).To(BeFalse())
	})

	It("aren't held for crashes with runs that came far between them", func() {
		flt := newFleet(3)
		for range 8 {
			flt.crash(0, "shared")
			flt.pass(5 * time.Second)
			flt.sound(1, "shared")
			flt.pass(5 * time.Second)
		}
		Expect(flt.decide(0, "shared").Held).To(BeFalse())
	})
})

// Guards against the failure that many different traits use up a daemon's memory.
var _ = It("remembers a bounded number of traits", func() {
	flt := newFleet(1)
	for turn := range 400 {
		var traits []yuccaquarantine.Trait
		for index := range 100 {
			traits = append(traits, yuccaquarantine.Trait(fmt.Sprint(turn, "-", index)))
		}
		flt.crash(0, append(traits[:10], "bad")...)
		flt.pass(400 * time.Millisecond)
	}
	Expect(flt.daemons[0].Suspects()).To(BeNumerically("<=", 2048))
	Expect(flt.daemons[0].Held()).To(ContainElement(yuccaquarantine.Trait("bad")))
})

// Guards against the failure that requests with a bad trait end more than five targets, whatever they share with sound ones.
var _ = It("holds any bad trait after few crashes, and no other trait for long", func() {
	rapid.Check(GinkgoT(), func(t *rapid.T) {
		flt := newFleet(rapid.IntRange(1, 6).Draw(t, "daemons"))
		traits := []yuccaquarantine.Trait{"p0", "p1", "p2", "p3", "p4"}
		pause := time.Duration(rapid.IntRange(2, 30).Draw(t, "pause")) * 100 * time.Millisecond
		bad := 0
		for turn := range 100 {
			request := []yuccaquarantine.Trait{rapid.SampledFrom(traits).Draw(t, "trait"), "bad"}
			if flt.send("bad", request...) {
				bad++
			}
			flt.send("bad", traits[turn%len(traits)])
			flt.pass(pause)
		}
		flt.pass(5 * time.Second)
		for _, trait := range traits {
			if !flt.send("bad", trait) {
				t.Fatalf("%s is still held back", trait)
			}
		}
		trials := 3
		if bad > 5+trials {
			t.Fatalf("%d bad requests reached targets", bad)
		}
	})
})
