package yuccapeer

import (
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// Peers is one daemon's view of the others.
type Peers struct {
	self     Heartbeat
	timing   Timing
	gateways int
	seeds    []string

	listed map[yuccaid.VM]Listing
	told   map[yuccaid.VM]hearsay
	peers  map[yuccaid.VM]*peer
	gone   map[yuccaid.Incarnation]time.Time
	linked map[yuccaid.Incarnation]Member
	// rostered are the peers that got a roster on their present connection. One for each
	// whole heartbeat would grow with the square of the daemons at every change.
	rostered map[yuccaid.Incarnation]bool
	// plan is who to dial in other data centres, stale that it has to be made anew,
	// plannedSettled whether the view had settled when it was made.
	plan map[yuccaid.Centre][]yuccaid.VM
	// bridges are the VMs of this data centre that the plan has as gateways.
	bridges        map[yuccaid.VM]bool
	stale          bool
	derived        derived
	plannedSettled bool
	wishes         map[yuccaid.Centre]*wish
	ticked         time.Time
	settled        time.Time
	beaten         time.Time
}

// peer is the present incarnation on one VM.
type peer struct {
	member   Member
	source   PeerConfig
	sequence uint64
	version  uint64
	// known says that the peer is in the view: a whole heartbeat has come, and
	// neither silence nor a pause of our own has ended it since. The rest stays
	// when it ends, so that a late heartbeat is still seen to be late.
	known bool
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
		timing:   DefaultTiming(),
		gateways: DefaultGateways,
		listed:   make(map[yuccaid.VM]Listing),
		told:     make(map[yuccaid.VM]hearsay),
		peers:    make(map[yuccaid.VM]*peer),
		gone:     make(map[yuccaid.Incarnation]time.Time),
		linked:   make(map[yuccaid.Incarnation]Member),
		rostered: make(map[yuccaid.Incarnation]bool),
		wishes:   make(map[yuccaid.Centre]*wish),
		bridges:  make(map[yuccaid.VM]bool),
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
	beat.Knows = peers.known(peers.self.Centre)
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
	return Change{Messages: peers.announce(now), NewerConfig: peers.NewerConfig()}
}

// Leave notes that this daemon is leaving and returns the heartbeats that tell the
// others.
func (peers *Peers) Leave(now time.Time) Change {
	if peers.self.Leaving {
		return Change{}
	}
	peers.self.Leaving = true
	peers.changed()
	return Change{Messages: peers.announce(now)}
}

// HandleConnect notes that a connection to the member is up and returns the heartbeat that
// greets it. The member joins the view with its own first heartbeat. One that names
// this daemon's own VM is its predecessor, or its successor, and counts for nothing.
func (peers *Peers) HandleConnect(_ time.Time, member Member) Change {
	_, gone := peers.gone[member.Incarnation]
	if gone || member.VM == peers.self.Incarnation.VM {
		return Change{}
	}
	peers.linked[member.Incarnation] = member
	return Change{Messages: []Message{peers.whole(member.Incarnation)}}
}

// HandleDisconnect notes that the last connection to an incarnation is gone. The member stays in
// the view for LostGrace, for a broken connection alone is no death.
func (peers *Peers) HandleDisconnect(now time.Time, inc yuccaid.Incarnation) {
	delete(peers.linked, inc)
	delete(peers.rostered, inc)
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
	other := peers.admit(now, beat.Incarnation, beat.Sequence, &change)
	if other == nil {
		return change
	}
	if other.known && other.version > beat.Version {
		return change
	}
	peers.update(other, beat, &change)
	if beat.Centre != peers.self.Centre {
		// A daemon that isn't a gateway lets go of a seed elsewhere once it has met it, often
		// before a roster has come back. Forgotten, the seed would be dialled anew at once, by
		// every daemon of the fleet.
		peers.AddListings(now, []Listing{listingOf(beat.member())})
	}
	if beat.Unlisted && !peers.rostered[beat.Incarnation] && peers.owesRoster(&beat) {
		peers.rostered[beat.Incarnation] = true
		change.RosterRecipients = append(change.RosterRecipients, beat.Incarnation)
	}
	change.NewerConfig = peers.NewerConfig()
	if beat.Number == peers.self.Number && beat.Digest != peers.self.Digest {
		change.Diverged = append(change.Diverged, other.source)
	}
	return change
}

// HandlePulse takes a pulse that came from an incarnation. If the version it names was
// never heard whole, the change holds a pulse that asks for it.
func (peers *Peers) HandlePulse(now time.Time, from yuccaid.Incarnation, pulse Pulse) Change {
	var change Change
	other := peers.admit(now, from, pulse.Sequence, &change)
	if pulse.RequestHeartbeat && peers.isLinked(from) {
		change.Messages = append(change.Messages, peers.whole(from))
	}
	if other == nil {
		return change
	}
	if !other.known || other.version != pulse.Version {
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
	if peers.ticked.IsZero() {
		peers.settled = now.Add(peers.timing.SettleFor)
	}
	gap := now.Sub(peers.ticked)
	paused := !peers.ticked.IsZero() && gap > peers.timing.PauseLimit
	peers.ticked = now
	var change Change
	if paused {
		change = peers.wake(now, gap)
	}
	peers.expire(now, &change)
	peers.forget(now)
	if now.Sub(peers.beaten) >= peers.timing.HeartbeatEvery {
		peers.reconsider(now)
		change.Messages = append(change.Messages, peers.pulses(now)...)
	}
	change.NewerConfig = peers.NewerConfig()
	return change
}

// CheckClocks compares how far the monotonic and the wall clock have gone since the last
// call. A VM that was suspended has a wall clock that ran ahead, while the monotonic
// clock, and every gap that Tick can see, may have stood still.
func (peers *Peers) CheckClocks(now time.Time, monotonic, wall time.Duration) Change {
	if ahead := wall - monotonic; ahead > peers.timing.PauseLimit {
		return peers.wake(now, ahead)
	}
	return Change{}
}

// Live returns the members of a data centre that are live and not leaving, this
// daemon included, in the order of their names. Of other data centres these are the
// few that this daemon holds connections to.
//
// The list is the callers' to read, not to change: all get the same one.
func (peers *Peers) Live(centre yuccaid.Centre) []Member {
	return lookUp(&peers.derived.live, centre, func() []Member {
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
	if other := peers.peers[vm]; other != nil && other.known {
		return other.member, true
	}
	listing, ok := peers.candidates()[vm]
	return listing.member(), ok
}

// Settled reports whether this daemon has listened long enough to name leaders.
func (peers *Peers) Settled() bool {
	return !peers.ticked.IsZero() && !peers.ticked.Before(peers.settled)
}

func (peers *Peers) isLinked(inc yuccaid.Incarnation) bool {
	_, ok := peers.linked[inc]
	return ok
}

// members returns the live ones that the filter takes, this daemon among them.
func (peers *Peers) members(take func(Member) bool) []Member {
	var all []Member
	if self := peers.Self(); take(self) {
		all = append(all, self)
	}
	for _, other := range peers.peers {
		if other.known && take(other.member) {
			all = append(all, other.member)
		}
	}
	slices.SortFunc(all, compareMembers)
	return all
}
