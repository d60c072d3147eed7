package yuccagrant

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccaid"
)

// A leader doesn't evaluate targets whose lower bound on the cost exceeds the cost of a suitable
// target that it has found. If such a bound were too high, requests would wait for busy targets while
// others are idle, or be read by targets that don't hold their parts.
func TestBoundsNeverChangeTheChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		lead := New(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed"))))
		var targets []Target
		for i := range rapid.IntRange(1, 8).Draw(rt, "targets") {
			target := Target{
				Name: yuccaid.Target(fmt.Sprint("engine-", i)), Slots: rapid.IntRange(1, 6).Draw(rt, "slots"),
				CacheTokens: 40_000, FetchRate: float64(rapid.SampledFrom([]int{0, 1_000_000}).Draw(rt, "rate")),
			}
			if rapid.Bool().Draw(rt, "away") {
				target.Remote, target.RoundTrip = true, time.Duration(rapid.IntRange(0, 80).Draw(rt, "way"))*time.Millisecond
			}
			targets = append(targets, target)
		}
		lead.SetTargets(now, targets)
		for number := range uint64(rapid.IntRange(0, 60).Draw(rt, "requests")) {
			req := Request{
				ID: ID{Number: number}, Prompt: yuccaid.Tokens(rapid.IntRange(1, 20_000).Draw(rt, "prompt")),
				SoftDeadline: now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "aim")) * time.Millisecond), Deadline: now.Add(10 * time.Second),
			}
			if rapid.Bool().Draw(rt, "parts") {
				shared := req.Prompt * 3 / 4
				req.Parts = []yuccacache.Part{{Hash: rapid.Uint64Range(1, 4).Draw(rt, "part"), Size: int64(shared)}, {Hash: 100 + number, Size: int64(req.Prompt - shared)}}
			}
			if got, want := lead.chooseTarget(now, &req), lead.chooseWithoutBounds(now, &req); got.targetState != want.targetState {
				rt.Fatalf("chose %+v instead of %+v", got, want)
			}
			lead.Submit(now, req)
			if rapid.Bool().Draw(rt, "ends") {
				took := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "took")) * time.Millisecond
				lead.RunFinished(now, Finished{ID: req.ID, Outcome: Served, TimeToFirst: took})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond)
			lead.Tick(now)
		}
	})
}

// chooseWithoutBounds returns what chooseTarget returns if it evaluates all targets.
func (lead *Leader) chooseWithoutBounds(now time.Time, req *Request) choice {
	best := choice{cost: math.MaxInt64}
	base := lead.baseline(now, req)
	for _, tgt := range lead.targets {
		if tgt.grantableSlots(now) > 0 && !tgt.backingOff(now) && !tgt.failedBefore(req) {
			best = best.better(lead.estimate(now, tgt, req, &base))
		}
	}
	if best.targetState == nil && lead.belowShare(now) {
		return lead.chooseWithinShare(now, req, &base)
	}
	return best
}
