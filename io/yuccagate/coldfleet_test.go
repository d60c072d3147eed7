package yuccagate_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
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
	// start starts three gateways that know one target.
	start := func(answer http.HandlerFunc, warmAfter time.Duration) []*gate {
		first := newGateOf(listen(), "odessa", "entry-1", withColdBound)
		gates := []*gate{first}
		for _, vm := range []string{"entry-2", "entry-3"} {
			gates = append(gates, newGateOf(listen(), "odessa", vm, withColdBound, first.Status().Address))
		}
		eng := newEngine("i-1", answer)
		cfg := config()
		cfg.Pools[0].Cold = yuccacold.Limit{Duration: 10 * time.Second, Rate: 5}
		for _, gt := range gates {
			Expect(gt.OfferConfiguration(encode(1, cfg), "test")).To(Succeed())
			gt.OfferTargets([]yuccaroster.Entry{{
				Target: "i-1", Pool: "desk", Address: eng.listener.Addr().String(), Centre: "odessa", Slots: 8, Revision: 1, Version: "v1", StatesWarmAfter: true, WarmAfter: warmAfter,
			}}, nil, true, 1, true)
		}
		for _, gt := range gates {
			Eventually(gt.Ready).Should(BeTrue())
			Eventually(func() int { return len(gt.Status().Peers) }).Should(Equal(2))
		}
		return gates
	}

	// press has each of many callers send one request after another to a gateway, until the returned function is called.
	press := func(callersPerGate int, gates ...*gate) (end func()) {
		var callers sync.WaitGroup
		stop := make(chan struct{})
		for number := range callersPerGate * len(gates) {
			callers.Go(func() {
				for sent := 0; ; sent++ {
					select {
					case <-stop:
						return
					case <-time.After(20 * time.Millisecond):
						call{path: "/lookup/1", id: fmt.Sprintf("r%d-%d", number, sent)}.do(gates[number%len(gates)])
					}
				}
			})
		}
		return func() {
			close(stop)
			callers.Wait()
		}
	}

	// Three gateways have many requests for one target. The leader of its pool is killed meanwhile.
	serve := func(warmAfter time.Duration) *arrivals {
		arr := &arrivals{}
		gates := start(arr.ServeHTTP, warmAfter)
		end := press(10, gates...)
		time.Sleep(2500 * time.Millisecond)
		leader, _ := byRole(gates)
		leader.crash()
		time.Sleep(3 * time.Second)
		end()
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

	// Guards against the failure that the next leader doesn't know what a killed one sent just before, and sends as much once more.
	It("send it no more than the bound when the leader is killed right after it has used its share", func() {
		const share = 7
		arr := &arrivals{}
		var got atomic.Int64
		gates := start(func(w http.ResponseWriter, r *http.Request) {
			arr.ServeHTTP(w, r)
			got.Add(1)
		}, 0)
		var callers sync.WaitGroup
		send := func(gt *gate, id string) { callers.Go(func() { call{path: "/lookup/1", id: id}.do(gt) }) }
		for _, gt := range gates {
			send(gt, "first")
		}
		callers.Wait()
		leader, others := byRole(gates)
		// A leader uses its whole share from a second after it has begun to lead, and begins anew if its process stood still.
		usesShare := func() bool {
			time.Sleep(2200 * time.Millisecond)
			got.Store(0)
			for number := range share {
				send(leader, fmt.Sprint("share", number))
			}
			for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end) && got.Load() < share; {
				time.Sleep(time.Millisecond)
			}
			return got.Load() == share
		}
		Eventually(usesShare).WithTimeout(15 * time.Second).Should(BeTrue())
		leader.crash()
		callers.Wait()
		end := press(10, others...)
		time.Sleep(1500 * time.Millisecond)
		end()
		most, all := arr.mostInSecond()
		Expect(most).To(BeNumerically("<=", 9))
		Expect(all).To(BeNumerically(">", share))
	})
})

// withColdBound lets cold targets get 9 requests in a second if they bear 5.
func withColdBound(settings *yuccagate.Settings) {
	settings.Bounds.Cold = yuccacold.Bound{Factor: 1.4, Allowance: 2}
}

// byRole returns the gateway that leads the pool desk, and the others.
func byRole(gates []*gate) (leader *gate, others []*gate) {
	var vm yuccaid.VM
	Eventually(func() yuccaid.VM { vm = poolLeader(gates[0]); return vm }).ShouldNot(BeEmpty())
	for _, gt := range gates {
		if gt.Status().VM == vm {
			leader = gt
		} else {
			others = append(others, gt)
		}
	}
	return leader, others
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
