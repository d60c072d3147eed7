package yuccaplace_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaplace"
)

func TestYuccaplace(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaplace")
}

var epoch = time.Unix(1_000_000, 0)

func twoTargets(first, second yuccaid.TokenRate) (*yuccaplace.Placer, *yuccaplace.TargetSet) {
	placer := yuccaplace.New()
	placer.Configure(yuccaplace.Policy{}, false, []yuccaplace.Target{
		{Name: "one", Slots: 4, Prefill: first, Decode: 50, Cache: 20_000},
		{Name: "two", Slots: 4, Prefill: second, Decode: 50, Cache: 20_000},
	})
	return placer, placer.NewTargetSet(nil)
}

func request(prompt yuccaid.Tokens, hashes ...uint64) *yuccaplace.Request {
	return &yuccaplace.Request{Prompt: prompt, Answer: 50, BlockHashes: hashes, Deadline: epoch.Add(time.Minute)}
}

func chosen(placer *yuccaplace.Placer, set *yuccaplace.TargetSet, req *yuccaplace.Request) yuccaid.Target {
	choice, verdict := placer.Choose(epoch, set, req)
	Expect(verdict).To(Equal(yuccaplace.Found))
	return choice.TargetState.Target.Name
}

// prefixes returns the hashes of a prompt of n blocks, beginning with the hash from.
func prefixes(from, n uint64) []uint64 {
	var list []uint64
	for at := range n {
		list = append(list, from+at)
	}
	return list
}

// runOnce starts a run on a target and finishes it at once, so the target's cache model
// holds the prompt's blocks.
func runOnce(placer *yuccaplace.Placer, name yuccaid.Target, hashes []uint64) {
	state, _ := placer.TargetState(name)
	run := &yuccaplace.Run{Prompt: 100}
	placer.StartRun(epoch, state, run, hashes)
	placer.FinishPrefill(epoch, run)
	placer.ReleaseRun(epoch, run)
}

func ExamplePlacer_Choose() {
	placer, set := twoTargets(1000, 4000)
	choice, _ := placer.Choose(epoch, set, request(2000))
	fmt.Println(choice.TargetState.Target.Name, choice.Finish.Round(100*time.Millisecond))
	// Output: two 1.5s
}

var _ = Describe("a placer", func() {
	// Guards against sending a prompt to another target than the one that holds it: the
	// prompt would be computed again while the caller waits, and would evict another
	// caller's prompt from the cache of the target that was chosen wrongly.
	It("sends a prompt to the target that holds it, until computing it again is cheaper", func() {
		placer, set := twoTargets(1000, 1000)
		runOnce(placer, "two", prefixes(1, 10))
		Expect(chosen(placer, set, request(2600, prefixes(1, 10)...))).To(BeEquivalentTo("two"))
		Expect(chosen(placer, set, request(2600, prefixes(100, 10)...))).To(BeEquivalentTo("one"))
		state, _ := placer.TargetState("two")
		for range 4 {
			placer.StartRun(epoch, state, &yuccaplace.Run{Prompt: 10_000}, nil)
		}
		Expect(chosen(placer, set, request(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
	})

	// Guards against a cache model that lists more blocks than the engine holds,
	// because it ignores the cache's size or eviction events: prompts would wait for a
	// target whose cache evicted their blocks long ago. The cache holds 20,000 tokens,
	// 78 blocks.
	It("drops blocks that a cache of that size can't hold and blocks that events report as evicted", func() {
		placer, set := twoTargets(1000, 1000)
		runOnce(placer, "two", prefixes(1, 10))
		runOnce(placer, "two", prefixes(1000, 78))
		Expect(chosen(placer, set, request(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
		runOnce(placer, "two", prefixes(1, 10))
		placer.ApplyCacheEvent("two", nil, prefixes(1, 10), false)
		Expect(chosen(placer, set, request(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
		placer.ApplyCacheEvent("two", prefixes(1, 10), nil, false)
		Expect(chosen(placer, set, request(2600, prefixes(1, 10)...))).To(BeEquivalentTo("two"))
	})

	// Guards against full trust in a cache model after lost events: prompts would wait
	// for blocks that may have been evicted.
	It("trusts a cache model less after lost cache events", func() {
		placer, set := twoTargets(1000, 1000)
		runOnce(placer, "two", prefixes(1, 10))
		before, _ := placer.Choose(epoch, set, request(2600, prefixes(1, 10)...))
		placer.ApplyCacheEvent("two", nil, nil, true)
		after, _ := placer.Choose(epoch, set, request(2600, prefixes(1, 10)...))
		Expect(after.Cached).To(BeNumerically("<", before.Cached))
		Expect(after.Cached).To(BeNumerically(">", 0))
	})
})
