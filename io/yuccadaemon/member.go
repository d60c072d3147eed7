package yuccadaemon

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccaplat"
	"yuccacleat/io/yuccawire"
)

// onUp greets a peer and repeats what it may have missed while no connection was up.
func (d *Daemon) onUp(member yuccapeer.Member) {
	d.control.Post(func(now time.Time) {
		d.onChange(now, d.peers.HandleConnect(now, member))
		d.resync(now, member.Incarnation)
	})
}

func (d *Daemon) onDown(member yuccapeer.Member) {
	d.control.Post(func(now time.Time) { d.peers.HandleDisconnect(now, member.Incarnation) })
}

// roster tells a peer that can't read the platform's list where daemons are.
type roster struct {
	Listings []yuccapeer.Listing `msgpack:"listings"`
}

func (d *Daemon) onRoster(now time.Time, message roster) {
	d.peers.AddListings(now, message.Listings)
	d.hub.Connect(d.peers.WantedConnections())
}

func (d *Daemon) onHeartbeat(now time.Time, from yuccaid.Incarnation, beat yuccapeer.Heartbeat) {
	if beat.Incarnation != from {
		return
	}
	d.onChange(now, d.peers.HandleHeartbeat(now, beat))
	standing, entries := d.chain.ComparePeer(now, from.String(), beat.Number, beat.Digest)
	d.auditChain(entries, "peer "+from.String())
	if standing == yuccastate.RelationSame {
		d.heardOf()
	}
}

func (d *Daemon) onPulse(now time.Time, from yuccaid.Incarnation, pulse yuccapeer.Pulse) {
	d.onChange(now, d.peers.HandlePulse(now, from, pulse))
}

// onChange follows the view: connections, leadership, and what departed peers held.
func (d *Daemon) onChange(now time.Time, change yuccapeer.Change) {
	if change.Resumed {
		d.woken(now, change.PausedFor)
	}
	for _, beat := range change.Messages {
		d.sendBeat(beat)
	}
	for _, peer := range change.RosterRecipients {
		_ = d.send(peer, yuccawire.KindRoster, roster{Listings: d.peers.AllCandidates()})
	}
	if !change.NewerConfig.Peer.IsZero() {
		d.pull(now, change.NewerConfig)
	}
	for _, left := range change.Removed {
		if !joins(change, left.Incarnation) {
			d.ownerGone(now, left.Incarnation)
		}
	}
	if len(change.Joined) == 0 && len(change.Removed) == 0 && !change.Resumed {
		return
	}
	d.hub.Connect(d.peers.WantedConnections())
	d.refreshLeads(now)
	d.tellLeaders(now)
}

// joins reports whether a member that left the view came back into it changed, as one
// does that begins to drain. It still owns what it has waiting: dropping that here
// would let it wait to its deadline, since its owner sees no reason to offer it again.
func joins(change yuccapeer.Change, inc yuccaid.Incarnation) bool {
	return slices.ContainsFunc(change.Joined, func(member yuccapeer.Member) bool { return member.Incarnation == inc })
}

// woken drops what a frozen process believed: others have taken its leadership and
// its peers may be gone, so it starts again as if it had just joined.
func (d *Daemon) woken(now time.Time, slept time.Duration) {
	for _, led := range d.leads {
		d.layDown(now, led)
	}
	for _, r := range d.runs {
		if r.running {
			continue
		}
		r.leader = yuccaid.Incarnation{}
		if r.away != nil {
			r.away.cancel()
			r.away = nil
		}
	}
	d.audit.add(now, AuditEntry{Kind: AuditWoken, Number: d.State().Number, Detail: "for " + slept.String()})
}

// tellLeaders brings what this daemon holds to each pool's present leader.
func (d *Daemon) tellLeaders(now time.Time) {
	for _, r := range d.runs {
		leader, found := d.peers.Leader(r.claim.Pool)
		if !found || leader.Incarnation == r.leader || r.away != nil {
			continue
		}
		d.tell(now, r, leader)
	}
}

// resync repeats to a leader what it may have missed while a connection was down.
func (d *Daemon) resync(now time.Time, peer yuccaid.Incarnation) {
	for _, r := range d.runs {
		leader, found := d.peers.Leader(r.claim.Pool)
		if found && leader.Incarnation == peer && r.away == nil {
			d.tell(now, r, leader)
		}
	}
}

func (d *Daemon) tell(now time.Time, r *run, leader yuccapeer.Member) {
	if !r.running {
		d.offer(now, r)
		return
	}
	r.leader = leader.Incarnation
	ask := r.ask
	ask.Remaining = r.remaining(now)
	if leader.Incarnation == d.self.Incarnation {
		d.onHold(now, r.claim.Pool, yuccapool.Running{Request: ask, Target: r.target, Answered: r.answered})
		return
	}
	_ = d.send(leader.Incarnation, yuccawire.KindHold, yuccawire.Hold{Offer: d.wireOffer(ask), Target: r.target, Answered: r.answered})
}

func (d *Daemon) sendBeat(beat yuccapeer.Message) {
	if beat.Heartbeat != nil {
		_ = d.send(beat.To, yuccawire.KindHeartbeat, *beat.Heartbeat)
		return
	}
	_ = d.send(beat.To, yuccawire.KindPulse, beat.Pulse)
}

// onList takes the platform's list of VMs. It lags, so it only names candidates and
// marks what leaves; who is live is known from heartbeats.
func (d *Daemon) onList(now time.Time, entries []yuccaplat.VM) {
	var listings []yuccapeer.Listing
	for _, entry := range entries {
		if entry.Kind == yuccaplat.VMEntry {
			listings = append(listings, yuccapeer.Listing{
				VM: entry.Name, Centre: entry.Centre, Address: entry.Address, Leaving: entry.State == yuccaplat.VMLeaving,
			})
		}
	}
	whole := d.peers.TargetShare().Whole()
	d.peers.SetListings(now, listings)
	d.markLeaving(now, entries)
	if d.peers.TargetShare().Whole() != whole {
		d.refreshLeads(now)
	}
	d.hub.Connect(d.peers.WantedConnections())
}

// markLeaving notes the targets whose VMs the platform is about to take away, and
// those that it no longer says so of, as after a VM was replaced.
func (d *Daemon) markLeaving(now time.Time, entries []yuccaplat.VM) {
	gone := make(map[yuccaid.VM]bool)
	for _, entry := range entries {
		if entry.Kind == yuccaplat.VMTarget && entry.State == yuccaplat.VMLeaving {
			gone[entry.Name] = true
		}
	}
	listed := make(map[yuccaid.Target]bool)
	for name, target := range d.State().Targets {
		if gone[target.VM] {
			listed[name] = true
		}
	}
	if maps.Equal(listed, d.leaving) {
		return
	}
	for name := range listed {
		if !d.leaving[name] {
			d.audit.add(now, AuditEntry{Kind: AuditTargetLeaving, What: string(name), Number: d.State().Number})
		}
	}
	d.leaving = listed
	d.refreshLeads(now)
}

// addressOf finds the daemon that runs as an incarnation; a successor at the same VM
// is a stranger to the predecessor's requests.
func (d *Daemon) addressOf(inc yuccaid.Incarnation) (string, bool) {
	var member yuccapeer.Member
	var found bool
	d.control.Call(func(time.Time) { member, found = d.peers.Find(inc.VM) })
	gone := !member.Incarnation.IsZero() && member.Incarnation != inc
	return member.Address, found && member.Address != "" && !gone
}
