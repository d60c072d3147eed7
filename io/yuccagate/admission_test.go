package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/io/yuccagate"
)

// hourWindow gives the quotas a window of an hour, so that no usage leaves it during a test.
func hourWindow(set *yuccagate.Settings) { set.Bounds.QuotaWindow = time.Hour }

// costing returns a request of the account "still" that costs the given number of tokens.
func costing(id string, tokens int) call {
	return call{path: "/ticket/", id: id, key: "k3", header: map[string]string{"X-Tokens": fmt.Sprint(tokens)}}
}

// leaderOf returns the daemon that leads the account according to the gateway.
func leaderOf(gt *gate, account yuccaid.Account) yuccaid.VM {
	for _, each := range gt.Status().Accounts {
		if each.Account == account {
			return each.Leader
		}
	}
	return ""
}

var _ = Describe("the quota of an account that arrives at several daemons", func() {
	// Each daemon of a data centre gets some of an account's requests. If each daemon decided by
	// itself, it could use only its share of the quota, and would refuse a long prompt although the
	// quota has room for it.
	It("is used up exactly", func() {
		eng := newEngine("a", nil)
		first, second := startTwoWith(hourWindow, 8, eng)
		statuses := make(map[int]int)
		for turn := range 6 {
			gt := []*gate{first, second}[turn%2]
			statuses[costing(fmt.Sprint("r", turn), 30).do(gt).status]++
		}
		Expect(statuses).To(Equal(map[int]int{http.StatusOK: 3, http.StatusTooManyRequests: 3}))
	})

	// The daemon that leads the account is killed. Requests at the other daemon must not wait until
	// the loss is noticed.
	It("is decided on by the daemon itself when the account's leader is gone", func() {
		eng := newEngine("a", nil)
		first, second := startTwoWith(hourWindow, 8, eng)
		leader, survivor := first, second
		if leaderOf(first, "still") == second.Status().VM {
			leader, survivor = second, first
		}
		leader.crash()
		start := time.Now()
		Expect(costing("r2", 5).do(survivor).status).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})

	// The daemon that leads the account hangs, but its connections stay open. Requests at the other
	// daemon must not wait for its decision until their callers leave.
	It("is decided on by the daemon itself when the account's leader hangs", func() {
		eng := newEngine("a", nil)
		first, second := startTwoWith(hourWindow, 8, eng)
		leader, other := first, second
		if leaderOf(first, "still") == second.Status().VM {
			leader, other = second, first
		}
		leader.hang()
		start := time.Now()
		Expect(costing("r1", 5).do(other).status).To(Equal(http.StatusOK))
		Expect(time.Since(start)).To(BeNumerically("<", 400*time.Millisecond))
	})

	// A request is admitted by the leader of its account, and then its only target rejects it. If
	// the charge weren't returned to the leader, the account would lose quota for nothing.
	It("gets back the charge of a request that didn't run", func() {
		var rejecting atomic.Bool
		rejecting.Store(true)
		eng := newEngine("a", func(w http.ResponseWriter, _ *http.Request) {
			if rejecting.Load() {
				w.Header().Set("X-Not-Run", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		first, second := startTwoWith(hourWindow, 8, eng)
		for turn, gt := range []*gate{first, second} {
			Expect(costing(fmt.Sprint("r", turn), 90).do(gt).status).To(Equal(http.StatusServiceUnavailable))
			for _, each := range []*gate{first, second} {
				Eventually(func() int64 { return each.used("still") }, 5*time.Second).Should(BeZero())
			}
		}
		rejecting.Store(false)
		Eventually(func() int { return costing("again", 90).do(first).status }, 5*time.Second).Should(Equal(http.StatusOK))
	})
})
