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

// A leader does not look at the targets of other regions once it has found a suitable target of its
// own region whose cost does not exceed remoteBound, the lower bound on the cost of targets in
// other regions. If this bound were too high, requests would wait in a full region while targets in
// other regions are idle.
func TestTheBoundNeverChangesTheChoice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1_700_000_000, 0)
		lead := New(rand.New(rand.NewPCG(1, rapid.Uint64().Draw(rt, "seed"))))
		var targets []Target
		for i := range rapid.IntRange(1, 8).Draw(rt, "targets") {
			target := Target{Name: yuccaid.Target(fmt.Sprint("engine-", i)), Slots: rapid.IntRange(1, 6).Draw(rt, "slots")}
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
			if got, want := lead.chooseTarget(now, &req), lead.chooseWithoutBound(now, &req); got.targetState != want.targetState {
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

// chooseWithoutBound is chooseTarget without remoteBound: all targets are considered.
func (lead *Leader) chooseWithoutBound(now time.Time, req *Request) choice {
	lead.remoteBound.localCount = math.MaxInt
	defer lead.remoteBound.configure(lead.targets)
	return lead.chooseTarget(now, req)
}

// Guards against the failure that a forecast changes which later requests fetch parts, or what a target counts as holding.
func TestForecastKeepsTheGeneration(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	lead := New(rand.New(rand.NewPCG(1, 1)))
	lead.SetTargets(now, []Target{{Name: "engine", Slots: 4, CacheTokens: 20_000}})
	req := Request{Prompt: 4000, Parts: []yuccacache.Part{{Hash: 1, Size: 3000}, {Hash: 2, Size: 1000}}, SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
	lead.Submit(now, req)
	before := lead.generation
	if held := lead.Forecast(now, req).Candidates[0].Held; held != 4000 {
		t.Errorf("the target holds %d tokens, want 4000", held)
	}
	if tgt := lead.targets[0]; lead.generation != before || tgt.heldGeneration > before {
		t.Errorf("generation %d, held of %d, want %d", lead.generation, tgt.heldGeneration, before)
	}
}
