package yuccapeer

import "yuccacleat/core/yuccaid"

// LikelyLeader returns the daemon of another data centre that most likely leads a pool
// there, for which only the candidates are known; whoever is asked wrongly names the
// leader that it sees.
func (peers *Peers) LikelyLeader(centre yuccaid.Centre, pool yuccaid.Pool) (Member, bool) {
	var candidates []Member
	for _, listing := range peers.Candidates(centre) {
		if !listing.Leaving {
			candidates = append(candidates, listing.member())
		}
	}
	return highestWeight(candidates, string(pool)), len(candidates) > 0
}
