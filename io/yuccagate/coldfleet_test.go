package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccacold"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaroster"
	"yuccacleat/io/yuccagate"
)

// arrivals records when a target gets requests.
type arrivals struct {
	mu    sync.Mutex
	times []time.Time
}

func (arr *arrivals) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	arr.mu.Lock()
	arr.times = append(arr.times, time.Now())
	arr.mu.Unlock()
	fmt.Fprint(w, "answer")
}

// mostInSecond returns the largest number of requests in one second, and how many came in all.
func (arr *arrivals) mostInSecond() (most, all int) {
	arr.mu.Lock()
	defer arr.mu.Unlock()
	first := 0
	for at, each := range arr.times {
		for each.Sub(arr.times[first]) >= time.Second {
			first++
		}
		most = max(most, at-first+1)
	}
	return most, len(arr.times)
}

var _ = Describe("gateways with a target that may be cold", func() {
	// Three gateways have many requests for one target. The leader of its pool is killed meanwhile.
	serve := func(warmAfter time.Duration) *arrivals {
		first := newGateOf(listen(), "odessa", "entry-1", withColdBound)
		others := []*gate{first}
		for _, vm := range []string{"entry-2", "entry-3"} {
			others = append(others, newGateOf(listen(), "odessa", vm, withColdBound, first.Status().Address))
		}
		arr := &arrivals{}
		eng := newEngine("i-1", arr.ServeHTTP)
		cfg := config()
		cfg.Pools[0].Cold = yuccacold.Limit{Duration: 10 * time.Second, Rate: 5}
		for _, gt := range others {
			Expect(gt.OfferConfiguration(encode(1, cfg), "test")).To(Succeed())
			gt.OfferTargets([]yuccaroster.Entry{{
				Target: "i-1", Pool: "desk", Address: eng.listener.Addr().String(), Centre: "odessa", Slots: 8, Revision: 1, Version: "v1", StatesWarmAfter: true, WarmAfter: warmAfter,
			}}, nil, true, 1, true)
		}
		for _, gt := range others {
			Eventually(gt.Ready).Should(BeTrue())
			Eventually(func() int { return len(gt.Status().Peers) }).Should(Equal(2))
		}
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for number := range 30 {
			callers.Go(func() {
				for sent := 0; ; sent++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						call{path: "/lookup/1", id: fmt.Sprintf("r%d-%d", number, sent)}.do(others[number%len(others)])
					}
				}
			})
		}
		time.Sleep(2500 * time.Millisecond)
		leader := poolLeader(others[0])
		Expect(leader).NotTo(BeEmpty())
		for _, gt := range others {
			if gt.Status().VM == leader {
				gt.crash()
			}
		}
		time.Sleep(3 * time.Second)
		close(stop)
		callers.Wait()
		return arr
	}

	// Guards against the failure that daemons which take over from a killed leader, or decide without it, exceed the bound.
	It("send it no more than the bound while it is cold, and never nothing for long", func() {
		most, all := serve(time.Minute).mostInSecond()
		Expect(most).To(BeNumerically("<=", 9))
		Expect(all).To(BeNumerically(">=", 15))
	})

	It("send it no more than the bound while they don't know that it is cold", func() {
		most, all := serve(0).mostInSecond()
		Expect(most).To(BeNumerically("<=", 9))
		Expect(all).To(BeNumerically(">=", 15))
	})
})

// withColdBound lets cold targets get 9 requests in a second if they bear 5.
func withColdBound(settings *yuccagate.Settings) {
	settings.Bounds.Cold = yuccacold.Bound{Factor: 1.4, Allowance: 2}
}

// poolLeader returns the VM that leads the pool desk, as far as a gateway knows.
func poolLeader(gt *gate) yuccaid.VM {
	for _, pool := range gt.Status().Pools {
		if pool.Pool == "desk" {
			return pool.Leader
		}
	}
	return ""
}
