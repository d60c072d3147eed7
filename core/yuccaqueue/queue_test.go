package yuccaqueue_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

func TestYuccaqueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "yuccaqueue")
}

var epoch = time.Unix(1_000_000, 0)

// push queues a request with one second of work.
func push(q *yuccaqueue.Queue, id string, acc yuccaid.Account, rank int, deadline time.Duration) ([]yuccaqueue.Displaced, yuccaqueue.Reason) {
	req := yuccaqueue.Request{ID: yuccaid.RequestID(id), Account: acc, Rank: rank, Remaining: deadline, Prompt: 10}
	at := epoch.Add(deadline)
	return q.Push(epoch, req, yuccaqueue.Params{Key: at, LatestStart: at, CheckAt: at, Work: time.Second})
}

// serve serves up to n requests and returns their ids in the order of service.
func serve(q *yuccaqueue.Queue, n int) []string {
	var order []string
	q.Serve(func(item *yuccaqueue.Item) yuccaqueue.ServeResult {
		if len(order) == n {
			return yuccaqueue.NoFreeSlot
		}
		order = append(order, string(item.Request.ID))
		return yuccaqueue.Placed
	})
	return order
}

func ExampleQueue() {
	q := yuccaqueue.New()
	for id, rank := range map[string]int{"letter": 2, "note": 0, "handover": 1} {
		push(q, id, "hotline", rank, time.Minute)
	}
	fmt.Println(serve(q, 3))
	// Output: [note handover letter]
}

var _ = Describe("the queue", func() {
	// Guards against starvation of a small account: a large account keeps sending
	// requests whose deadlines are earlier.
	It("serves by deadline within a window and by weight beyond it", func() {
		q := yuccaqueue.New(yuccaqueue.WithFairWindow(2))
		q.SetWeight("large", 3)
		for i := range 20 {
			push(q, fmt.Sprintf("large-%d", i), "large", 0, time.Duration(10+i)*time.Second)
			push(q, fmt.Sprintf("small-%d", i), "small", 0, time.Hour)
		}
		// The accounts are told apart by the first letter of the request's id.
		countByLetter := map[byte]int{}
		for _, id := range serve(q, 16) {
			countByLetter[id[0]]++
		}
		Expect(countByLetter['l']).To(BeNumerically("~", 12, 3))
		Expect(countByLetter['s']).To(BeNumerically(">=", 2))
	})

	// An urgent request finds the queue full of low-tier requests. It must not be
	// refused, and the newest low-tier request is displaced, because an older one has
	// waited longer.
	It("displaces the lowest tier's newest request for one of a higher tier", func() {
		bounds := yuccaqueue.BoundsFor(4, 1000)
		bounds.AccountRequests, bounds.LowerTierRequests = 4, 4
		q := yuccaqueue.New(yuccaqueue.WithBounds(bounds))
		for _, id := range []string{"a", "b", "c"} {
			push(q, id, "office", 2, time.Minute)
		}
		push(q, "middle", "office", 1, time.Minute)
		displaced, reason := push(q, "note", "hotline", 0, time.Minute)
		Expect(reason).To(BeEmpty())
		Expect(displaced).To(HaveLen(1))
		Expect(displaced[0].Request.ID).To(BeEquivalentTo("c"))
		Expect(displaced[0].Reason).To(Equal(yuccaqueue.ReasonDisplaced))
		_, reason = push(q, "d", "office", 2, time.Minute)
		Expect(reason).To(Equal(yuccaqueue.ReasonOverload))
	})

	// Guards against one account that fills the queue in a loop, so that requests of
	// the other accounts are refused.
	It("limits an account to its share of the queue and displaces only its own requests", func() {
		q := yuccaqueue.New(yuccaqueue.WithBounds(yuccaqueue.BoundsFor(8, 1000)))
		push(q, "a", "loop", 1, time.Minute)
		push(q, "b", "loop", 1, time.Minute)
		_, reason := push(q, "c", "loop", 1, time.Minute)
		Expect(reason).To(Equal(yuccaqueue.ReasonLimit))
		displaced, reason := push(q, "d", "loop", 0, time.Minute)
		Expect(reason).To(BeEmpty())
		Expect(displaced[0].Reason).To(Equal(yuccaqueue.ReasonLimit))
		_, reason = push(q, "e", "other", 2, time.Minute)
		Expect(reason).To(BeEmpty())
	})

	// The work ahead of a request includes neither the work of lower tiers nor that of
	// later deadlines in the same tier. With a wrong sum, callers would be told to retry too
	// early or too late.
	It("sums the work ahead of a request", func() {
		q := yuccaqueue.New()
		push(q, "note", "hotline", 0, time.Hour)
		push(q, "soon", "office", 1, 10*time.Second)
		push(q, "late", "office", 1, time.Minute)
		push(q, "letter", "office", 2, time.Second)
		Expect(q.WorkAhead(epoch, 1, epoch.Add(30*time.Second))).To(Equal(2 * time.Second))
	})
})

// Guards against requests that are lost in the queue and wait for ever, and against
// requests that are served twice or before a higher tier. These faults arise when the heaps
// and lists that hold an item disagree. The queue is compared with a plain map from the
// id to the rank of each waiting request.
func TestQueueKeepsEverything(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := yuccaqueue.New(yuccaqueue.WithBounds(yuccaqueue.BoundsFor(30, 300)), yuccaqueue.WithFairWindow(1))
		model := map[string]int{}
		blocked := map[yuccaid.Account]bool{}
		accounts := []yuccaid.Account{"a", "b", "c"}
		next := 0
		rt.Repeat(map[string]func(*rapid.T){
			"push": func(rt *rapid.T) {
				next++
				rank := rapid.IntRange(0, 2).Draw(rt, "rank")
				seconds := rapid.IntRange(1, 2000).Draw(rt, "seconds")
				id := fmt.Sprint(next)
				displaced, reason := push(q, id, rapid.SampledFrom(accounts).Draw(rt, "account"), rank, time.Duration(seconds)*time.Second)
				for _, item := range displaced {
					if model[string(item.Request.ID)] <= rank {
						rt.Fatalf("rank %d displaced %s of rank %d", rank, item.Request.ID, item.Request.Rank)
					}
					delete(model, string(item.Request.ID))
				}
				if reason == "" {
					model[id] = rank
				}
			},
			"block": func(rt *rapid.T) {
				acc := rapid.SampledFrom(accounts).Draw(rt, "account")
				blocked[acc] = rapid.Bool().Draw(rt, "blocked")
				q.SetBlocked(acc, blocked[acc])
			},
			"serve": func(rt *rapid.T) {
				results := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 10).Draw(rt, "answers")
				turn, lastRank := 0, 0
				q.Serve(func(item *yuccaqueue.Item) yuccaqueue.ServeResult {
					if blocked[item.Request.Account] || model[string(item.Request.ID)] != item.Request.Rank {
						rt.Fatalf("served request %s of account %s, which is blocked or no longer waits", item.Request.ID, item.Request.Account)
					}
					if item.Request.Rank < lastRank {
						rt.Fatalf("served rank %d after rank %d", item.Request.Rank, lastRank)
					}
					lastRank = item.Request.Rank
					result := yuccaqueue.NoFreeSlot
					if turn < len(results) {
						result = yuccaqueue.ServeResult(results[turn])
					}
					turn++
					if result == yuccaqueue.Placed {
						delete(model, string(item.Request.ID))
					}
					return result
				})
			},
			"remove": func(*rapid.T) {
				if item := q.NextToCheck(epoch.Add(1000 * time.Second)); item != nil {
					q.Remove(item)
					delete(model, string(item.Request.ID))
				}
			},
			"": func(rt *rapid.T) {
				if q.Len() != len(model) {
					rt.Fatalf("%d requests wait, want %d", q.Len(), len(model))
				}
			},
		})
		for _, acc := range accounts {
			q.SetBlocked(acc, false)
		}
		q.Unpark(func(yuccaqueue.TargetSet) bool { return true })
		if served := len(serve(q, 1000)); served != len(model) {
			rt.Fatalf("served %d requests, want %d", served, len(model))
		}
	})
}
