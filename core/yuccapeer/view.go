package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// admit returns the peer that a message with the sequence number comes from, or nil
// for one that is late, doubled, our own or of an incarnation that left.
func (peers *Peers) admit(now time.Time, inc yuccaid.Incarnation, sequence uint64, change *Change) *peer {
	if _, gone := peers.gone[inc]; gone || inc == peers.self.Incarnation {
		return nil
	}
	other := peers.peers[inc.VM]
	if other != nil && other.member.Incarnation != inc {
		peers.retire(now, other, change)
		other = nil
	}
	if other == nil {
		other = &peer{member: Member{VM: inc.VM, Incarnation: inc}}
		peers.peers[inc.VM] = other
	}
	if other.sequence >= sequence && other.sequence > 0 {
		return nil
	}
	other.sequence = sequence
	other.expires = now.Add(peers.timing.ExpireAfter)
	return other
}

// update takes over what a whole heartbeat says.
func (peers *Peers) update(other *peer, beat Heartbeat, change *Change) {
	before, known := other.member, other.known
	after := beat.member()
	other.member = after
	other.version = beat.Version
	other.source = Source{Peer: beat.Incarnation, Number: beat.Number, Digest: beat.Digest}
	other.known = true
	if known && before == after {
		return
	}
	if known {
		change.Left = append(change.Left, before)
	}
	change.Joined = append(change.Joined, after)
}

// retire takes an incarnation out for good.
func (peers *Peers) retire(now time.Time, other *peer, change *Change) {
	inc := other.member.Incarnation
	peers.gone[inc] = now.Add(peers.timing.Remember)
	delete(peers.linked, inc)
	delete(peers.peers, inc.VM)
	other.drop(change)
}

// drop takes a peer out of the view until it is heard whole again.
func (other *peer) drop(change *Change) {
	if other.known {
		change.Left = append(change.Left, other.member)
	}
	other.known = false
}

// expire drops the silent. One that had said it was leaving is gone for good; any
// other may only have been cut off and comes back with its next heartbeat.
func (peers *Peers) expire(now time.Time, change *Change) {
	for _, other := range peers.peers {
		if now.Before(other.expires) {
			continue
		}
		if other.member.Leaving {
			peers.retire(now, other, change)
			continue
		}
		other.drop(change)
	}
	slices.SortFunc(change.Left, compareMembers)
}

// wake expires the whole view after a pause.
func (peers *Peers) wake(now time.Time, slept time.Duration) Change {
	change := Change{Woken: true, Slept: slept}
	for _, other := range peers.peers {
		other.drop(&change)
	}
	slices.SortFunc(change.Left, compareMembers)
	peers.settled = now.Add(peers.timing.SettleFor)
	change.Beats = peers.pulses(now)
	return change
}

// forget bounds the memory of who was here: VMs are replaced all the time.
func (peers *Peers) forget(now time.Time) {
	for vm, other := range peers.peers {
		if now.Sub(other.expires) > peers.timing.Remember {
			delete(peers.peers, vm)
		}
	}
	for inc, until := range peers.gone {
		if !now.Before(until) {
			delete(peers.gone, inc)
		}
	}
}

// behind returns the peer with the highest configuration above our own, the first by
// name among equals so that the choice is the same each time.
func (peers *Peers) behind() Source {
	best := Source{Number: peers.self.Number}
	for _, other := range peers.peers {
		source := other.source
		higher := source.Number > best.Number
		earlier := source.Number == best.Number && source.Number > peers.self.Number &&
			source.Peer.String() < best.Peer.String()
		if other.known && (higher || earlier) {
			best = source
		}
	}
	if best.Peer.IsZero() {
		return Source{}
	}
	return best
}
