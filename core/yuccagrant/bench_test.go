package yuccagrant_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"yuccacleat/core/yuccacache"
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

// BenchmarkWaiting measures a run's end and the arrival of another request at a leader of 1,800 full
// targets with 3,000 waiting requests, whose prompts share one of a thousand documents.
func BenchmarkWaiting(b *testing.B) {
	lead := yuccagrant.New(rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(1_700_000_000, 0)
	var list []yuccagrant.Target
	for i := range 1800 {
		target := yuccagrant.Target{Name: yuccaid.Target(fmt.Sprintf("engine-%d", i)), Slots: 6, CacheTokens: 476_000, FetchRate: fetchRate}
		if i%14 > 0 {
			target.Remote, target.RoundTrip = true, 60*time.Millisecond
		}
		list = append(list, target)
	}
	lead.SetTargets(now, list)
	number, running := uint64(0), []yuccagrant.ID(nil)
	submit := func() {
		number++
		req := yuccagrant.Request{
			ID: yuccagrant.ID{Number: number}, Prompt: 16_300, Answer: 100, MaxGap: time.Second, SoftDeadline: now.Add(time.Hour), Deadline: now.Add(2 * time.Hour),
			Parts: []yuccacache.Part{{Hash: number * 2654435761 % 1000, Size: documentTokens}, {Hash: 1<<40 + number, Size: 3000}},
		}
		for _, granted := range lead.Submit(now, req).Grants {
			running = append(running, granted.ID)
		}
	}
	for number < 13_500+3000 {
		submit()
	}
	b.ResetTimer()
	for range b.N {
		id := running[0]
		running = running[1:]
		decisions := lead.RunFinished(now, yuccagrant.Finished{ID: id, Outcome: yuccagrant.Served, TimeToFirst: 300 * time.Millisecond, Events: 20, Span: time.Second})
		for _, granted := range decisions.Grants {
			running = append(running, granted.ID)
		}
		submit()
	}
}
