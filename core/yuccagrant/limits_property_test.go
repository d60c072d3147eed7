package yuccagrant_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// Guards against the failure that a request is granted, or fetches from, a target that it may not use, or waits beyond its deadline.
func TestGrantsKeepToTheLimits(t *testing.T) {
	regions := []yuccaid.Region{"coast", "hills", "plain"}
	var all []yuccagrant.Target
	for at := range 9 {
		region := regions[at%len(regions)]
		all = append(all, yuccagrant.Target{
			Name: yuccaid.Target(fmt.Sprintf("engine-%d", at)), Region: region, Centre: yuccaid.Centre(region) + "-a", Slots: 1 + at%3, Remote: region != "coast",
			CacheTokens: 20_000, FetchRate: 1e6, Version: []yuccaid.Version{"v1", "v2"}[at/len(regions)%2],
		})
	}
	rapid.Check(t, func(t *rapid.T) {
		lead := yuccagrant.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Unix(1_700_000_000, 0)
		listed := make(map[yuccaid.Target]yuccagrant.Target)
		waiting := make(map[yuccagrant.ID]yuccagrant.Request)
		var running []yuccagrant.ID
		apply := func(dec yuccagrant.Decisions) {
			for _, grant := range dec.Grants {
				req, known := waiting[grant.ID]
				if !known {
					t.Fatalf("%v was granted %s twice, or never asked", grant.ID, grant.Target)
				}
				delete(waiting, grant.ID)
				running = append(running, grant.ID)
				target, found := listed[grant.Target]
				if !found || !req.Regions.Allows(target.Region) || req.Version != "" && req.Version != target.Version || slices.Contains(req.FailedTargets, target.Name) {
					t.Fatalf("a request limited to %v and version %q that failed on %v was granted %s in %s of version %s",
						req.Regions, req.Version, req.FailedTargets, grant.Target, target.Region, target.Version)
				}
				if from := listed[grant.FetchFrom]; grant.FetchFrom != "" && !req.Regions.Allows(from.Region) {
					t.Fatalf("a request limited to %v fetches from %s in %q", req.Regions, grant.FetchFrom, from.Region)
				}
			}
			for _, refusal := range dec.Refusals {
				if _, known := waiting[refusal.ID]; !known || refusal.RetryAfter <= 0 {
					t.Fatalf("refused %+v, known: %t", refusal, known)
				}
				delete(waiting, refusal.ID)
			}
		}
		setTargets := func() {
			present := slices.DeleteFunc(slices.Clone(all), func(yuccagrant.Target) bool { return rapid.IntRange(0, 3).Draw(t, "gone") == 0 })
			evacuated := make(map[yuccaid.Centre]bool)
			if rapid.Bool().Draw(t, "evacuated") {
				evacuated[rapid.SampledFrom(all).Draw(t, "where").Centre] = true
			}
			present = slices.DeleteFunc(present, func(target yuccagrant.Target) bool { return evacuated[target.Centre] })
			clear(listed)
			for _, target := range present {
				listed[target.Name] = target
			}
			lead.SetEvacuated(evacuated)
			apply(lead.SetTargets(now, present))
		}
		setTargets()
		for number := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				setTargets()
			case 1, 2, 3:
				if len(running) > 0 {
					at := rapid.IntRange(0, len(running)-1).Draw(t, "run")
					apply(lead.RunFinished(now, yuccagrant.Finished{ID: running[at], TimeToFirst: 50 * time.Millisecond, Events: 5, Span: 40 * time.Millisecond}))
					running = slices.Delete(running, at, at+1)
				}
			default:
				req := yuccagrant.Request{ID: yuccagrant.ID{Owner: owner, Number: number}, Prompt: 4000, SoftDeadline: now.Add(time.Second), Deadline: now.Add(3 * time.Second)}
				req.Parts = []yuccacache.Part{{Hash: rapid.Uint64Range(1, 3).Draw(t, "part"), Size: 3000}, {Hash: 100 + number, Size: 1000}}
				if rapid.Bool().Draw(t, "limited") {
					req.Regions = yuccaregion.Only(rapid.SliceOfN(rapid.SampledFrom(regions), 0, 2).Draw(t, "regions")...)
				}
				if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
					req.Version = "v1"
				}
				if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
					req.FailedTargets = []yuccaid.Target{rapid.SampledFrom(all).Draw(t, "on").Name}
				}
				waiting[req.ID] = req
				apply(lead.Submit(now, req))
			}
			apply(lead.Tick(now))
			for id, req := range waiting {
				if !lead.IsWaiting(id) || now.After(req.Deadline) {
					t.Fatalf("%v waits beyond its deadline, or is forgotten", id)
				}
			}
			if lead.QueueLength() != len(waiting) {
				t.Fatalf("%d requests wait, and these should: %v", lead.QueueLength(), slices.Collect(maps.Keys(waiting)))
			}
		}
	})
}
