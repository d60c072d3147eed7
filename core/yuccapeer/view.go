package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// accept returns the peer that a message with the sequence number comes from, or nil
// for one that is late, doubled, our own, of an incarnation that left or of one that
// has no connection to us.
//
// Two incarnations of one VM may both be heard: the old one was paused while its VM was
// replaced and wakes up with its connections and its address. If the last one heard won,
// they would take turns; so the one that holds a connection stays, unless the platform's
// list names the other's address.
func (peers *Peers) accept(now time.Time, inc yuccaid.Incarnation, sequence uint64, change *Change) *peer {
	if _, departed := peers.departed[inc]; departed || !peers.isConnected(inc) {
		return nil
	}
	other := peers.peers[inc.VM]
	if other != nil && other.member.Incarnation != inc {
		if !peers.replaces(now, other, peers.connected[inc], change) {
			return nil
		}
		other = nil
	}
	if other == nil {
		other = &peer{member: peers.connected[inc]}
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
	before, inView := other.member, other.inView
	after := beat.member()
	other.member = after
	other.version = beat.Version
	other.config = PeerConfig{Peer: beat.Incarnation, Number: beat.Number, Digest: beat.Digest}
	other.inView = true
	if inView && before == after {
		return
	}
	if inView {
		change.Removed = append(change.Removed, before)
	}
	change.Joined = append(change.Joined, after)
	peers.invalidate()
}

// replaces takes an incarnation out if the newcomer has the better claim to the VM. It is
// out for good, unless the list speaks for it: then it may only have been cut off while
// its predecessor turned up.
func (peers *Peers) replaces(now time.Time, other *peer, newcomer Member, change *Change) bool {
	inc := other.member.Incarnation
	listed := peers.listed[inc.VM].Address
	stays := listed == other.member.Address && listed != newcomer.Address
	comes := listed == newcomer.Address && listed != other.member.Address
	if peers.isConnected(inc) && !comes {
		return false
	}
	if !stays {
		peers.departed[inc] = now.Add(peers.timing.ForgetAfter)
		delete(peers.connected, inc)
	}
	delete(peers.peers, inc.VM)
	peers.remove(other, change)
	return true
}

// remove takes a peer out of the view until it is heard whole again.
func (peers *Peers) remove(other *peer, change *Change) {
	if other.inView {
		change.Removed = append(change.Removed, other.member)
		other.inView = false
		peers.invalidate()
	}
}

// expireSilent drops the silent. Silence ends nobody for good, not even one that is leaving:
// it may have been cut off and still be finishing its work, and if some took it for
// gone while it counts them as live, it would ask the wrong leader from then on.
func (peers *Peers) expireSilent(now time.Time, change *Change) {
	for _, other := range peers.peers {
		if !now.Before(other.expires) {
			peers.remove(other, change)
		}
	}
	slices.SortFunc(change.Removed, compareMembers)
}

// resume expires the whole view after a pause.
func (peers *Peers) resume(now time.Time, slept time.Duration) Change {
	change := Change{Resumed: true, PausedFor: slept}
	for _, other := range peers.peers {
		peers.remove(other, &change)
	}
	slices.SortFunc(change.Removed, compareMembers)
	peers.settledAt = now.Add(peers.timing.SettleFor)
	change.Messages = peers.pulsesToAll(now)
	return change
}

// deleteOld bounds the memory of who was here: VMs are replaced all the time.
func (peers *Peers) deleteOld(now time.Time) {
	for vm, other := range peers.peers {
		if now.Sub(other.expires) > peers.timing.ForgetAfter {
			delete(peers.peers, vm)
		}
	}
	for vm, heard := range peers.received {
		if !now.Before(heard.forgetAt) {
			delete(peers.received, vm)
			peers.invalidate()
		}
	}
	for inc, forgetAt := range peers.departed {
		if !now.Before(forgetAt) {
			delete(peers.departed, inc)
		}
	}
}

// NewerConfig returns the peer with the highest configuration above our own, the first by
// name among equals so that the choice is the same each time.
func (peers *Peers) NewerConfig() PeerConfig {
	best := PeerConfig{Number: peers.self.Number}
	for _, other := range peers.peers {
		config := other.config
		higher := config.Number > best.Number
		earlier := config.Number == best.Number && config.Number > peers.self.Number &&
			config.Peer.String() < best.Peer.String()
		if other.inView && (higher || earlier) {
			best = config
		}
	}
	if best.Peer.IsZero() {
		return PeerConfig{}
	}
	return best
}
