package yuccashift_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
	"yuccacleat/core/yuccashift"
	"yuccacleat/core/yuccastate"
)

func TestYuccashift(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccashift")
}

var now = time.Unix(1_700_000_000, 0)

// world has two data centres at home and one in each of two other regions.
func world() *yuccastate.State {
	state := yuccastate.Empty()
	state.Centres = map[yuccaid.Centre]yuccastate.Centre{"a1": {Region: "a"}, "a2": {Region: "a"}, "b1": {Region: "b"}, "c1": {Region: "c"}}
	state.Links = map[yuccaid.Region]yuccastate.Link{
		"a": {PricePerGigabyte: 1, Delay: 30 * time.Millisecond},
		"b": {PricePerGigabyte: 2, Delay: 30 * time.Millisecond},
		"c": {PricePerGigabyte: 1, Delay: 40 * time.Millisecond},
	}
	state.Pools = map[yuccaid.Pool]yuccastate.Pool{"draft": {Kind: yuccastate.PoolModel}}
	state.Accounts = map[yuccaid.Account]yuccastate.Account{
		"all":  {Pools: []yuccaid.Pool{"draft"}},
		"some": {Pools: []yuccaid.Pool{"draft"}, Targets: []yuccaid.Target{"t-a1", "t-b1"}},
	}
	state.Targets = make(map[yuccaid.Target]yuccastate.Target)
	for centre := range state.Centres {
		state.Targets["t-"+yuccaid.Target(centre)] = yuccastate.Target{Pool: "draft", Centre: centre}
	}
	return state
}

var _ = Describe("shifting to another data centre", func() {
	ask := yuccaqueue.Request{Account: "all", Pool: "draft", Centre: "a1", Remaining: 5 * time.Second, Prompt: 1000, Answer: 200}
	some := ask
	some.Account = "some"
	hurried := ask
	hurried.Remaining = 100 * time.Millisecond
	huge := ask
	huge.Prompt = 100_000_000

	DescribeTable("goes to the cheapest place that can still help",
		func(ask yuccaqueue.Request, tried []yuccaid.Centre, expected string) {
			found, ok := yuccashift.New().Next(now, world(), ask, tried)
			Expect(ok).To(Equal(expected != ""))
			Expect(string(found.Centre)).To(Equal(expected))
		},
		Entry("the same region costs nothing", ask, nil, "a2"),
		Entry("then the cheaper region", ask, []yuccaid.Centre{"a2"}, "c1"),
		Entry("no more than the allowed tries", ask, []yuccaid.Centre{"a2", "c1"}, ""),
		Entry("only targets of the account", some, nil, "b1"),
		Entry("no offer that the way alone makes late", hurried, []yuccaid.Centre{"a2"}, ""),
		Entry("no offer above the price", huge, []yuccaid.Centre{"a2"}, ""),
	)

	// Every region is full. Owners that went on offering each refused request to each
	// region would add messages to the overload without serving anybody.
	It("leaves a place alone until the time it named, for that tier only", func() {
		plan := yuccashift.New()
		state := world()
		plan.MarkRefused(now, "a2", ask, time.Second)
		found, _ := plan.Next(now, state, ask, nil)
		Expect(found.Centre).To(Equal(yuccaid.Centre("c1")))
		lower := ask
		lower.Rank = 2
		found, _ = plan.Next(now, state, lower, nil)
		Expect(found.Centre).To(Equal(yuccaid.Centre("a2")))
		found, _ = plan.Next(now.Add(time.Second), state, ask, nil)
		Expect(found.Centre).To(Equal(yuccaid.Centre("a2")))
	})
})
