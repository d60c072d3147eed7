package yuccapool_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccaqueue"
)

// bench is a leader whose targets are full and whose queue holds a constant number of
// requests: each step finishes one run, which frees a slot for a waiting request, and
// submits a new request.
type bench struct {
	lead     *yuccapool.Leader
	now      time.Time
	accounts int
	next     int
	granted  []yuccapool.Grant
	running  []yuccapool.Grant
}

func newBench(waiting, targets, accounts int) *bench {
	config := yuccapool.PoolConfig{Targets: fleet(targets), Accounts: map[yuccaid.Account]yuccapool.AccountConfig{}}
	for i := range accounts {
		config.Accounts[benchAccount(i)] = yuccapool.AccountConfig{Weight: 1 + i%3}
	}
	bounds := yuccaqueue.BoundsFor(10*waiting+1000, 1<<50)
	bounds.AccountRequests = bounds.Requests
	queue := yuccapool.WithQueue(yuccaqueue.WithBounds(bounds))
	bn := &bench{
		lead:     yuccapool.New("drafts", self, rand.New(rand.NewPCG(1, 2)), queue, noSharing),
		now:      epoch,
		accounts: accounts,
	}
	bn.lead.Configure(bn.now, config)
	for range 10 * targets {
		bn.now = bn.now.Add(time.Millisecond)
		bn.submit()
		bn.reportFirstTokens()
	}
	for range waiting {
		bn.submit()
	}
	return bn
}

func benchAccount(i int) yuccaid.Account {
	return yuccaid.Account(fmt.Sprintf("account-%d", i))
}

func (bn *bench) collect(dec yuccapool.Decisions) { bn.granted = append(bn.granted, dec.Grants...) }

func (bn *bench) submit() {
	bn.next++
	req := yuccapool.Request{
		ID: yuccaid.RequestID(fmt.Sprintf("r%d", bn.next)), Owner: self, Tier: "tier", Rank: bn.next % 3,
		Account: benchAccount(bn.next % bn.accounts), Idempotent: true, Remaining: time.Hour,
		Prompt: 500, Answer: 100, Prefixes: []uint64{uint64(bn.next % 50)},
	}
	bn.collect(bn.lead.Submit(bn.now, req))
}

// reportFirstTokens reports the first token of every granted run.
func (bn *bench) reportFirstTokens() {
	for len(bn.granted) > 0 {
		grant := bn.granted[0]
		bn.granted = append(bn.granted[:0], bn.granted[1:]...)
		bn.running = append(bn.running, grant)
		bn.collect(bn.lead.RunProgressed(bn.now, yuccapool.Progress{ID: grant.ID, FirstToken: true}))
	}
}

// step makes the leader decide three times: on a finished run, a first token and a new
// request.
func (bn *bench) step() {
	bn.now = bn.now.Add(time.Millisecond)
	index := bn.next % len(bn.running)
	done := bn.running[index]
	bn.running[index] = bn.running[len(bn.running)-1]
	bn.running = bn.running[:len(bn.running)-1]
	bn.collect(bn.lead.RunFinished(bn.now, yuccapool.Finished{
		ID: done.ID, Target: done.Target, Ran: true, Prompt: 500, Cached: 256, Answer: 100,
		Prefill: 50 * time.Millisecond, Decode: 2 * time.Second,
	}))
	bn.reportFirstTokens()
	bn.submit()
	bn.reportFirstTokens()
}

// stepDecisions is the number of decisions in one step.
const stepDecisions = 3

func BenchmarkDecisions(b *testing.B) {
	for _, size := range [][3]int{
		{100, 128, 100},
		{2000, 128, 100},
		{10_000, 128, 100},
		{100_000, 128, 100},
		{2000, 4, 100},
		{2000, 1800, 100},
		{2000, 128, 5},
		{2000, 128, 1600},
	} {
		b.Run(fmt.Sprintf("waiting=%d/targets=%d/accounts=%d", size[0], size[1], size[2]), func(b *testing.B) {
			bn := newBench(size[0], size[1], size[2])
			b.ReportAllocs()
			for b.Loop() {
				bn.step()
			}
			b.ReportMetric(float64(stepDecisions*b.N)/b.Elapsed().Seconds(), "decisions/s")
		})
	}
}

var _ = Describe("the cost of a decision", func() {
	// In a long outage of the targets the queue grows a thousandfold. If the
	// allocations of a decision grew with the queue, the leader would fall behind.
	It("allocates no more with many waiting, targets or accounts than with few", func() {
		cost := func(waiting, targets, accounts int) float64 {
			bn := newBench(waiting, targets, accounts)
			// The leader allocates once for each account in each tier when it first
			// sees them; these allocations are not part of the steady state.
			for range 3 * accounts {
				bn.step()
			}
			return testing.AllocsPerRun(200, bn.step) / stepDecisions
		}
		few := cost(100, 4, 5)
		Expect(few).To(BeNumerically("<=", 8))
		Expect(cost(20_000, 4, 5)).To(BeNumerically("<=", few+1))
		Expect(cost(100, 200, 5)).To(BeNumerically("<=", few+1))
		Expect(cost(2000, 4, 1600)).To(BeNumerically("<=", few+1))
	})
})
