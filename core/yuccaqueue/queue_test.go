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

// push queues a request of one second's work with a deadline.
func push(q *yuccaqueue.Queue, id string, acc yuccaid.Account, rank int, deadline time.Duration) ([]yuccaqueue.Displaced, yuccaqueue.Reason) {
	ask := yuccaqueue.Request{ID: yuccaid.RequestID(id), Account: acc, Rank: rank, Remaining: deadline, Prompt: 10}
	at := epoch.Add(deadline)
	return q.Push(epoch, ask, yuccaqueue.Params{Key: at, LatestStart: at, CheckAt: at, Work: time.Second})
}

// serve returns the ids in the order of service, up to n of them.
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
	// A large account's early deadlines would shut a small one out for as long as the
	// large one keeps sending.
	It("serves by deadline within a window and by weight beyond it", func() {
		q := yuccaqueue.New(yuccaqueue.WithFairWindow(2))
		q.SetWeight("large", 3)
		for at := range 20 {
			push(q, fmt.Sprintf("large-%d", at), "large", 0, time.Duration(10+at)*time.Second)
			push(q, fmt.Sprintf("small-%d", at), "small", 0, time.Hour)
		}
		count := map[byte]int{}
		for _, id := range serve(q, 16) {
			count[id[0]]++
		}
		Expect(count['l']).To(BeNumerically("~", 12, 3))
		Expect(count['s']).To(BeNumerically(">=", 2))
	})

	// An urgent request finds the queue full of letters. If it is refused, or an older
	// letter goes instead of the newest, somebody loses more than has to be.
	It("gives a higher tier the place of the lowest tier's newest", func() {
		bounds := yuccaqueue.BoundsFor(4, 1000)
		bounds.AccountRequests, bounds.LowerTierRequests = 4, 4
		q := yuccaqueue.New(yuccaqueue.WithBounds(bounds))
		for _, id := range []string{"a", "b", "c"} {
			push(q, id, "office", 2, time.Minute)
		}
		push(q, "middle", "office", 1, time.Minute)
		gone, reason := push(q, "note", "hotline", 0, time.Minute)
		Expect(reason).To(BeEmpty())
		Expect(gone).To(HaveLen(1))
		Expect(gone[0].Request.ID).To(BeEquivalentTo("c"))
		Expect(gone[0].Reason).To(Equal(yuccaqueue.ReasonDisplaced))
		_, reason = push(q, "d", "office", 2, time.Minute)
		Expect(reason).To(Equal(yuccaqueue.ReasonOverload))
	})

	// One account's loop fills the queue, and the others are refused for its sake.
	It("keeps an account to its share of the queue, at its own cost only", func() {
		q := yuccaqueue.New(yuccaqueue.WithBounds(yuccaqueue.BoundsFor(8, 1000)))
		push(q, "a", "loop", 1, time.Minute)
		push(q, "b", "loop", 1, time.Minute)
		_, reason := push(q, "c", "loop", 1, time.Minute)
		Expect(reason).To(Equal(yuccaqueue.ReasonLimit))
		gone, reason := push(q, "d", "loop", 0, time.Minute)
		Expect(reason).To(BeEmpty())
		Expect(gone[0].Reason).To(Equal(yuccaqueue.ReasonLimit))
		_, reason = push(q, "e", "other", 2, time.Minute)
		Expect(reason).To(BeEmpty())
	})

	It("sums the work that goes before a deadline", func() {
		q := yuccaqueue.New()
		push(q, "note", "hotline", 0, time.Hour)
		push(q, "soon", "office", 1, 10*time.Second)
		push(q, "late", "office", 1, time.Minute)
		push(q, "letter", "office", 2, time.Second)
		Expect(q.WorkAhead(epoch, 1, epoch.Add(30*time.Second))).To(Equal(2 * time.Second))
	})
})

// A request that is lost inside the queue waits for ever; one that is served twice or
// out of its tier's turn costs somebody else's deadline. It would come about when the
// heaps and lists that an item is in fall out of step with one another. The oracle is
// a plain map.
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
				gone, reason := push(q, id, rapid.SampledFrom(accounts).Draw(rt, "account"), rank, time.Duration(seconds)*time.Second)
				for _, item := range gone {
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
				answers := rapid.SliceOfN(rapid.IntRange(0, 2), 1, 10).Draw(rt, "answers")
				turn, last := 0, 0
				q.Serve(func(item *yuccaqueue.Item) yuccaqueue.ServeResult {
					if blocked[item.Request.Account] || model[string(item.Request.ID)] != item.Request.Rank {
						rt.Fatalf("served %s of account %s, which isn't to be served", item.Request.ID, item.Request.Account)
					}
					if item.Request.Rank < last {
						rt.Fatalf("rank %d came after rank %d", item.Request.Rank, last)
					}
					last = item.Request.Rank
					answer := yuccaqueue.NoFreeSlot
					if turn < len(answers) {
						answer = yuccaqueue.ServeResult(answers[turn])
					}
					turn++
					if answer == yuccaqueue.Placed {
						delete(model, string(item.Request.ID))
					}
					return answer
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
					rt.Fatalf("%d wait, want %d", q.Len(), len(model))
				}
			},
		})
		for _, acc := range accounts {
			q.SetBlocked(acc, false)
		}
		q.Unpark(func(yuccaqueue.TargetSet) bool { return true })
		if served := len(serve(q, 1000)); served != len(model) {
			rt.Fatalf("%d came out, want %d", served, len(model))
		}
	})
}
