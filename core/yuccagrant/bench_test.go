package yuccagrant_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
)

// BenchmarkFleet measures a request from submission to finish, and a Tick, for a leader with
// many targets, a third of which are in its own region.
func BenchmarkFleet(b *testing.B) {
	for _, targets := range []int{300, 3000} {
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 2)))
		now := time.Unix(1_700_000_000, 0)
		var list []yuccagrant.Target
		for i := range targets {
			target := yuccagrant.Target{Name: yuccaid.Target(fmt.Sprintf("engine-%d", i)), Slots: 6}
			if i%3 > 0 {
				target.Remote, target.RoundTrip = true, 60*time.Millisecond
			}
			list = append(list, target)
		}
		lead.SetTargets(now, list)
		number := uint64(0)
		serve := func() {
			number++
			id := yuccagrant.ID{Number: number}
			lead.Submit(now, yuccagrant.Request{ID: id, Prompt: 400, SoftDeadline: now.Add(time.Second), Deadline: now.Add(4 * time.Second)})
			lead.RunFinished(now, yuccagrant.Finished{ID: id, Outcome: yuccagrant.Served, TimeToFirst: 100 * time.Millisecond})
		}
		for range 10_000 {
			serve()
		}
		b.Run(fmt.Sprintf("request/%d", targets), func(b *testing.B) {
			for range b.N {
				serve()
			}
		})
		b.Run(fmt.Sprintf("tick/%d", targets), func(b *testing.B) {
			for range b.N {
				lead.Tick(now)
			}
		})
	}
}
