package yuccapool_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
)

func triage() yuccapool.Ask {
	return yuccapool.Ask{Account: "hotline", Rank: 0, Idempotent: true, Remaining: 10 * time.Second, Prompt: 2000, Answer: 150}
}

func letter() yuccapool.Ask {
	return yuccapool.Ask{Account: "office", Rank: 2, Idempotent: true, Remaining: time.Minute, Prompt: 4000, Answer: 800}
}

func lookup() yuccapool.Ask {
	return yuccapool.Ask{Account: "members", Rank: 1, Idempotent: true, Remaining: 2 * time.Second, Prompt: 200, Answer: 20}
}

func rulebook() yuccapool.Ask {
	return yuccapool.Ask{Account: "marshals", Rank: 1, Idempotent: true, Remaining: 90 * time.Second, Prompt: 20_000, Answer: 300}
}

func from(acc yuccaid.Account, ask yuccapool.Ask) yuccapool.Ask {
	ask.Account = acc
	return ask
}

func ofAccount(acc yuccaid.Account) func(*request) bool {
	return func(req *request) bool { return req.Account == acc }
}

func shortOnes(req *request) bool { return req.Prompt < 1000 }

func plainFleet(n int) yuccapool.PoolConfig { return yuccapool.PoolConfig{Targets: fleet(n)} }

var _ = Describe("callers under load", func() {
	// A storm brings four times the usual triage notes for twenty seconds while letters
	// fill the engines. Without order before the engines the notes wait behind letters
	// and crews roll late.
	It("serves every urgent request through a burst, whatever else runs", func() {
		w := newWorld(plainFleet(4))
		w.stream(250*time.Millisecond, 60*time.Second, letter)
		w.stream(800*time.Millisecond, 60*time.Second, triage)
		w.after(20*time.Second, func() { w.stream(200*time.Millisecond, 20*time.Second, triage) })
		w.run(3 * time.Minute)
		Expect(w.goodput(ofRank(0))).To(BeNumerically(">=", 0.99))
	})

	// One member's script sends ten times what the others send. Callers of the small
	// accounts see their requests wait behind the script's.
	It("keeps a small account served beside a large one in the same tier", func() {
		w := newWorld(plainFleet(2))
		w.stream(60*time.Millisecond, 60*time.Second, func() yuccapool.Ask { return from("script", triage()) })
		w.stream(2*time.Second, 60*time.Second, func() yuccapool.Ask { return from("small", triage()) })
		w.run(2 * time.Minute)
		Expect(w.goodput(ofAccount("script"))).To(BeNumerically("<", 0.5))
		Expect(w.goodput(ofAccount("small"))).To(BeNumerically(">=", 0.95))
	})

	// An engine throttles and becomes eight times slower without a word. Callers whose
	// requests keep going there miss their deadlines while its neighbours have room.
	It("sends a slow target little work and takes it back when it is well", func() {
		w := newWorld(plainFleet(4))
		w.stream(150*time.Millisecond, 5*time.Minute, triage)
		w.after(10*time.Second, func() { w.engines["engine-0"].slow = 8 })
		w.after(90*time.Second, func() { w.engines["engine-0"].slow = 1 })
		w.after(200*time.Second, func() { w.stream(500*time.Millisecond, 100*time.Second, triage) })
		w.run(6 * time.Minute)
		Expect(w.count(missed, everybody)).To(BeNumerically("<=", 4))
		Expect(w.goodput(everybody)).To(BeNumerically(">=", 0.98))
		late := func(req *request) bool {
			return req.engine != nil && req.engine.Name == "engine-0" && req.began.After(epoch.Add(200*time.Second))
		}
		Expect(w.count(met, late)).To(BeNumerically(">=", 10))
	})

	// An engine stops in the middle of everything and keeps its connections open. It
	// finishes nothing, so no finished request ever shows that it is slow; callers are
	// sent into it one after the other.
	It("sends a stalled target a handful of requests at most", func() {
		w := newWorld(plainFleet(4))
		w.stream(300*time.Millisecond, 2*time.Minute, triage)
		w.after(10*time.Second, func() { w.engines["engine-1"].stalled = true })
		w.run(3 * time.Minute)
		Expect(w.count(runs, everybody)).To(BeNumerically("<=", 8))
	})

	// Rulebooks of a hundred times a lookup's length come in a row. A lookup behind one
	// of them waits longer than its caller does; and if lookups always went first, the
	// marshals would never get their briefing.
	It("serves lookups beside rulebooks and starves neither", func() {
		w := newWorld(plainFleet(4))
		w.stream(1500*time.Millisecond, 2*time.Minute, rulebook)
		w.stream(100*time.Millisecond, 2*time.Minute, lookup)
		w.run(4 * time.Minute)
		Expect(w.goodput(shortOnes)).To(BeNumerically(">=", 0.97))
		Expect(w.goodput(ofAccount("marshals"))).To(BeNumerically(">=", 0.9))
	})

	// Demand is twice what the fleet can do for minutes. A fleet that starts everything
	// finishes nothing in time. The triage notes leave letters 0.18 of what they ask for:
	// 900 of the 1,920 slot seconds in two minutes and 960 in the one that follows, at
	// 17 for each of 600 letters.
	It("fills the fleet with work that is in time when saturated, the lowest tier losing first", func() {
		w := newWorld(plainFleet(2))
		w.stream(400*time.Millisecond, 2*time.Minute, triage)
		w.stream(200*time.Millisecond, 2*time.Minute, letter)
		w.run(4 * time.Minute)
		Expect(w.goodput(ofRank(0))).To(BeNumerically(">=", 0.99))
		Expect(w.goodput(ofRank(2))).To(BeNumerically(">", 0.15))
		Expect(w.count(missed, everybody)).To(BeNumerically("<=", len(w.reqs)/50))
	})

	// A refused caller is told when to come back. If that time is a guess, it comes back
	// into the same overload and is refused again.
	It("serves most of those who come back when they were told to", func() {
		w := newWorld(plainFleet(1))
		w.stream(100*time.Millisecond, 20*time.Second, triage)
		w.run(25 * time.Second)
		Expect(w.count(refused, everybody)).To(BeNumerically(">", 20))
		var again []*request
		for _, req := range w.reqs {
			if req.fate == refused && req.ended.After(epoch.Add(15*time.Second)) {
				w.at(req.ended.Add(req.back), func() { again = append(again, w.offer(triage())) })
			}
		}
		w.run(2 * time.Minute)
		served := 0
		for _, req := range again {
			if req.fate == met {
				served++
			}
		}
		Expect(again).NotTo(BeEmpty())
		Expect(float64(served) / float64(len(again))).To(BeNumerically(">=", 0.5))
	})
})

var _ = Describe("a single decision", func() {
	// A caller whose deadline nobody can meet is kept waiting until it has passed, and
	// has no time left to turn elsewhere.
	It("refuses at once what even an idle pool couldn't finish in time", func() {
		w := newWorld(plainFleet(1))
		ask := rulebook()
		ask.Remaining = 2 * time.Second
		req := w.offer(ask)
		Expect(req.fate).To(Equal(refused))
		Expect(req.reason).To(Equal(yuccaqueue.ReasonDeadline))
		Expect(req.back).To(BeZero())
	})

	// A fee charge is cancelled half way for an urgent call; nobody knows whether it was
	// filed, and the member pays twice.
	It("never cancels what may not run again, nor a plain service's call", func() {
		for _, plain := range []bool{false, true} {
			view := plainFleet(1)
			view.PlainService = plain
			view.Targets[0].Slots = 1
			w := newWorld(view)
			ask := letter()
			ask.Idempotent = plain
			running := w.offer(ask)
			w.offer(triage())
			w.run(time.Minute)
			Expect(running.fate).To(Equal(met))
		}
	})

	// A run of a lower tier holds the only place while an urgent call's time runs out.
	// The run goes on to its end, and the crew rolls late.
	It("cancels the run that wastes the least prefill, and not before it has to", func() {
		view := plainFleet(2)
		view.Targets[0].Slots, view.Targets[1].Slots = 1, 1
		w := newWorld(view)
		large := letter()
		large.Prompt, large.Answer, large.Remaining = 8000, 5000, 3*time.Minute
		w.offer(large)
		small := w.offer(func() yuccapool.Ask { ask := large; ask.Prompt = 500; return ask }())
		w.run(5 * time.Second)
		urgent := w.offer(triage())
		w.run(time.Second)
		Expect(small.fate).To(Equal(runs))
		w.run(time.Minute)
		Expect(small.fate).To(Equal(cancelled))
		Expect(small.reason).To(Equal(yuccaqueue.ReasonPreempted))
		Expect(urgent.fate).To(Equal(met))
		Expect(w.wasted).To(BeNumerically("==", 500))
	})

	// A new leader knows nothing of what runs. If it grants at once it fills every
	// target a second time, and urgent requests wait inside the engines.
	It("grants nothing while it gathers, and counts what it is told", func() {
		w := newWorld(plainFleet(1))
		w.lead.HoldGrantsUntil(w.now, w.now.Add(time.Second))
		for at := range 8 {
			ask := letter()
			ask.Idempotent = false
			ask.ID = yuccaid.RequestID([]string{"a", "b", "c", "d", "e", "f", "g", "h"}[at])
			w.lead.AddRunning(w.now, yuccapool.Running{Request: ask, Target: "engine-0", Answered: 10})
		}
		ask := lookup()
		ask.Remaining = 5 * time.Second
		req := w.offer(ask)
		Expect(req.fate).To(Equal(waits))
		w.run(1500 * time.Millisecond)
		Expect(req.fate).To(Equal(waits))
		w.apply(w.lead.RunFinished(w.now, yuccapool.Finished{ID: "c", Target: "engine-0", Ran: true}))
		Expect(req.fate).To(Equal(runs))
	})

	// A target that is about to go is sent new work, and cuts it off when it leaves.
	DescribeTable("sends nothing to a target that leaves",
		func(tell func(*world)) {
			w := newWorld(plainFleet(1))
			tell(w)
			w.lead.ApplyReport(w.now, yuccapool.LoadReport{Target: "engine-0", Age: time.Second})
			Expect(w.offer(lookup()).fate).To(Equal(refused))
		},
		Entry("told by its report", func(w *world) {
			w.lead.ApplyReport(w.now, yuccapool.LoadReport{Target: "engine-0", Leaving: true})
		}),
		Entry("told by its answer", func(w *world) {
			w.lead.RunFinished(w.now, yuccapool.Finished{ID: "x", Target: "engine-0", Refused: true, Leaving: true})
		}),
		Entry("told by the configuration", func(w *world) {
			view := plainFleet(1)
			view.Targets[0].Leaving = true
			w.lead.Configure(w.now, view)
		}),
	)

	// A daemon dies with a run on the engine. The engine knows nothing of it; a leader
	// that frees the place at once sends a request to wait behind the orphan.
	It("keeps a lost owner's place until the target's report or the longest run", func() {
		view := plainFleet(1)
		view.Targets[0].Slots = 1
		view.LongestRun = 30 * time.Second
		for _, reported := range []bool{true, false} {
			w := newWorld(view)
			w.offer(letter())
			w.run(time.Second)
			w.lead.DropOwner(w.now, self)
			other := letter()
			other.ID, other.Owner = "other", yuccaid.NewIncarnation("vm-2", [16]byte{2})
			Expect(w.lead.Submit(w.now, other).Grants).To(BeEmpty())
			if reported {
				dec := w.lead.ApplyReport(w.now, yuccapool.LoadReport{Target: "engine-0"})
				Expect(dec.Grants).To(HaveLen(1))
				continue
			}
			Expect(w.lead.Tick(w.now.Add(20 * time.Second)).Grants).To(BeEmpty())
			Expect(w.lead.Tick(w.now.Add(33 * time.Second)).Grants).To(HaveLen(1))
		}
	})

	// An owner has no use for a grant, or never heard of it. If the place isn't given
	// back, the target idles; if a second offer counts twice, the account is cut short.
	It("takes back an unused grant and repeats a lost one", func() {
		view := plainFleet(1)
		view.Targets[0].Slots = 1
		view.Accounts = map[yuccaid.Account]yuccapool.AccountConfig{"members": {Limits: yuccapool.Limits{RequestsPerSecond: 1}}}
		lead := newWorld(view).lead
		ask := lookup()
		ask.ID = "one"
		Expect(lead.Submit(epoch, ask).Grants).To(HaveLen(1))
		Expect(lead.Submit(epoch, ask).Grants).To(HaveLen(1))
		Expect(lead.RunFinished(epoch, yuccapool.Finished{ID: "one", Target: "engine-0"}).Empty()).To(BeTrue())
		ask.ID = "two"
		Expect(lead.Submit(epoch, ask).Grants).To(HaveLen(1))
	})

	// Two leaders fill one target during a partition, and each wonders at its slowness.
	It("leaves room for what others run on a target, as its report shows", func() {
		view := plainFleet(1)
		w := newWorld(view)
		w.lead.ApplyReport(w.now, yuccapool.LoadReport{Target: "engine-0", Running: 8})
		req := w.offer(lookup())
		Expect(req.fate).To(Equal(waits))
		Expect(w.lead.Tick(w.now.Add(6 * time.Second)).Refusals).To(HaveLen(1))
	})

	// An account is sold a rate. If the limit holds for each daemon alone, it gets seven
	// times that; if one long prompt is larger than a second's tokens, it never runs.
	It("holds an account's limits exactly", func() {
		view := plainFleet(8)
		view.Accounts = map[yuccaid.Account]yuccapool.AccountConfig{
			"rated":  {Limits: yuccapool.Limits{RequestsPerSecond: 5}},
			"few":    {Limits: yuccapool.Limits{Running: 2}},
			"tokens": {Limits: yuccapool.Limits{TokensPerSecond: 1000}},
		}
		w := newWorld(view)
		most := 0
		w.check = func(yuccapool.Decisions) { most = max(most, w.count(runs, ofAccount("few"))) }
		for _, acc := range []yuccaid.Account{"rated", "few", "tokens"} {
			w.stream(50*time.Millisecond, 20*time.Second, func() yuccapool.Ask { return from(acc, lookup()) })
		}
		w.run(time.Minute)
		Expect(w.count(met, ofAccount("rated"))).To(BeNumerically("~", 105, 2))
		Expect(most).To(Equal(2))
		Expect(w.count(met, ofAccount("tokens")) * 220).To(BeNumerically("~", 21_000, 500))
		limited := func(req *request) bool { return req.reason == yuccaqueue.ReasonLimit && req.back > 0 }
		Expect(w.count(refused, limited)).To(BeNumerically(">", 400))
	})
})

var _ = Describe("a target that can't be reached", func() {
	// An engine's process has died. Each request that goes there fails at once, so the
	// engine looks idle, draws the next request too, and callers are refused in a row
	// beside an engine that works.
	It("draws one request and then no more", func() {
		lead := yuccapool.New("draft", yuccaid.Incarnation{VM: "entry-1"}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_700_000_000, 0)
		lead.Configure(now, plainFleet(2))
		failed := make(map[yuccaid.Target]int)
		for i := range 20 {
			now = now.Add(100 * time.Millisecond)
			ask := triage()
			ask.ID = yuccaid.RequestID(fmt.Sprint("r", i))
			for _, grant := range lead.Submit(now, ask).Grants {
				dead := grant.Target == plainFleet(2).Targets[0].Name
				if dead {
					failed[grant.Target]++
				}
				lead.RunFinished(now, yuccapool.Finished{ID: grant.ID, Target: grant.Target, Ran: !dead, Failed: dead})
			}
		}
		for _, times := range failed {
			Expect(times).To(Equal(1))
		}
	})
})

var _ = Describe("engines whose configured speed is a guess", func() {
	// The note says what a prompt of thousands of tokens reaches. Short lookups pay a
	// fixed cost for each step and look many times slower, on every engine alike. If that
	// made stragglers of all of them, callers would wait before idle engines.
	DescribeTable("serve what comes",
		func(fixed time.Duration, real float64, prompt yuccaid.Tokens) {
			lead := yuccapool.New("draft", yuccaid.Incarnation{VM: "entry-1"}, rand.New(rand.NewPCG(1, 2)))
			now := time.Unix(1_700_000_000, 0)
			lead.Configure(now, plainFleet(4))
			ends := map[time.Time][]yuccapool.Finished{}
			served := 0
			const step = 10 * time.Millisecond
			prefill := fixed + time.Duration(float64(prompt)/real*float64(time.Second))
			decode := 400 * time.Millisecond
			take := func(dec yuccapool.Decisions) {
				for _, grant := range dec.Grants {
					at := now.Add((prefill + decode).Truncate(step) + step)
					ends[at] = append(ends[at], yuccapool.Finished{
						ID: grant.ID, Target: grant.Target, Ran: true, Prompt: prompt, Answer: 20, Prefill: prefill, Decode: decode,
					})
				}
			}
			for i := range 3000 {
				now = now.Add(step)
				for _, done := range ends[now] {
					served++
					take(lead.RunFinished(now, done))
				}
				if i%10 == 0 && i < 2000 {
					ask := lookup()
					ask.ID, ask.Prompt, ask.Remaining = yuccaid.RequestID(fmt.Sprint("r", i)), prompt, time.Minute
					take(lead.Submit(now, ask))
				}
				take(lead.Tick(now))
			}
			Expect(served).To(Equal(200))
		},
		Entry("as configured", time.Duration(0), 4000.0, yuccaid.Tokens(100)),
		Entry("with a fixed cost for each prompt", 250*time.Millisecond, 4000.0, yuccaid.Tokens(100)),
		Entry("ten times slower than configured", time.Duration(0), 400.0, yuccaid.Tokens(200)),
	)
})
