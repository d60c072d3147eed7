package yuccapeer

import "yuccacleat/core/yuccaid"

// LikelyLeader returns the daemon of another data centre that most likely leads a pool
// there, and false if that data centre has no candidate. It chooses among candidates,
// because this daemon doesn't know which daemons are live there. A daemon that gets a
// request but doesn't lead the pool replies with the leader in its own view.
func (peers *Peers) LikelyLeader(centre yuccaid.Centre, pool yuccaid.Pool) (Member, bool) {
	var candidates []Member
	for _, listing := range peers.Candidates(centre) {
		if !listing.Leaving {
			candidates = append(candidates, listing.member())
		}
	}
	return highestWeight(candidates, string(pool)), len(candidates) > 0
}
