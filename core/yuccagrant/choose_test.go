package yuccagrant

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
)

// A leader passes over the targets of other regions once one of its own costs less than any
// of them can. If that limit were too high, requests would wait in a full region beside idle
// engines elsewhere.
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
		lead.Configure(now, targets)
		for number := range uint64(rapid.IntRange(0, 60).Draw(rt, "requests")) {
			ask := Request{
				ID: ID{Number: number}, Prompt: yuccaid.Tokens(rapid.IntRange(1, 20_000).Draw(rt, "prompt")),
				SoftDeadline: now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "aim")) * time.Millisecond), Deadline: now.Add(10 * time.Second),
			}
			if got, want := lead.choose(now, &ask), lead.bestOfAll(now, &ask); got.node != want.node {
				rt.Fatalf("chose %+v instead of %+v", got, want)
			}
			lead.Submit(now, ask)
			if rapid.Bool().Draw(rt, "ends") {
				took := time.Duration(rapid.IntRange(1, 2000).Draw(rt, "took")) * time.Millisecond
				lead.RunFinished(now, Finished{ID: ask.ID, Outcome: Served, TimeToFirst: took})
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "pause")) * time.Millisecond)
			lead.Tick(now)
		}
	})
}

// bestOfAll is choose without the bound.
func (lead *Leader) bestOfAll(now time.Time, ask *Request) choice {
	lead.bound.near = math.MaxInt
	defer lead.bound.configure(lead.nodes)
	return lead.choose(now, ask)
}
