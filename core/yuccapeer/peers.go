package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Peers is one daemon's view of the other daemons. It isn't safe for concurrent use.
type Peers struct {
	// self is this daemon's state, as its full heartbeats report it.
	self   Heartbeat
	timing Timing
	// gatewayCount is how many daemons of a data centre are gateways to each other data
	// centre.
	gatewayCount int
	// seeds are the addresses that are dialled until the platform's list has been read.
	seeds []string

	// listed is the platform's list.
	listed map[yuccaid.VM]Listing
	// received are the candidates received from peers, until the platform's list has been read.
	received map[yuccaid.VM]receivedListing
	// byVM has the peer on each VM, in the view or not.
	byVM map[yuccaid.VM]*peer
	// replaced has the incarnations that another incarnation on their VM has replaced, each
	// with the time at which it is forgotten.
	replaced map[yuccaid.Incarnation]time.Time
	// connected are the incarnations with a connection to this daemon.
	connected map[yuccaid.Incarnation]Member
	// rosterSent are the peers that were sent a roster on their current connection. If a
	// roster were sent for each full heartbeat, each change would cause as many rosters as
	// the square of the number of daemons.
	rosterSent map[yuccaid.Incarnation]bool
	// dialPlan has, for each data centre that this daemon is a gateway to, the VMs there in the
	// order in which they should be dialled. dialPlanSettled is what Settled returned when the
	// plan was made. The plan has to be made again if dialPlanStale is set, or if this daemon
	// has settled since then or no longer counts as settled.
	dialPlan map[yuccaid.Centre][]yuccaid.VM
	// gatewayVMs are the VMs of this data centre that are gateways according to the dial plan.
	gatewayVMs      map[yuccaid.VM]bool
	dialPlanStale   bool
	viewCache       viewCache
	dialPlanSettled bool
	// gatewayLinks has the link to each data centre that this daemon is a gateway to.
	gatewayLinks map[yuccaid.Centre]*gatewayLink
	// lastTick is the time of the last Tick, and zero before the first.
	lastTick time.Time
	// settledAt is the time from which this daemon may name leaders.
	settledAt time.Time
	// wanted is the result of WantedConnections, unless wantedStale is set.
	wanted      []string
	wantedStale bool
	// newer is the result of NewerConfig, unless newerStale is set.
	newer      PeerConfig
	newerStale bool
	// checkExpiryAt is a time before which no peer expires. oldDeletedAt is when deleteOld last deleted
	// what is old.
	checkExpiryAt time.Time
	oldDeletedAt  time.Time
	// lastSentToAll is when full heartbeats or pulses were last sent to all connected peers.
	lastSentToAll time.Time
}

// peer is the current incarnation on one VM.
type peer struct {
	member Member
	config PeerConfig
	// sequence is the sequence number of the last message that was accepted from the peer.
	// version is the version in its last full heartbeat.
	sequence uint64
	version  uint64
	// inView is set by a full heartbeat, and reset when the peer's heartbeats are overdue
	// or this process was paused. The other fields are kept when inView is reset, so that a
	// late message can still be recognised by its sequence number.
	inView bool
	// expiresAt is when the peer is removed from the view unless it sends a message.
	expiresAt time.Time
}

// New returns a view that contains only this daemon.
func New(self Member, options ...Option) *Peers {
	peers := &Peers{
		self: Heartbeat{
			Incarnation: self.Incarnation,
			Centre:      self.Centre,
			Address:     self.Address,
			Leaving:     self.Leaving,
			Version:     1,
			Unlisted:    true,
		},
		timing:       DefaultTiming(),
		gatewayCount: DefaultGateways,
		listed:       make(map[yuccaid.VM]Listing),
		received:     make(map[yuccaid.VM]receivedListing),
		byVM:         make(map[yuccaid.VM]*peer),
		replaced:     make(map[yuccaid.Incarnation]time.Time),
		connected:    make(map[yuccaid.Incarnation]Member),
		rosterSent:   make(map[yuccaid.Incarnation]bool),
		gatewayLinks: make(map[yuccaid.Centre]*gatewayLink),
		gatewayVMs:   make(map[yuccaid.VM]bool),
	}
	for _, option := range options {
		option(peers)
	}
	peers.wantedStale = true
	return peers
}

// Self returns this daemon as a member.
func (peers *Peers) Self() Member { return peers.self.member() }

// Heartbeat returns this daemon's current full heartbeat.
func (peers *Peers) Heartbeat() Heartbeat {
	heartbeat := peers.self
	heartbeat.Knows = peers.candidateCount(peers.self.Centre)
	return heartbeat
}

// SetConfig sets the configuration that this daemon has accepted and returns the
// heartbeats that report it.
func (peers *Peers) SetConfig(now time.Time, number yuccaid.ConfigNumber, digest yuccaid.Digest) Change {
	if peers.self.Number == number && peers.self.Digest == digest {
		return Change{}
	}
	peers.self.Number = number
	peers.self.Digest = digest
	peers.newerStale = true
	return Change{Messages: peers.heartbeatsToAll(now), NewerConfig: peers.NewerConfig()}
}

// Leave marks this daemon as leaving and returns the heartbeats that report it.
func (peers *Peers) Leave(now time.Time) Change {
	if peers.self.Leaving {
		return Change{}
	}
	peers.self.Leaving = true
	peers.invalidate()
	return Change{Messages: peers.heartbeatsToAll(now)}
}

// HandleConnect records that a connection to the member is up and returns the full heartbeat
// to send to the member. The member joins the view with its own first heartbeat. A replaced
// incarnation is ignored. A member on this daemon's own VM is also ignored, because it is the
// predecessor or the successor of this process.
func (peers *Peers) HandleConnect(_ time.Time, member Member) Change {
	_, replaced := peers.replaced[member.Incarnation]
	if replaced || member.VM == peers.self.Incarnation.VM {
		return Change{}
	}
	peers.connected[member.Incarnation] = member
	return Change{Messages: []Message{peers.fullHeartbeat(member.Incarnation)}}
}

// HandleDisconnect records that the last connection to an incarnation has closed. The member
// stays in the view for DisconnectGrace, because its daemon may still be running.
func (peers *Peers) HandleDisconnect(now time.Time, inc yuccaid.Incarnation) {
	delete(peers.connected, inc)
	delete(peers.rosterSent, inc)
	disconnected := peers.byVM[inc.VM]
	if disconnected == nil || disconnected.member.Incarnation != inc {
		return
	}
	if graceEnd := now.Add(peers.timing.DisconnectGrace); graceEnd.Before(disconnected.expiresAt) {
		disconnected.expiresAt = graceEnd
		peers.checkExpiryAt = now
	}
}

// HandleHeartbeat applies a full heartbeat. A heartbeat is ignored if its sender isn't
// connected. A sender is connected from the call of HandleConnect until the call of
// HandleDisconnect.
func (peers *Peers) HandleHeartbeat(now time.Time, heartbeat Heartbeat) Change {
	var change Change
	sender := peers.accept(now, heartbeat.Incarnation, heartbeat.Sequence, &change)
	if sender == nil {
		return change
	}
	if sender.inView && sender.version > heartbeat.Version {
		return change
	}
	peers.update(sender, heartbeat, &change)
	if heartbeat.Centre != peers.self.Centre {
		// A daemon that isn't a gateway closes its connection to a seed in another data centre
		// after the first heartbeat, often before a roster has arrived. If the seed weren't
		// kept as a candidate, every daemon of the fleet would dial it again at once.
		peers.AddListings(now, []Listing{listingOf(heartbeat.member())})
	}
	if heartbeat.Unlisted && !peers.rosterSent[heartbeat.Incarnation] && peers.sendsRosterTo(&heartbeat) {
		peers.rosterSent[heartbeat.Incarnation] = true
		change.RosterRecipients = append(change.RosterRecipients, heartbeat.Incarnation)
	}
	change.NewerConfig = peers.NewerConfig()
	if heartbeat.Number == peers.self.Number && heartbeat.Digest != peers.self.Digest {
		change.Diverged = append(change.Diverged, sender.config)
	}
	return change
}

// HandlePulse applies a pulse from an incarnation. If the pulse requests this daemon's full
// heartbeat, the change contains it. If this daemon lacks the sender's full heartbeat of the
// pulse's version, the change contains a pulse that requests that heartbeat.
func (peers *Peers) HandlePulse(now time.Time, from yuccaid.Incarnation, pulse Pulse) Change {
	var change Change
	sender := peers.accept(now, from, pulse.Sequence, &change)
	if pulse.RequestHeartbeat && peers.isConnected(from) {
		change.Messages = append(change.Messages, peers.fullHeartbeat(from))
	}
	if sender == nil {
		return change
	}
	if !sender.inView || sender.version != pulse.Version {
		change.Messages = append(change.Messages, peers.pulse(from, true))
	}
	return change
}

// Tick removes the peers whose heartbeats are overdue and returns the pulses that are due.
// A long gap since the last call shows that this process was paused.
//
// A process that resumes after a pause would find the heartbeats of all peers overdue, or
// would still act as a leader although another daemon leads the pool by now. So after a pause
// the whole view expires first. Then the daemon names no leader until it has received
// heartbeats for SettleFor.
func (peers *Peers) Tick(now time.Time) Change {
	if peers.lastTick.IsZero() {
		peers.settledAt = now.Add(peers.timing.SettleFor)
	}
	gap := now.Sub(peers.lastTick)
	paused := !peers.lastTick.IsZero() && gap > peers.timing.PauseLimit
	peers.lastTick = now
	var change Change
	if paused {
		change = peers.expireAll(now, gap)
	}
	peers.expireSilent(now, &change)
	peers.deleteOld(now)
	if now.Sub(peers.lastSentToAll) >= peers.timing.HeartbeatEvery {
		peers.updateGatewayLinks(now)
		change.Messages = append(change.Messages, peers.pulsesToAll(now)...)
	}
	change.NewerConfig = peers.NewerConfig()
	return change
}

// CheckClocks expires the whole view if this VM was suspended. It compares the time that has
// passed since the last call by the monotonic clock and by the boot clock, which also counts the
// time during which the VM is suspended. After a suspension the boot clock is ahead, while the
// monotonic clock, and with it the gap between two ticks, may not have advanced. The wall clock
// doesn't show a suspension, because it may be set forward at any time.
func (peers *Peers) CheckClocks(now time.Time, monotonic, boot time.Duration) Change {
	if ahead := boot - monotonic; ahead > peers.timing.PauseLimit {
		return peers.expireAll(now, ahead)
	}
	return Change{}
}

// Live returns the members of a data centre that are live and not leaving, this daemon
// included, in the order of their names. For another data centre it only includes the
// few members that this daemon is connected to.
//
// The slice is shared between callers and must not be modified.
func (peers *Peers) Live(centre yuccaid.Centre) []Member {
	return cached(&peers.viewCache.live, centre, func() []Member {
		return peers.members(func(member Member) bool {
			return member.Centre == centre && !member.Leaving
		})
	})
}

// SetSeeds replaces the addresses of daemons to dial until the platform's list is read.
func (peers *Peers) SetSeeds(addresses []string) {
	peers.seeds = addresses
	peers.wantedStale = true
}

// Find returns the live member on a VM, which may be this daemon. If there is none, it
// returns the candidate on the VM, as a member of unknown incarnation. It returns false if
// the VM has neither a live member nor a candidate.
func (peers *Peers) Find(vm yuccaid.VM) (Member, bool) {
	if vm == peers.self.Incarnation.VM {
		return peers.Self(), true
	}
	if other := peers.byVM[vm]; other != nil && other.inView {
		return other.member, true
	}
	listing, ok := peers.candidates()[vm]
	return listing.member(), ok
}

// ReachesAddress reports whether the address is this daemon's or that of a member in its view, which may be
// leaving.
func (peers *Peers) ReachesAddress(address string) bool {
	if address == peers.self.Address {
		return true
	}
	for _, other := range peers.byVM {
		if other.inView && other.member.Address == address {
			return true
		}
	}
	return false
}

// Settled reports whether this daemon has received heartbeats for long enough to name
// leaders.
func (peers *Peers) Settled() bool {
	return !peers.lastTick.IsZero() && !peers.lastTick.Before(peers.settledAt)
}

// isConnected reports whether an incarnation has a connection to this daemon.
func (peers *Peers) isConnected(inc yuccaid.Incarnation) bool {
	_, ok := peers.connected[inc]
	return ok
}

// members returns the live members that match, this daemon included, ordered by
// compareMembers.
func (peers *Peers) members(match func(Member) bool) []Member {
	var all []Member
	if self := peers.Self(); match(self) {
		all = append(all, self)
	}
	for _, other := range peers.byVM {
		if other.inView && match(other.member) {
			all = append(all, other.member)
		}
	}
	slices.SortFunc(all, compareMembers)
	return all
}
