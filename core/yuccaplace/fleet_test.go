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
	fleet := yuccaplace.New()
	fleet.Configure(yuccaplace.Policy{}, false, []yuccaplace.Target{
		{Name: "one", Slots: 4, Prefill: first, Decode: 50, Cache: 20_000},
		{Name: "two", Slots: 4, Prefill: second, Decode: 50, Cache: 20_000},
	})
	return fleet, fleet.NewTargetSet(nil)
}

func shape(prompt yuccaid.Tokens, hashes ...uint64) *yuccaplace.Request {
	return &yuccaplace.Request{Prompt: prompt, Answer: 50, Prefixes: hashes, Deadline: epoch.Add(time.Minute)}
}

func chosen(fleet *yuccaplace.Placer, reach *yuccaplace.TargetSet, shp *yuccaplace.Request) yuccaid.Target {
	choice, verdict := fleet.Choose(epoch, reach, shp)
	Expect(verdict).To(Equal(yuccaplace.Found))
	return choice.TargetState.Target.Name
}

// prefixes returns the hashes of a prompt of n blocks that begins at from.
func prefixes(from, n uint64) []uint64 {
	var list []uint64
	for at := range n {
		list = append(list, from+at)
	}
	return list
}

// ran lets a prompt run on a target and end at once.
func ran(fleet *yuccaplace.Placer, name yuccaid.Target, hashes []uint64) {
	node, _ := fleet.TargetState(name)
	run := &yuccaplace.Run{Prompt: 100}
	fleet.StartRun(epoch, node, run, hashes)
	fleet.FinishPrefill(epoch, run)
	fleet.ReleaseRun(epoch, run)
}

func ExampleFleet_Choose() {
	fleet, reach := twoTargets(1000, 4000)
	choice, _ := fleet.Choose(epoch, reach, shape(2000))
	fmt.Println(choice.TargetState.Target.Name, choice.Finish.Round(100*time.Millisecond))
	// Output: two 1.5s
}

var _ = Describe("a fleet", func() {
	// A rulebook that one target holds is sent to another and computed again, while the
	// caller waits and the rulebook of somebody else is pushed out.
	It("sends a prompt to the target that holds it, until computing it again is cheaper", func() {
		fleet, reach := twoTargets(1000, 1000)
		ran(fleet, "two", prefixes(1, 10))
		Expect(chosen(fleet, reach, shape(2600, prefixes(1, 10)...))).To(BeEquivalentTo("two"))
		Expect(chosen(fleet, reach, shape(2600, prefixes(100, 10)...))).To(BeEquivalentTo("one"))
		node, _ := fleet.TargetState("two")
		for range 4 {
			fleet.StartRun(epoch, node, &yuccaplace.Run{Prompt: 10_000}, nil)
		}
		Expect(chosen(fleet, reach, shape(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
	})

	// The record says more than the engine holds, and prompts wait for a cache that has
	// long been pushed out.
	It("forgets what a cache of that size can't hold, and what events say is gone", func() {
		fleet, reach := twoTargets(1000, 1000)
		ran(fleet, "two", prefixes(1, 10))
		ran(fleet, "two", prefixes(1000, 78))
		Expect(chosen(fleet, reach, shape(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
		ran(fleet, "two", prefixes(1, 10))
		fleet.ApplyCacheEvent("two", nil, prefixes(1, 10), false)
		Expect(chosen(fleet, reach, shape(2600, prefixes(1, 10)...))).To(BeEquivalentTo("one"))
		fleet.ApplyCacheEvent("two", prefixes(1, 10), nil, false)
		Expect(chosen(fleet, reach, shape(2600, prefixes(1, 10)...))).To(BeEquivalentTo("two"))
	})

	It("counts on a cache less after a gap in its events", func() {
		fleet, reach := twoTargets(1000, 1000)
		ran(fleet, "two", prefixes(1, 10))
		before, _ := fleet.Choose(epoch, reach, shape(2600, prefixes(1, 10)...))
		fleet.ApplyCacheEvent("two", nil, nil, true)
		after, _ := fleet.Choose(epoch, reach, shape(2600, prefixes(1, 10)...))
		Expect(after.Cached).To(BeNumerically("<", before.Cached))
		Expect(after.Cached).To(BeNumerically(">", 0))
	})
})
