package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// accept returns the peer that sent a message with a sequence number. It returns nil for a
// message that is late or a duplicate, that comes from this daemon's own VM, from a departed
// incarnation or from one that isn't connected.
//
// Two incarnations of one VM may both send messages: the old one was paused while its VM was
// replaced, and resumes with its connections and its address. If the latest message decided,
// they would replace each other in turn. So the one in the view stays while it is connected,
// unless the platform's list has the address of the other.
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

// update applies a full heartbeat to its sender.
func (peers *Peers) update(other *peer, heartbeat Heartbeat, change *Change) {
	before, inView := other.member, other.inView
	after := heartbeat.member()
	other.member = after
	other.version = heartbeat.Version
	other.config = PeerConfig{Peer: heartbeat.Incarnation, Number: heartbeat.Number, Digest: heartbeat.Digest}
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

// replaces reports whether the newcomer replaces the current incarnation on its VM, and if
// so removes the current one. The removed incarnation counts as departed, unless the
// platform's list has its address: then it may only have been cut off while its predecessor
// sent messages, and may return.
func (peers *Peers) replaces(now time.Time, other *peer, newcomer Member, change *Change) bool {
	inc := other.member.Incarnation
	listed := peers.listed[inc.VM].Address
	currentListed := listed == other.member.Address && listed != newcomer.Address
	newcomerListed := listed == newcomer.Address && listed != other.member.Address
	if peers.isConnected(inc) && !newcomerListed {
		return false
	}
	if !currentListed {
		peers.departed[inc] = now.Add(peers.timing.ForgetAfter)
		delete(peers.connected, inc)
	}
	delete(peers.peers, inc.VM)
	peers.remove(other, change)
	return true
}

// remove removes a peer from the view until its next full heartbeat.
func (peers *Peers) remove(other *peer, change *Change) {
	if other.inView {
		change.Removed = append(change.Removed, other.member)
		other.inView = false
		peers.invalidate()
	}
}

// expireSilent removes the peers whose heartbeats are overdue from the view. They don't
// count as departed, even when they were leaving: such a daemon may have been cut off while
// it finishes its requests. If other daemons then ignored it while it still has them in its
// view, it would send requests to the wrong leader from then on.
func (peers *Peers) expireSilent(now time.Time, change *Change) {
	for _, other := range peers.peers {
		if !now.Before(other.expires) {
			peers.remove(other, change)
		}
	}
	slices.SortFunc(change.Removed, compareMembers)
}

// resume expires the whole view after a pause of this process.
func (peers *Peers) resume(now time.Time, pausedFor time.Duration) Change {
	change := Change{Resumed: true, PausedFor: pausedFor}
	for _, other := range peers.peers {
		peers.remove(other, &change)
	}
	slices.SortFunc(change.Removed, compareMembers)
	peers.settledAt = now.Add(peers.timing.SettleFor)
	change.Messages = peers.pulsesToAll(now)
	return change
}

// deleteOld deletes what is older than ForgetAfter. VMs are replaced all the time, so the
// maps would grow without bound.
func (peers *Peers) deleteOld(now time.Time) {
	for vm, other := range peers.peers {
		if now.Sub(other.expires) > peers.timing.ForgetAfter {
			delete(peers.peers, vm)
		}
	}
	for vm, recv := range peers.received {
		if !now.Before(recv.forgetAt) {
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

// NewerConfig returns the configuration with the highest number among the peers in the view,
// or the zero value if no number is above this daemon's. If several peers have it, the first
// by name is returned, so that the choice is stable.
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
