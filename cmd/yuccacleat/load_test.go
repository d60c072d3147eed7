package main_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
	"yuccacleat/io/yuccadaemon"
)

// loading is callers that go on until they are stopped.
type loading struct {
	fl *fleet
	// again is how often a caller asks once more, each time at another daemon.
	again  int
	stop   context.CancelFunc
	done   sync.WaitGroup
	served atomic.Int64

	mu      sync.Mutex
	daemons []*daemon
}

// load starts callers, each with a random source of its own.
func (fl *fleet) load(ctx context.Context, seed uint64, callers, again int) *loading {
	asking, stop := context.WithCancel(ctx)
	ld := &loading{fl: fl, again: again, stop: stop, daemons: append([]*daemon(nil), fl.daemons...)}
	for caller := range callers {
		rng := rand.New(rand.NewPCG(seed, uint64(caller)))
		ld.done.Go(func() {
			for asking.Err() == nil {
				ld.once(ctx, rng)
			}
		})
	}
	return ld
}

// end lets every caller finish what it has begun.
func (ld *loading) end() {
	ld.stop()
	ld.done.Wait()
}

// use says which daemons new requests go to.
func (ld *loading) use(daemons []*daemon) {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	ld.daemons = append([]*daemon(nil), daemons...)
}

func (ld *loading) pick(rng *rand.Rand) *daemon {
	ld.mu.Lock()
	defer ld.mu.Unlock()
	return ld.daemons[rng.IntN(len(ld.daemons))]
}

// once opens a request, submits it there or elsewhere, and asks again.
func (ld *loading) once(ctx context.Context, rng *rand.Rand) {
	opener := ld.pick(rng)
	calling, stop := context.WithTimeout(ctx, patience)
	defer stop()
	id, err := ld.fl.caller.Open(calling, opener.addresses.Caller)
	if err != nil {
		time.Sleep(pollEach)
		return
	}
	dm := opener
	if ld.again > 0 && rng.IntN(2) == 0 {
		dm = ld.pick(rng)
	}
	req := anyRequest(rng)
	if ld.fl.submit(calling, dm, id, req).run == yuccaonce.Ran {
		ld.served.Add(1)
	}
	for range ld.again {
		if rng.IntN(2) == 0 {
			ld.fl.submit(calling, ld.pick(rng), id, req)
			continue
		}
		ld.fl.outcome(calling, ld.pick(rng), id)
	}
}

// anyRequest mixes tiers, lengths, generated answers and calls that may run only once.
func anyRequest(rng *rand.Rand) yuccadaemon.Request {
	if rng.IntN(4) == 0 {
		return desk([]yuccaid.Operation{"lookup", "file-ticket"}[rng.IntN(2)], "smell at Elm and 3rd")
	}
	tier := []yuccaid.Tier{"urgent", "normal", "bulk"}[rng.IntN(3)]
	req := draft(tier, strconv.Itoa(rng.IntN(1000))+words(1+rng.IntN(60)), yuccaid.Tokens(1+rng.IntN(60)))
	req.DeadlineMillis /= 2
	return req
}
