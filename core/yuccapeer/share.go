package yuccapeer

import "yuccacleat/core/yuccaid"

// TargetShare is the part of a data centre's targets that this daemon's side of a cut uses.
//
// A cut inside a data centre leaves a leader on each side, and each would fill every
// target to the brim: engines would hold twice the work that keeps their own queues
// short, and urgent requests would wait behind bulk ones there. So the side that sees
// more than half of the candidates uses all targets, and a smaller side only those
// that rendezvous hashing over the candidates gives to daemons it sees. Candidates come
// from the platform's lagging list, so after many deaths at once the survivors use a
// part until the list catches up.
type TargetShare struct {
	whole      bool
	liveVMs    map[yuccaid.VM]bool
	candidates []Member
}

// TargetShare returns the part that holds in the present view.
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

// Whole reports whether all targets are in the share.
func (share TargetShare) Whole() bool {
	return share.whole
}

// Contains reports whether a target is in the share.
func (share TargetShare) Contains(tgt yuccaid.Target) bool {
	return share.whole || share.liveVMs[highestWeight(share.candidates, string(tgt)).VM]
}

// Select returns which of a pool's targets are used. A side whose part is empty uses all:
// serving late behind the other side's work is better than not serving.
func (share TargetShare) Select(targets []yuccaid.Target) []yuccaid.Target {
	var part []yuccaid.Target
	for _, tgt := range targets {
		if share.Contains(tgt) {
			part = append(part, tgt)
		}
	}
	if len(part) == 0 {
		return targets
	}
	return part
}
