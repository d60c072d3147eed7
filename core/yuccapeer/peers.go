package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Peers is one daemon's view of the others.
type Peers struct {
	self         Heartbeat
	timing       Timing
	gatewayCount int
	seeds        []string

	listed    map[yuccaid.VM]Listing
	received  map[yuccaid.VM]receivedListing
	peers     map[yuccaid.VM]*peer
	departed  map[yuccaid.Incarnation]time.Time
	connected map[yuccaid.Incarnation]Member
	// rosterSent are the peers that got a roster on their present connection. One for each
	// whole heartbeat would grow with the square of the daemons at every change.
	rosterSent map[yuccaid.Incarnation]bool
	// dialPlan is who to dial in other data centres, stale that it has to be made anew,
	// plannedSettled whether the view had settled when it was made.
	dialPlan map[yuccaid.Centre][]yuccaid.VM
	// gatewayVMs are the VMs of this data centre that the plan has as gateways.
	gatewayVMs      map[yuccaid.VM]bool
	dialPlanStale   bool
	viewCache       viewCache
	dialPlanSettled bool
	gatewayLinks    map[yuccaid.Centre]*gatewayLink
	lastTick        time.Time
	settledAt       time.Time
	lastHeartbeats  time.Time
}

// peer is the present incarnation on one VM.
type peer struct {
	member   Member
	config   PeerConfig
	sequence uint64
	version  uint64
	// inView says that the peer is in the view: a whole heartbeat has come, and
	// neither silence nor a pause of our own has ended it since. The rest stays
	// when it ends, so that a late heartbeat is still seen to be late.
	inView bool
	// expires is when the peer goes out of the view unless it is heard again.
	expires time.Time
}

// New returns a view that holds only this daemon.
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
		peers:        make(map[yuccaid.VM]*peer),
		departed:     make(map[yuccaid.Incarnation]time.Time),
		connected:    make(map[yuccaid.Incarnation]Member),
		rosterSent:   make(map[yuccaid.Incarnation]bool),
		gatewayLinks: make(map[yuccaid.Centre]*gatewayLink),
		gatewayVMs:   make(map[yuccaid.VM]bool),
	}
	for _, option := range options {
		option(peers)
	}
	return peers
}

// Self returns this daemon as the others see it.
func (peers *Peers) Self() Member { return peers.self.member() }

// Heartbeat returns what this daemon tells the others now.
func (peers *Peers) Heartbeat() Heartbeat {
	beat := peers.self
	beat.Knows = peers.candidateCount(peers.self.Centre)
	return beat
}

// SetConfig notes the configuration that this daemon has accepted and returns the
// heartbeats that tell the others.
func (peers *Peers) SetConfig(now time.Time, number yuccaid.ConfigNumber, digest yuccaid.Digest) Change {
	if peers.self.Number == number && peers.self.Digest == digest {
		return Change{}
	}
	peers.self.Number = number
	peers.self.Digest = digest
	return Change{Messages: peers.heartbeatsToAll(now), NewerConfig: peers.NewerConfig()}
}

// Leave notes that this daemon is leaving and returns the heartbeats that tell the
// others.
func (peers *Peers) Leave(now time.Time) Change {
	if peers.self.Leaving {
		return Change{}
	}
	peers.self.Leaving = true
	peers.invalidate()
	return Change{Messages: peers.heartbeatsToAll(now)}
}

// HandleConnect notes that a connection to the member is up and returns the heartbeat that
// greets it. The member joins the view with its own first heartbeat. One that names
// this daemon's own VM is its predecessor, or its successor, and counts for nothing.
func (peers *Peers) HandleConnect(_ time.Time, member Member) Change {
	_, departed := peers.departed[member.Incarnation]
	if departed || member.VM == peers.self.Incarnation.VM {
		return Change{}
	}
	peers.connected[member.Incarnation] = member
	return Change{Messages: []Message{peers.fullHeartbeat(member.Incarnation)}}
}

// HandleDisconnect notes that the last connection to an incarnation is gone. The member stays in
// the view for LostGrace, for a broken connection alone is no death.
func (peers *Peers) HandleDisconnect(now time.Time, inc yuccaid.Incarnation) {
	delete(peers.connected, inc)
	delete(peers.rosterSent, inc)
	other := peers.peers[inc.VM]
	if other == nil || other.member.Incarnation != inc {
		return
	}
	if grace := now.Add(peers.timing.DisconnectGrace); grace.Before(other.expires) {
		other.expires = grace
	}
}

// HandleHeartbeat takes a whole heartbeat. One that came on no connection of its sender's counts
// for nothing: Linked comes before it and Lost after.
func (peers *Peers) HandleHeartbeat(now time.Time, beat Heartbeat) Change {
	var change Change
	other := peers.accept(now, beat.Incarnation, beat.Sequence, &change)
	if other == nil {
		return change
	}
	if other.inView && other.version > beat.Version {
		return change
	}
	peers.update(other, beat, &change)
	if beat.Centre != peers.self.Centre {
		// A daemon that isn't a gateway lets go of a seed elsewhere once it has met it, often
		// before a roster has come back. Forgotten, the seed would be dialled anew at once, by
		// every daemon of the fleet.
		peers.AddListings(now, []Listing{listingOf(beat.member())})
	}
	if beat.Unlisted && !peers.rosterSent[beat.Incarnation] && peers.sendsRosterTo(&beat) {
		peers.rosterSent[beat.Incarnation] = true
		change.RosterRecipients = append(change.RosterRecipients, beat.Incarnation)
	}
	change.NewerConfig = peers.NewerConfig()
	if beat.Number == peers.self.Number && beat.Digest != peers.self.Digest {
		change.Diverged = append(change.Diverged, other.config)
	}
	return change
}

// HandlePulse takes a pulse that came from an incarnation. If the version it names was
// never heard whole, the change holds a pulse that asks for it.
func (peers *Peers) HandlePulse(now time.Time, from yuccaid.Incarnation, pulse Pulse) Change {
	var change Change
	other := peers.accept(now, from, pulse.Sequence, &change)
	if pulse.RequestHeartbeat && peers.isConnected(from) {
		change.Messages = append(change.Messages, peers.fullHeartbeat(from))
	}
	if other == nil {
		return change
	}
	if !other.inView || other.version != pulse.Version {
		change.Messages = append(change.Messages, peers.pulse(from, true))
	}
	return change
}

// Tick expires who fell silent, returns the heartbeats that are due, and notices by
// the gap since the last tick that this process was paused.
//
// A paused process would take the whole world for silent, or, having missed its own
// end, go on as the leader that it was. So its view expires before anything else and
// it listens again before it names a leader.
func (peers *Peers) Tick(now time.Time) Change {
	if peers.lastTick.IsZero() {
		peers.settledAt = now.Add(peers.timing.SettleFor)
	}
	gap := now.Sub(peers.lastTick)
	paused := !peers.lastTick.IsZero() && gap > peers.timing.PauseLimit
	peers.lastTick = now
	var change Change
	if paused {
		change = peers.resume(now, gap)
	}
	peers.expireSilent(now, &change)
	peers.deleteOld(now)
	if now.Sub(peers.lastHeartbeats) >= peers.timing.HeartbeatEvery {
		peers.updateGatewayLinks(now)
		change.Messages = append(change.Messages, peers.pulsesToAll(now)...)
	}
	change.NewerConfig = peers.NewerConfig()
	return change
}

// CheckClocks compares how far the monotonic and the wall clock have gone since the last
// call. A VM that was suspended has a wall clock that ran ahead, while the monotonic
// clock, and every gap that Tick can see, may have stood still.
func (peers *Peers) CheckClocks(now time.Time, monotonic, wall time.Duration) Change {
	if ahead := wall - monotonic; ahead > peers.timing.PauseLimit {
		return peers.resume(now, ahead)
	}
	return Change{}
}

// Live returns the members of a data centre that are live and not leaving, this
// daemon included, in the order of their names. Of other data centres these are the
// few that this daemon holds connections to.
//
// The list is the callers' to read, not to change: all get the same one.
func (peers *Peers) Live(centre yuccaid.Centre) []Member {
	return cached(&peers.viewCache.live, centre, func() []Member {
		return peers.members(func(member Member) bool {
			return member.Centre == centre && !member.Leaving
		})
	})
}

// SetSeeds changes where other daemons may be met.
func (peers *Peers) SetSeeds(addresses []string) { peers.seeds = addresses }

// Find returns the live member on a VM, else the VM's candidate, without incarnation.
func (peers *Peers) Find(vm yuccaid.VM) (Member, bool) {
	if vm == peers.self.Incarnation.VM {
		return peers.Self(), true
	}
	if other := peers.peers[vm]; other != nil && other.inView {
		return other.member, true
	}
	listing, ok := peers.candidates()[vm]
	return listing.member(), ok
}

// Settled reports whether this daemon has listened long enough to name leaders.
func (peers *Peers) Settled() bool {
	return !peers.lastTick.IsZero() && !peers.lastTick.Before(peers.settledAt)
}

func (peers *Peers) isConnected(inc yuccaid.Incarnation) bool {
	_, ok := peers.connected[inc]
	return ok
}

// members returns the live ones that the filter takes, this daemon among them.
func (peers *Peers) members(take func(Member) bool) []Member {
	var all []Member
	if self := peers.Self(); take(self) {
		all = append(all, self)
	}
	for _, other := range peers.peers {
		if other.inView && take(other.member) {
			all = append(all, other.member)
		}
	}
	slices.SortFunc(all, compareMembers)
	return all
}
