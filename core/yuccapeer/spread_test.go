package yuccapeer_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccapeer"
)

// spread simulates how a configuration reaches all daemons of a data centre. Each daemon sends it
// over its own link, to one other daemon after the other. spread returns when the last daemon has
// the configuration, and how long the busiest link was in use.
func spread(seed uint64, daemons int, transfer time.Duration, delay func(rank int) time.Duration) (finished, busiest time.Duration) {
	rng := rand.New(rand.NewPCG(seed, 1))
	type holder struct{ since, linkFreeAt, inUse time.Duration }
	holders := []*holder{{}}
	ranks := make([]int, daemons-1)
	for rank := range ranks {
		ranks[rank] = rank
	}
	slices.SortFunc(ranks, func(a, b int) int { return cmp.Compare(delay(a), delay(b)) })
	for _, rank := range ranks {
		asksAt := delay(rank)
		var able []*holder
		for _, each := range holders {
			if each.since <= asksAt {
				able = append(able, each)
			}
		}
		source := able[rng.IntN(len(able))]
		source.linkFreeAt = max(source.linkFreeAt, asksAt) + transfer
		source.inUse += transfer
		holders = append(holders, &holder{since: source.linkFreeAt})
		finished = max(finished, source.linkFreeAt)
		busiest = max(busiest, source.inUse)
	}
	return finished, busiest
}

var _ = Describe("a large configuration in a data centre of fifty daemons", func() {
	// A compressed configuration of 60 KB takes 24 ms on a link of 20 Mbit/s. Sent to all daemons by
	// the one that has read it, it occupies that daemon's link for more than a second, in which no
	// heartbeat gets through. With a new configuration each 330 ms the link would never be free.
	It("reaches all of them without filling the link of one", func() {
		const transfer = 24 * time.Millisecond
		atOnce := func(int) time.Duration { return 0 }
		for seed := range uint64(20) {
			finished, busiest := spread(seed, 50, transfer, yuccapeer.PullDelay)
			Expect(busiest).To(BeNumerically("<=", 330*time.Millisecond), "seed %d", seed)
			Expect(finished).To(BeNumerically("<=", time.Second), "seed %d", seed)
			_, busiestAtOnce := spread(seed, 50, transfer, atOnce)
			Expect(busiestAtOnce).To(BeNumerically(">", time.Second))
		}
	})
})
