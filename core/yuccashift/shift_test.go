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

// testState has two data centres in region a and one in each of the regions b and c.
func testState() *yuccastate.State {
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
	request := yuccaqueue.Request{Account: "all", Pool: "draft", Centre: "a1", Remaining: 5 * time.Second, Prompt: 1000, Answer: 200}
	restricted := request
	restricted.Account = "some"
	shortDeadline := request
	shortDeadline.Remaining = 100 * time.Millisecond
	longPrompt := request
	longPrompt.Prompt = 100_000_000

	DescribeTable("goes to the cheapest data centre that can still serve the request",
		func(request yuccaqueue.Request, tried []yuccaid.Centre, expected string) {
			candidate, ok := yuccashift.New().Next(now, testState(), request, tried)
			Expect(ok).To(Equal(expected != ""))
			Expect(string(candidate.Centre)).To(Equal(expected))
		},
		Entry("the same region costs nothing", request, nil, "a2"),
		Entry("then the cheaper region", request, []yuccaid.Centre{"a2"}, "c1"),
		Entry("no more data centres than the limit", request, []yuccaid.Centre{"a2", "c1"}, ""),
		Entry("only data centres with targets that the account may use", restricted, nil, "b1"),
		Entry("no offer whose round trips take longer than the remaining time", shortDeadline, []yuccaid.Centre{"a2"}, ""),
		Entry("no offer above the highest price", longPrompt, []yuccaid.Centre{"a2"}, ""),
	)

	// Every region is overloaded. If owners kept offering each refused request to each region, the
	// messages would add to the overload without any request being served.
	It("skips a data centre that has refused until its retry-after has passed, for that rank only", func() {
		plan := yuccashift.New()
		state := testState()
		plan.MarkRefused(now, "a2", request, time.Second)
		candidate, _ := plan.Next(now, state, request, nil)
		Expect(candidate.Centre).To(Equal(yuccaid.Centre("c1")))
		lessUrgent := request
		lessUrgent.Rank = 2
		candidate, _ = plan.Next(now, state, lessUrgent, nil)
		Expect(candidate.Centre).To(Equal(yuccaid.Centre("a2")))
		candidate, _ = plan.Next(now.Add(time.Second), state, request, nil)
		Expect(candidate.Centre).To(Equal(yuccaid.Centre("a2")))
	})
})
