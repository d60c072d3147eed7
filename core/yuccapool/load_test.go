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

// triage is an urgent request: a triage note of a hotline.
func triage() yuccapool.Request {
	return yuccapool.Request{Account: "hotline", Rank: 0, Idempotent: true, Remaining: 10 * time.Second, Prompt: 2000, Answer: 150}
}

// letter is a request of the lowest tier with a long answer and a late deadline.
func letter() yuccapool.Request {
	return yuccapool.Request{Account: "office", Rank: 2, Idempotent: true, Remaining: time.Minute, Prompt: 4000, Answer: 800}
}

// lookup is a short request of the middle tier with an early deadline.
func lookup() yuccapool.Request {
	return yuccapool.Request{Account: "members", Rank: 1, Idempotent: true, Remaining: 2 * time.Second, Prompt: 200, Answer: 20}
}

// rulebook is a request of the middle tier with a prompt a hundred times as long as a
// lookup's.
func rulebook() yuccapool.Request {
	return yuccapool.Request{Account: "marshals", Rank: 1, Idempotent: true, Remaining: 90 * time.Second, Prompt: 20_000, Answer: 300}
}

func withAccount(acc yuccaid.Account, msg yuccapool.Request) yuccapool.Request {
	msg.Account = acc
	return msg
}

func ofAccount(acc yuccaid.Account) func(*request) bool {
	return func(req *request) bool { return req.Account == acc }
}

func isShort(req *request) bool { return req.Prompt < 1000 }

func configWithFleet(n int) yuccapool.PoolConfig { return yuccapool.PoolConfig{Targets: fleet(n)} }

var _ = Describe("callers under load", func() {
	// Four times the usual number of urgent requests (triage notes) arrive for twenty
	// seconds, as in a storm, while low-tier requests (letters) fill the engines. Unless
	// the leader orders them, the urgent requests wait behind letters and miss their
	// deadlines.
	It("serves every urgent request through a burst, whatever else runs", func() {
		sim := newSimulation(configWithFleet(4))
		sim.stream(250*time.Millisecond, 60*time.Second, letter)
		sim.stream(800*time.Millisecond, 60*time.Second, triage)
		sim.after(20*time.Second, func() { sim.stream(200*time.Millisecond, 20*time.Second, triage) })
		sim.run(3 * time.Minute)
		Expect(sim.goodput(ofRank(0))).To(BeNumerically(">=", 0.99))
	})

	// One account, a script, sends more than ten times as many requests (one every 60 ms)
	// as a small account (one every 2 s). The requests of the small account must not wait
	// behind those of the script.
	It("keeps a small account served beside a large one in the same tier", func() {
		sim := newSimulation(configWithFleet(2))
		sim.stream(60*time.Millisecond, 60*time.Second, func() yuccapool.Request { return withAccount("script", triage()) })
		sim.stream(2*time.Second, 60*time.Second, func() yuccapool.Request { return withAccount("small", triage()) })
		sim.run(2 * time.Minute)
		Expect(sim.goodput(ofAccount("script"))).To(BeNumerically("<", 0.5))
		Expect(sim.goodput(ofAccount("small"))).To(BeNumerically(">=", 0.95))
	})

	// An engine becomes eight times slower and reports no error. Requests that are
	// still sent there miss their deadlines while other engines have free slots.
	It("sends a slow target little work until it has recovered", func() {
		sim := newSimulation(configWithFleet(4))
		sim.stream(150*time.Millisecond, 5*time.Minute, triage)
		sim.after(10*time.Second, func() { sim.engines["engine-0"].slowdown = 8 })
		sim.after(90*time.Second, func() { sim.engines["engine-0"].slowdown = 1 })
		sim.after(200*time.Second, func() { sim.stream(500*time.Millisecond, 100*time.Second, triage) })
		sim.run(6 * time.Minute)
		Expect(sim.count(outcomeMissed, anyRequest)).To(BeNumerically("<=", 4))
		Expect(sim.goodput(anyRequest)).To(BeNumerically(">=", 0.98))
		onRecovered := func(req *request) bool {
			return req.engine != nil && req.engine.Name == "engine-0" && req.startedAt.After(epoch.Add(200*time.Second))
		}
		Expect(sim.count(outcomeMet, onRecovered)).To(BeNumerically(">=", 10))
	})

	// An engine stops making progress and keeps its connections open. Because it
	// finishes nothing, no finished request shows that it is slow. Without another sign
	// of a stall, one request after the other would be sent to it.
	It("sends a stalled target a handful of requests at most", func() {
		sim := newSimulation(configWithFleet(4))
		sim.stream(300*time.Millisecond, 2*time.Minute, triage)
		sim.after(10*time.Second, func() { sim.engines["engine-1"].stalled = true })
		sim.run(3 * time.Minute)
		Expect(sim.count(outcomeRunning, anyRequest)).To(BeNumerically("<=", 8))
	})

	// Prompts a hundred times as long as a lookup arrive one after the other. A lookup
	// that waits behind a long prompt misses its deadline. But if lookups always went
	// first, the long prompts would starve.
	It("serves short lookups beside long rulebooks and starves neither", func() {
		sim := newSimulation(configWithFleet(4))
		sim.stream(1500*time.Millisecond, 2*time.Minute, rulebook)
		sim.stream(100*time.Millisecond, 2*time.Minute, lookup)
		sim.run(4 * time.Minute)
		Expect(sim.goodput(isShort)).To(BeNumerically(">=", 0.97))
		Expect(sim.goodput(ofAccount("marshals"))).To(BeNumerically(">=", 0.9))
	})

	// Demand is twice the capacity for minutes; a leader that granted everything would
	// finish nothing in time. Urgent requests leave letters 0.18 of the capacity that the
	// letters need: 900 of the 1,920 slot seconds in two minutes and 960 in the following
	// minute, while each of the 600 letters takes 17 slot seconds.
	It("when saturated, fills the fleet with requests that meet their deadline, and the lowest tier loses first", func() {
		sim := newSimulation(configWithFleet(2))
		sim.stream(400*time.Millisecond, 2*time.Minute, triage)
		sim.stream(200*time.Millisecond, 2*time.Minute, letter)
		sim.run(4 * time.Minute)
		Expect(sim.goodput(ofRank(0))).To(BeNumerically(">=", 0.99))
		Expect(sim.goodput(ofRank(2))).To(BeNumerically(">", 0.15))
		Expect(sim.count(outcomeMissed, anyRequest)).To(BeNumerically("<=", len(sim.reqs)/50))
	})

	// If the retry-after time of a refusal is a guess, the caller retries into the same
	// overload and is refused again.
	It("serves most callers that retry after the time given in the refusal", func() {
		sim := newSimulation(configWithFleet(1))
		sim.stream(100*time.Millisecond, 20*time.Second, triage)
		sim.run(25 * time.Second)
		Expect(sim.count(outcomeRefused, anyRequest)).To(BeNumerically(">", 20))
		var retries []*request
		for _, req := range sim.reqs {
			if req.outcome == outcomeRefused && req.endedAt.After(epoch.Add(15*time.Second)) {
				sim.at(req.endedAt.Add(req.retryAfter), func() { retries = append(retries, sim.submit(triage())) })
			}
		}
		sim.run(2 * time.Minute)
		served := 0
		for _, req := range retries {
			if req.outcome == outcomeMet {
				served++
			}
		}
		Expect(retries).NotTo(BeEmpty())
		Expect(float64(served) / float64(len(retries))).To(BeNumerically(">=", 0.5))
	})
})

var _ = Describe("a single decision", func() {
	// Guards against a request whose deadline no target can meet and which nevertheless
	// waits until the deadline has passed: its caller has no time left to try elsewhere.
	It("refuses at once what even an idle pool couldn't finish in time", func() {
		sim := newSimulation(configWithFleet(1))
		msg := rulebook()
		msg.Remaining = 2 * time.Second
		req := sim.submit(msg)
		Expect(req.outcome).To(Equal(outcomeRefused))
		Expect(req.reason).To(Equal(yuccaqueue.ReasonDeadline))
		Expect(req.retryAfter).To(BeZero())
	})

	// If a run that is not idempotent is cancelled, it is unknown whether its effect
	// took place, and a retry may repeat it.
	It("never cancels a run that is not idempotent, nor a call of a plain service", func() {
		for _, plain := range []bool{false, true} {
			config := configWithFleet(1)
			config.PlainService = plain
			config.Targets[0].Slots = 1
			sim := newSimulation(config)
			msg := letter()
			msg.Idempotent = plain
			running := sim.submit(msg)
			sim.submit(triage())
			sim.run(time.Minute)
			Expect(running.outcome).To(Equal(outcomeMet))
		}
	})

	// Guards against an urgent request that misses its deadline because runs of a lower
	// tier hold all slots and continue to their end. Also guards against cancelling the
	// run whose prefill took longer than that of another run, or a run that might still
	// have finished by itself.
	It("cancels the run that wastes the least prefill, at the last moment that helps", func() {
		config := configWithFleet(2)
		config.Targets[0].Slots, config.Targets[1].Slots = 1, 1
		sim := newSimulation(config)
		large := letter()
		large.Prompt, large.Answer, large.Remaining = 8000, 5000, 3*time.Minute
		sim.submit(large)
		small := sim.submit(func() yuccapool.Request { msg := large; msg.Prompt = 500; return msg }())
		sim.run(5 * time.Second)
		urgent := sim.submit(triage())
		sim.run(time.Second)
		Expect(small.outcome).To(Equal(outcomeRunning))
		sim.run(time.Minute)
		Expect(small.outcome).To(Equal(outcomeCancelled))
		Expect(small.reason).To(Equal(yuccaqueue.ReasonPreempted))
		Expect(urgent.outcome).To(Equal(outcomeMet))
		Expect(sim.wasted).To(BeNumerically("==", 500))
	})

	// A new leader does not know what runs. If it grants at once, it fills every target
	// a second time, and urgent requests wait inside the engines.
	It("grants nothing while it gathers, and counts the runs that owners report", func() {
		sim := newSimulation(configWithFleet(1))
		sim.lead.HoldGrantsUntil(sim.now, sim.now.Add(time.Second))
		for at := range 8 {
			msg := letter()
			msg.Idempotent = false
			msg.ID = yuccaid.RequestID([]string{"a", "b", "c", "d", "e", "f", "g", "h"}[at])
			sim.lead.AddRunning(sim.now, yuccapool.Running{Request: msg, Target: "engine-0", Answered: 10})
		}
		msg := lookup()
		msg.Remaining = 5 * time.Second
		req := sim.submit(msg)
		Expect(req.outcome).To(Equal(outcomeWaiting))
		sim.run(1500 * time.Millisecond)
		Expect(req.outcome).To(Equal(outcomeWaiting))
		sim.apply(sim.lead.RunFinished(sim.now, yuccapool.Finished{ID: "c", Target: "engine-0", Ran: true}))
		Expect(req.outcome).To(Equal(outcomeRunning))
	})

	// Guards against sending new requests to a target that is about to leave. When the
	// target leaves, it cuts these requests off.
	DescribeTable("sends nothing to a target that leaves",
		func(announce func(*simulation)) {
			sim := newSimulation(configWithFleet(1))
			announce(sim)
			sim.lead.ApplyReport(sim.now, yuccapool.LoadReport{Target: "engine-0", Age: time.Second})
			Expect(sim.submit(lookup()).outcome).To(Equal(outcomeRefused))
		},
		Entry("reported by the target", func(sim *simulation) {
			sim.lead.ApplyReport(sim.now, yuccapool.LoadReport{Target: "engine-0", Leaving: true})
		}),
		Entry("stated in a refusal by the target", func(sim *simulation) {
			sim.lead.RunFinished(sim.now, yuccapool.Finished{ID: "x", Target: "engine-0", Refused: true, Leaving: true})
		}),
		Entry("set in the configuration", func(sim *simulation) {
			config := configWithFleet(1)
			config.Targets[0].Leaving = true
			sim.lead.Configure(sim.now, config)
		}),
	)

	// A daemon dies while its run continues on the engine. If the leader freed the slot
	// at once, the next request would wait behind that run.
	It("keeps the slot of a lost owner until the target's report or the longest run ends it", func() {
		config := configWithFleet(1)
		config.Targets[0].Slots = 1
		config.LongestRun = 30 * time.Second
		for _, reported := range []bool{true, false} {
			sim := newSimulation(config)
			sim.submit(letter())
			sim.run(time.Second)
			sim.lead.DropOwner(sim.now, self)
			other := letter()
			other.ID, other.Owner = "other", yuccaid.NewIncarnation("vm-2", [16]byte{2})
			Expect(sim.lead.Submit(sim.now, other).Grants).To(BeEmpty())
			if reported {
				dec := sim.lead.ApplyReport(sim.now, yuccapool.LoadReport{Target: "engine-0"})
				Expect(dec.Grants).To(HaveLen(1))
				continue
			}
			Expect(sim.lead.Tick(sim.now.Add(20 * time.Second)).Grants).To(BeEmpty())
			Expect(sim.lead.Tick(sim.now.Add(33 * time.Second)).Grants).To(HaveLen(1))
		}
	})

	// An owner does not use a grant, or never receives it and submits the request again.
	// If the slot were not freed, the target would idle; if the second submission were
	// charged too, the account would reach its rate limit too early.
	It("frees the slot of an unused grant and repeats a lost grant", func() {
		config := configWithFleet(1)
		config.Targets[0].Slots = 1
		config.Accounts = map[yuccaid.Account]yuccapool.AccountConfig{"members": {Limits: yuccapool.Limits{RequestsPerSecond: 1}}}
		lead := newSimulation(config).lead
		msg := lookup()
		msg.ID = "one"
		Expect(lead.Submit(epoch, msg).Grants).To(HaveLen(1))
		Expect(lead.Submit(epoch, msg).Grants).To(HaveLen(1))
		Expect(lead.RunFinished(epoch, yuccapool.Finished{ID: "one", Target: "engine-0"}).Empty()).To(BeTrue())
		msg.ID = "two"
		Expect(lead.Submit(epoch, msg).Grants).To(HaveLen(1))
	})

	// During a partition two leaders fill the same target. If neither leader counted the
	// other leader's runs, each would see only that the target is slow.
	It("counts runs of other leaders that a target's report shows", func() {
		config := configWithFleet(1)
		sim := newSimulation(config)
		sim.lead.ApplyReport(sim.now, yuccapool.LoadReport{Target: "engine-0", Running: 8})
		req := sim.submit(lookup())
		Expect(req.outcome).To(Equal(outcomeWaiting))
		Expect(sim.lead.Tick(sim.now.Add(6 * time.Second)).Refusals).To(HaveLen(1))
	})

	// If each of seven daemons enforced an account's rate alone, the account would get
	// seven times its rate. If a prompt larger than a second's tokens were always
	// refused, it would never run.
	It("enforces an account's limits exactly", func() {
		config := configWithFleet(8)
		config.Accounts = map[yuccaid.Account]yuccapool.AccountConfig{
			"rated":  {Limits: yuccapool.Limits{RequestsPerSecond: 5}},
			"few":    {Limits: yuccapool.Limits{Running: 2}},
			"tokens": {Limits: yuccapool.Limits{TokensPerSecond: 1000}},
		}
		sim := newSimulation(config)
		maxRunning := 0
		sim.check = func(yuccapool.Decisions) { maxRunning = max(maxRunning, sim.count(outcomeRunning, ofAccount("few"))) }
		for _, acc := range []yuccaid.Account{"rated", "few", "tokens"} {
			sim.stream(50*time.Millisecond, 20*time.Second, func() yuccapool.Request { return withAccount(acc, lookup()) })
		}
		sim.run(time.Minute)
		// Each rate allows 20 seconds' worth and a burst of one second's worth; a lookup
		// has 220 tokens.
		Expect(sim.count(outcomeMet, ofAccount("rated"))).To(BeNumerically("~", 105, 2))
		Expect(maxRunning).To(Equal(2))
		Expect(sim.count(outcomeMet, ofAccount("tokens")) * 220).To(BeNumerically("~", 21_000, 500))
		limited := func(req *request) bool { return req.reason == yuccaqueue.ReasonLimit && req.retryAfter > 0 }
		Expect(sim.count(outcomeRefused, limited)).To(BeNumerically(">", 400))
	})
})

var _ = Describe("a target that can't be reached", func() {
	// The process of an engine has died. Each request sent there fails at once, so the
	// engine looks idle, and the next request would be sent there too. Callers would be
	// refused one after the other while another engine works.
	It("is sent one request and then no more", func() {
		lead := yuccapool.New("draft", yuccaid.Incarnation{VM: "entry-1"}, rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_700_000_000, 0)
		lead.Configure(now, configWithFleet(2))
		failures := make(map[yuccaid.Target]int)
		for i := range 20 {
			now = now.Add(100 * time.Millisecond)
			msg := triage()
			msg.ID = yuccaid.RequestID(fmt.Sprint("r", i))
			for _, grant := range lead.Submit(now, msg).Grants {
				dead := grant.Target == configWithFleet(2).Targets[0].Name
				if dead {
					failures[grant.Target]++
				}
				lead.RunFinished(now, yuccapool.Finished{ID: grant.ID, Target: grant.Target, Ran: !dead, Failed: dead})
			}
		}
		for _, count := range failures {
			Expect(count).To(Equal(1))
		}
	})
})

var _ = Describe("engines whose configured speed is only an estimate", func() {
	// The configuration states the speed for prompts of thousands of tokens. Short
	// lookups have a fixed cost for each step, so all engines alike look many times
	// slower than configured. If all engines counted as stragglers, callers would wait
	// while the engines idle.
	DescribeTable("serve all requests",
		func(fixedCost time.Duration, prefillRate float64, prompt yuccaid.Tokens) {
			lead := yuccapool.New("draft", yuccaid.Incarnation{VM: "entry-1"}, rand.New(rand.NewPCG(1, 2)))
			now := time.Unix(1_700_000_000, 0)
			lead.Configure(now, configWithFleet(4))
			finishedAt := map[time.Time][]yuccapool.Finished{}
			served := 0
			const step = 10 * time.Millisecond
			prefill := fixedCost + time.Duration(float64(prompt)/prefillRate*float64(time.Second))
			decode := 400 * time.Millisecond
			collect := func(dec yuccapool.Decisions) {
				for _, grant := range dec.Grants {
					at := now.Add((prefill + decode).Truncate(step) + step)
					finishedAt[at] = append(finishedAt[at], yuccapool.Finished{
						ID: grant.ID, Target: grant.Target, Ran: true, Prompt: prompt, Answer: 20, Prefill: prefill, Decode: decode,
					})
				}
			}
			for i := range 3000 {
				now = now.Add(step)
				for _, done := range finishedAt[now] {
					served++
					collect(lead.RunFinished(now, done))
				}
				if i%10 == 0 && i < 2000 {
					msg := lookup()
					msg.ID, msg.Prompt, msg.Remaining = yuccaid.RequestID(fmt.Sprint("r", i)), prompt, time.Minute
					collect(lead.Submit(now, msg))
				}
				collect(lead.Tick(now))
			}
			Expect(served).To(Equal(200))
		},
		Entry("as configured", time.Duration(0), 4000.0, yuccaid.Tokens(100)),
		Entry("with a fixed cost for each prompt", 250*time.Millisecond, 4000.0, yuccaid.Tokens(100)),
		Entry("ten times slower than configured", time.Duration(0), 400.0, yuccaid.Tokens(200)),
	)
})
