package yuccapeer

import "yuccacleat/core/yuccaid"

// TargetShare is the share of a data centre's targets that this daemon's side of a network
// partition uses.
//
// A partition inside a data centre leaves a leader on each side. If both leaders used all
// slots of every target, an engine would get twice the number of requests at which its own
// queue stays short, and urgent requests would wait behind bulk requests in that queue. So a
// side with more than half of the candidates live uses all targets. A smaller side uses only
// those that rendezvous hashing over the candidates assigns to one of its live daemons.
// Candidates come from the platform's list, which lags behind. So if most daemons die at
// once, the surviving ones use a share of the targets until the list is up to date.
type TargetShare struct {
	whole      bool
	liveVMs    map[yuccaid.VM]bool
	candidates []Member
}

// TargetShare returns the share according to the current view.
func (peers *Peers) TargetShare() TargetShare {
	share := TargetShare{liveVMs: make(map[yuccaid.VM]bool)}
	for _, listing := range peers.Candidates(peers.self.Centre) {
		if !listing.Leaving {
			share.candidates = append(share.candidates, listing.member())
		}
	}
	for _, member := range peers.Live(peers.self.Centre) {
		share.liveVMs[member.VM] = true
	}
	share.whole = 2*len(share.liveVMs) > len(share.candidates)
	return share
}

// Whole reports whether the share contains all targets.
func (share TargetShare) Whole() bool {
	return share.whole
}

// Contains reports whether the share contains a target.
func (share TargetShare) Contains(tgt yuccaid.Target) bool {
	return share.whole || share.liveVMs[highestWeight(share.candidates, string(tgt)).VM]
}

// Select returns the targets of a pool that are in the share. If none of the pool's targets
// is in the share, it returns all of them. Requests that wait behind the requests of the
// other side are better than requests that can't run at all.
func (share TargetShare) Select(targets []yuccaid.Target) []yuccaid.Target {
	var selected []yuccaid.Target
	for _, tgt := range targets {
		if share.Contains(tgt) {
			selected = append(selected, tgt)
		}
	}
	if len(selected) == 0 {
		return targets
	}
	return selected
}
