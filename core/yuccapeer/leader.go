package yuccapeer

import (
	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

// Leader returns the member of this daemon's data centre that leads a pool, and false
// until this daemon has settled.
//
// Rendezvous hashing over the live members gives every daemon with the same view the same
// leader without any message. When a member joins or leaves, only the pools that it gains
// or loses change their leader. Leaving members lead only if there is no other member,
// because the requests that are queued in a data centre must still be processed when all its
// daemons are leaving.
func (peers *Peers) Leader(pool yuccaid.Pool) (Member, bool) {
	if !peers.Settled() {
		return Member{}, false
	}
	return cached(&peers.viewCache.leaders, pool, func() Member {
		eligible := peers.Live(peers.self.Centre)
		if len(eligible) == 0 {
			eligible = peers.members(func(member Member) bool {
				return member.Centre == peers.self.Centre
			})
		}
		return highestWeight(eligible, string(pool))
	}), true
}

// LeaderRank returns how many live members of this daemon's data centre would lead a pool before
// this daemon does, and false until this daemon has settled. The leader has rank 0.
func (peers *Peers) LeaderRank(pool yuccaid.Pool) (rank int, settled bool) {
	if !peers.Settled() {
		return 0, false
	}
	return cached(&peers.viewCache.ranks, pool, func() int {
		count := 0
		for _, member := range peers.Live(peers.self.Centre) {
			if peers.Precedes(pool, member.VM, peers.self.Incarnation.VM) {
				count++
			}
		}
		return count
	}), true
}

// Precedes reports whether one VM's daemon is preferred to another's as the leader of a pool.
func (peers *Peers) Precedes(pool yuccaid.Pool, vm, other yuccaid.VM) bool {
	return hashWeight(string(pool), string(vm)) > hashWeight(string(pool), string(other))
}

// highestWeight returns the member whose VM has the greatest hash weight for the topic.
func highestWeight(members []Member, topic string) Member {
	var best Member
	var bestWeight uint64
	for i, member := range members {
		if weight := hashWeight(topic, string(member.VM)); i == 0 || weight > bestWeight {
			best, bestWeight = member, weight
		}
	}
	return best
}

// hashWeight returns the rendezvous hash of a topic and a name. A zero byte separates the
// topic from the name, because neither of them contains a zero byte.
func hashWeight(topic, name string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(topic)
	digest.Write([]byte{0})
	digest.WriteString(name)
	return digest.Sum64()
}
