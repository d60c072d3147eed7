package yuccagrant_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaallow"
	"yuccacleat/core/yuccacache"
	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaregion"
)

// forecastTargets are targets of two regions and two versions, of which the last one may be cold.
func forecastTargets() []yuccagrant.Target {
	var list []yuccagrant.Target
	for at := range 6 {
		region := []yuccaid.Region{"coast", "hills"}[at%2]
		list = append(list, yuccagrant.Target{
			Name: yuccaid.Target(fmt.Sprint("engine-", at)), Region: region, Centre: yuccaid.Centre(region) + "-a", Slots: 1 + at%3, Remote: region != "coast",
			CacheTokens: 20_000, FetchRate: 1e6, Version: []yuccaid.Version{"v1", "v2"}[at/3],
		})
	}
	list[5].Budget = yuccacold.Budget{Limit: yuccacold.Limit{Duration: 3 * time.Second, Rate: 2}, PerSecond: 2, WhileCold: true}
	return list
}

// exclusionsOf returns why each target of a forecast can't be used.
func exclusionsOf(forecast yuccagrant.Forecast) map[yuccaid.Target]yuccaallow.Exclusion {
	exclusions := make(map[yuccaid.Target]yuccaallow.Exclusion)
	for _, one := range forecast.Candidates {
		exclusions[one.Target] = one.Exclusion
	}
	return exclusions
}

// drawRequest draws a request that may be limited and has parts that other requests share.
func drawRequest(t *rapid.T, now time.Time, number uint64) yuccagrant.Request {
	req := yuccagrant.Request{
		ID: yuccagrant.ID{Number: number}, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Prompt: 4000, MaxGap: 300 * time.Millisecond,
		SoftDeadline: now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(t, "aim")) * time.Millisecond), Deadline: now.Add(4 * time.Second),
		Parts: []yuccacache.Part{{Hash: rapid.Uint64Range(1, 3).Draw(t, "part"), Size: 3000}, {Hash: 100 + number, Size: 1000}},
	}
	if rapid.Bool().Draw(t, "limited") {
		req.Regions = yuccaregion.Only(rapid.SampledFrom([]yuccaid.Region{"coast", "hills", "plain"}).Draw(t, "region"))
	}
	if rapid.IntRange(0, 3).Draw(t, "bound") == 0 {
		req.Version = rapid.SampledFrom([]yuccaid.Version{"v1", "v3"}).Draw(t, "version")
	}
	return req
}

// finishRun ends a random run of a list, as served after some time or as unreachable, on each of some leaders that have it.
func finishRun(t *rapid.T, now time.Time, took time.Duration, running *[]yuccagrant.ID, leaders ...*yuccagrant.Leader) []yuccagrant.Decisions {
	if len(*running) == 0 {
		return nil
	}
	at := rapid.IntRange(0, len(*running)-1).Draw(t, "run")
	result := yuccagrant.Finished{ID: (*running)[at], TimeToFirst: took, Events: 5, Span: 40 * time.Millisecond}
	if rapid.IntRange(0, 5).Draw(t, "fails") == 0 {
		result = yuccagrant.Finished{ID: result.ID, Outcome: yuccagrant.Unreachable}
	}
	*running = slices.Delete(*running, at, at+1)
	var list []yuccagrant.Decisions
	for _, lead := range leaders {
		list = append(list, lead.RunFinished(now, result))
	}
	return list
}

// Guards against the failure that an operator is told of another target, or another reason, than a request that comes then gets.
func TestForecastIsWhatSubmitDecides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lead := yuccagrant.New(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		now := time.Unix(1_700_000_000, 0)
		lead.SetTargets(now, forecastTargets())
		var running []yuccagrant.ID
		for number := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "millis")) * time.Millisecond)
			lead.Tick(now)
			if rapid.IntRange(0, 2).Draw(t, "step") == 0 {
				finishRun(t, now, 50*time.Millisecond, &running, lead)
			}
			req := drawRequest(t, now, number)
			forecast := lead.Forecast(now, req)
			dec := lead.Submit(now, req)
			switch {
			case len(dec.Grants) > 0:
				grant := dec.Grants[0]
				if forecast.Target != grant.Target || forecast.Refused != "" ||
					forecast.ExpectedTimeToFirst != grant.ExpectedTimeToFirst || forecast.FetchFrom != grant.FetchFrom {
					t.Fatalf("forecast %+v, granted %+v", forecast, grant)
				}
				running = append(running, grant.ID)
			case len(dec.Refusals) > 0:
				if forecast.Target != "" || forecast.Refused != dec.Refusals[0].Reason {
					t.Fatalf("forecast %+v, refused %+v", forecast, dec.Refusals[0])
				}
			case forecast.Target != "" || forecast.Refused != "":
				t.Fatalf("forecast %+v, has to wait", forecast)
			}
			// The next request finds an empty queue.
			lead.Withdraw(now, req.ID)
		}
	})
}

// Guards against the failure that a question changes what later requests get.
func TestForecastChangesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, now := rapid.Uint64().Draw(t, "seed"), time.Unix(1_700_000_000, 0)
		// After fetches that save no time, only one request in some fetches.
		took := rapid.SampledFrom([]time.Duration{50 * time.Millisecond, 3 * time.Second}).Draw(t, "took")
		var leaders [2]*yuccagrant.Leader
		for at := range leaders {
			leaders[at] = yuccagrant.New(rand.New(rand.NewPCG(seed, 1)))
			leaders[at].SetTargets(now, forecastTargets())
		}
		var running []yuccagrant.ID
		compare := func(list []yuccagrant.Decisions) {
			if len(list) == 0 {
				return
			}
			if !reflect.DeepEqual(list[0], list[1]) {
				t.Fatalf("decided %+v, and %+v without questions", list[0], list[1])
			}
			for _, grant := range list[0].Grants {
				running = append(running, grant.ID)
			}
		}
		for number := range uint64(rapid.IntRange(1, 200).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 150).Draw(t, "millis")) * time.Millisecond)
			for range rapid.IntRange(0, 2).Draw(t, "questions") {
				leaders[0].Forecast(now, drawRequest(t, now, 1_000_000))
			}
			if rapid.IntRange(0, 1).Draw(t, "step") == 0 {
				compare(finishRun(t, now, took, &running, leaders[:]...))
			}
			req := drawRequest(t, now, number)
			compare([]yuccagrant.Decisions{leaders[0].Submit(now, req), leaders[1].Submit(now, req)})
			compare([]yuccagrant.Decisions{leaders[0].Tick(now), leaders[1].Tick(now)})
		}
	})
}

var _ = Describe("a forecast", func() {
	// Guards against the failure that an operator isn't told why a target is passed over.
	It("tells why each target can't be used", func() {
		now := time.Unix(1_700_000_000, 0)
		lead := yuccagrant.New(rand.New(rand.NewPCG(1, 1)))
		lead.SetTargets(now, forecastTargets())
		// Two runs fill engine-0, which has one slot and takes one request beyond it.
		for number := range uint64(2) {
			dec := lead.Submit(now, yuccagrant.Request{
				ID: yuccagrant.ID{Number: number}, Regions: yuccaregion.Only("coast"), Version: "v1", FailedTargets: []yuccaid.Target{"engine-2"},
				SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute),
			})
			Expect(dec.Grants).To(HaveLen(1))
		}
		req := yuccagrant.Request{
			ID: yuccagrant.ID{Number: 9}, Regions: yuccaregion.Only("coast"), Version: "v1", FailedTargets: []yuccaid.Target{"engine-2"},
			SoftDeadline: now.Add(time.Minute), Deadline: now.Add(time.Minute),
		}
		forecast := lead.Forecast(now, req)
		Expect(exclusionsOf(forecast)).To(Equal(map[yuccaid.Target]yuccaallow.Exclusion{
			"engine-0": yuccagrant.Full, "engine-1": yuccaallow.OtherRegion, "engine-2": yuccaallow.FailedBefore,
			"engine-3": yuccaallow.OtherRegion, "engine-4": yuccaallow.OtherVersion, "engine-5": yuccaallow.OtherRegion,
		}))
		Expect(forecast.Target).To(BeEmpty())
		Expect(forecast.Refused).To(BeEmpty())
		req.FailedTargets = nil
		Expect(lead.Forecast(now, req).Target).To(Equal(yuccaid.Target("engine-2")))
		req.Regions = yuccaregion.Only("plain")
		now = now.Add(time.Hour)
		Expect(lead.Forecast(now, req).Refused).To(Equal(yuccagrant.ReasonNoRegion))
	})
})
