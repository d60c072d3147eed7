package yuccapeer

import (
	"cmp"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// accept returns the peer that sent a message with a sequence number, and records that the
// peer is alive. It returns nil for a message that is late or a duplicate. It also returns
// nil if the sender is a replaced incarnation, isn't connected, runs on this daemon's own VM
// or may not replace the current incarnation on its VM.
//
// Two incarnations of one VM may both send messages: the old process was paused while its VM
// was replaced, and resumes with its connections and its address. If the latest message
// decided which of them is current, the two would replace each other in turn. So the current
// incarnation stays while it is connected, unless the platform's list has the address of the
// other incarnation.
func (peers *Peers) accept(now time.Time, inc yuccaid.Incarnation, sequence uint64, change *Change) *peer {
	if _, replaced := peers.replaced[inc]; replaced || !peers.isConnected(inc) {
		return nil
	}
	current := peers.byVM[inc.VM]
	if current != nil && current.member.Incarnation != inc {
		if !peers.tryReplace(now, current, peers.connected[inc], change) {
			return nil
		}
		current = nil
	}
	if current == nil {
		current = &peer{member: peers.connected[inc]}
		peers.byVM[inc.VM] = current
	}
	if current.sequence >= sequence && current.sequence > 0 {
		return nil
	}
	current.sequence = sequence
	current.expiresAt = now.Add(peers.timing.ExpireAfter)
	return current
}

// update applies a full heartbeat to the peer that sent it.
func (peers *Peers) update(sender *peer, heartbeat Heartbeat, change *Change) {
	before, inView := sender.member, sender.inView
	after := heartbeat.member()
	sender.member = after
	sender.version = heartbeat.Version
	if config := (PeerConfig{Peer: heartbeat.Incarnation, Number: heartbeat.Number, Digest: heartbeat.Digest}); config != sender.config {
		sender.config = config
		peers.newerStale = true
	}
	sender.inView = true
	peers.newerStale = peers.newerStale || !inView
	if inView && before == after {
		return
	}
	if inView {
		change.Removed = append(change.Removed, before)
	}
	change.Joined = append(change.Joined, after)
	peers.invalidate()
}

// tryReplace removes the current incarnation on a VM if the newcomer may replace it, and
// reports whether it did. The removed incarnation counts as replaced from then on, unless
// the platform's list has its address and not the newcomer's. In that case the newcomer may
// be the older process, which sends messages while the removed incarnation is cut off. The
// removed incarnation must then be accepted again when it returns.
func (peers *Peers) tryReplace(now time.Time, current *peer, newcomer Member, change *Change) bool {
	inc := current.member.Incarnation
	listedAddress := peers.listed[inc.VM].Address
	currentListed := listedAddress == current.member.Address && listedAddress != newcomer.Address
	newcomerListed := listedAddress == newcomer.Address && listedAddress != current.member.Address
	if peers.isConnected(inc) && !newcomerListed {
		return false
	}
	if !currentListed {
		peers.replaced[inc] = now.Add(peers.timing.ForgetAfter)
		delete(peers.connected, inc)
	}
	delete(peers.byVM, inc.VM)
	peers.newerStale = true
	peers.remove(current, change)
	return true
}

// remove removes a peer from the view until its next full heartbeat.
func (peers *Peers) remove(other *peer, change *Change) {
	if other.inView {
		change.Removed = append(change.Removed, other.member)
		other.inView = false
		peers.newerStale = true
		peers.invalidate()
	}
}

// expireSilent removes the peers whose heartbeats are overdue from the view. These peers
// don't count as replaced, even if they were leaving, because a leaving daemon may have been
// cut off while it finishes its requests. If the other daemons ignored its messages from then
// on, the leaving daemon would still have the others in its view. But it would name other
// leaders than the others do, and send requests to the wrong leader.
func (peers *Peers) expireSilent(now time.Time, change *Change) {
	if now.Before(peers.checkExpiryAt) {
		return
	}
	peers.checkExpiryAt = now.Add(peers.timing.ExpireAfter)
	for _, other := range peers.byVM {
		switch {
		case !now.Before(other.expiresAt):
			peers.remove(other, change)
		case other.expiresAt.Before(peers.checkExpiryAt):
			peers.checkExpiryAt = other.expiresAt
		}
	}
	slices.SortFunc(change.Removed, compareMembers)
}

// expireAll removes all peers from the view after a pause of this process, and returns the
// pulses that request their full heartbeats.
func (peers *Peers) expireAll(now time.Time, pausedFor time.Duration) Change {
	change := Change{Resumed: true, PausedFor: pausedFor}
	for _, other := range peers.byVM {
		peers.remove(other, &change)
	}
	slices.SortFunc(change.Removed, compareMembers)
	peers.settledAt = now.Add(peers.timing.SettleFor)
	change.Messages = peers.pulsesToAll(now)
	return change
}

// deleteOldEvery is the time between two searches for what is older than ForgetAfter.
const deleteOldEvery = time.Second

// deleteOld deletes what is older than ForgetAfter: the peers that expired more than
// ForgetAfter ago, and the listings and replaced incarnations that were recorded at least
// ForgetAfter ago. VMs are replaced all the time, so without deleteOld the maps would grow
// without bound.
func (peers *Peers) deleteOld(now time.Time) {
	if now.Sub(peers.oldDeletedAt) < deleteOldEvery {
		return
	}
	peers.oldDeletedAt = now
	for vm, other := range peers.byVM {
		if now.Sub(other.expiresAt) > peers.timing.ForgetAfter {
			delete(peers.byVM, vm)
		}
	}
	for vm, candidate := range peers.received {
		if !now.Before(candidate.forgetAt) {
			delete(peers.received, vm)
			peers.invalidate()
		}
	}
	for inc, forgetAt := range peers.replaced {
		if !now.Before(forgetAt) {
			delete(peers.replaced, inc)
		}
	}
}

// NewerConfig returns the configuration with the highest number among the peers in the view,
// or the zero value if no number is above this daemon's. If several peers have the highest
// number, the daemons choose different peers, so that one peer isn't asked by all of them. Each
// daemon's choice is stable.
func (peers *Peers) NewerConfig() PeerConfig {
	if peers.newerStale {
		peers.newer, peers.newerStale = peers.findNewerConfig(), false
	}
	return peers.newer
}

func (peers *Peers) findNewerConfig() PeerConfig {
	best := PeerConfig{Number: peers.self.Number}
	for _, other := range peers.byVM {
		config := other.config
		if !other.inView || config.Number < best.Number || config.Number == peers.self.Number {
			continue
		}
		if config.Number > best.Number || peers.sourceWeight(config.Peer.VM) > peers.sourceWeight(best.Peer.VM) {
			best = config
		}
	}
	if best.Peer.IsZero() {
		return PeerConfig{}
	}
	return best
}

// NewerConfigs returns the peers that have the configuration with the highest number, if it is above
// this daemon's number, the result of NewerConfig first. Daemons have them in different orders.
func (peers *Peers) NewerConfigs() []PeerConfig {
	newest := peers.NewerConfig()
	var sources []PeerConfig
	for _, other := range peers.byVM {
		if other.inView && !newest.Peer.IsZero() && other.config.Number == newest.Number {
			sources = append(sources, other.config)
		}
	}
	slices.SortFunc(sources, func(a, b PeerConfig) int {
		return cmp.Compare(peers.sourceWeight(b.Peer.VM), peers.sourceWeight(a.Peer.VM))
	})
	return sources
}

// sourceWeight returns the weight of a VM in this daemon's order of sources.
func (peers *Peers) sourceWeight(vm yuccaid.VM) uint64 {
	return hashWeight(string(peers.self.Incarnation.VM), string(vm))
}
