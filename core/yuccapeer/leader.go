package yuccapeer

import (
	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

// Leader returns the member of this daemon's data centre that leads a pool, and false
// while this daemon hasn't settled.
//
// Rendezvous hashing over the live members gives every daemon with the same view the
// same leader without a message, and moves only the pools of the member that came or
// went. Leaving members lead only when no other is left: a data centre that drains as
// a whole still has to end what waits.
func (peers *Peers) Leader(pool yuccaid.Pool) (Member, bool) {
	if !peers.Settled() {
		return Member{}, false
	}
	return cached(&peers.viewCache.leaders, pool, func() Member {
		staying := peers.Live(peers.self.Centre)
		if len(staying) == 0 {
			staying = peers.members(func(member Member) bool {
				return member.Centre == peers.self.Centre
			})
		}
		return highestWeight(staying, string(pool))
	}), true
}

// highestWeight returns the member with the greatest weight for the topic.
func highestWeight(members []Member, topic string) Member {
	var best Member
	var top uint64
	for i, member := range members {
		if weight := hashWeight(topic, string(member.VM)); i == 0 || weight > top {
			best, top = member, weight
		}
	}
	return best
}

// hashWeight hashes a topic and a name; the zero byte stands in neither.
func hashWeight(topic, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(topic)
	digest.Write([]byte{0})
	digest.WriteString(name)
	return digest.Sum64()
}
