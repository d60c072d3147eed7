package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

const (
	// centreFreshFor is how long the last message from another data centre counts as its
	// present state.
	centreFreshFor = 1500 * time.Millisecond
	// centreExpectedFor is how long a data centre that no longer sends anything still counts in
	// the fleet's size.
	centreExpectedFor = time.Minute
	// centreStartupWait is how long after this daemon's start a data centre named in the settings
	// counts in the fleet's size although nothing has been received from it yet. After that time,
	// such a data centre is taken to have no daemons.
	centreStartupWait = 5 * time.Second
	// peerRefusedFor is how long after it refused a connection a daemon counts as stopped. It is
	// longer than the time between two dials, which is less than a second.
	peerRefusedFor = 1500 * time.Millisecond
	// castInterval is the shortest time between two casts of this data centre's usage when it
	// has changed. castMaxInterval is the time between two casts while usage doesn't change; they
	// show that the data centre is up. In large fleets castSpacing is longer and replaces both.
	castInterval    = 100 * time.Millisecond
	castMaxInterval = 500 * time.Millisecond
	// castIntervalPerDaemon, multiplied by the number of daemons, is the time between casts in
	// fleets of more than 160 daemons, where it exceeds castInterval. Each cast goes to all
	// daemons, so with a fixed interval the cost would grow with the fleet. With four hundred
	// daemons, casts are sent every quarter of a second. Since daemons then learn of one
	// another's usage later, each may use a smaller share of what is left of a quota.
	castIntervalPerDaemon = 600 * time.Microsecond
	// castIntervalLimit bounds castSpacing in fleets of any size. It is below centreFreshFor, so
	// that a data centre's state doesn't expire between casts.
	castIntervalLimit = time.Second
)

// castSpacing returns the shortest time between two casts of usage in a fleet of the given
// number of daemons.
func castSpacing(daemons int) time.Duration {
	return min(max(castInterval, time.Duration(daemons)*castIntervalPerDaemon), castIntervalLimit)
}

// castKey identifies a series of casts from one daemon, whose sequence numbers are compared.
type castKey struct {
	origin string
	topic  yuccawire.Topic
	pool   yuccaid.Pool
}

// remoteCentre is what is known about another data centre: the number of its daemons as of the
// last cast of usage, which was received at receivedAt.
type remoteCentre struct {
	daemons    int
	receivedAt time.Time
}

// cast sends a message to the daemons of all other data centres: directly over this daemon's
// own connections to some of them, and through the daemons of its own data centre that have
// other connections.
//
// Only the leaders of other data centres need the loads of a pool's targets, which are sent ten
// times a second. When every daemon got them, they made up nine tenths of the messages between
// daemons and grew with the square of the number of daemons in a data centre. So they are
// forwarded only to the daemons that hold connections to other data centres.
func (gate *Gate) cast(message yuccawire.Cast) {
	gate.castSequence++
	message.Origin = gate.incarnation.String()
	message.Centre = gate.settings.Centre
	message.Sequence = gate.castSequence
	gate.sendRemote(message)
	if gateways := gate.peers.Gateways(); message.Topic == yuccawire.TopicLoad && len(gateways) > 0 {
		gate.sendTo(gateways, message)
		return
	}
	gate.sendLocal(yuccawire.KindCast, message)
}

// sendTo sends a cast to the members, except this daemon itself.
func (gate *Gate) sendTo(members []yuccapeer.Member, message yuccawire.Cast) {
	for _, member := range members {
		if member.Incarnation != gate.incarnation {
			gate.send(member.Incarnation, yuccawire.KindCast, message)
		}
	}
}

// forwardCast forwards a cast from another data centre to the daemons of this one that need it:
// loads of targets to the pool's leader, everything else to all.
func (gate *Gate) forwardCast(message yuccawire.Cast) {
	if message.Topic != yuccawire.TopicLoad {
		gate.sendLocal(yuccawire.KindCast, message)
		return
	}
	if leader, found := gate.peers.Leader(message.Pool); found {
		gate.sendTo([]yuccapeer.Member{leader}, message)
	}
}

// sendRemote sends a cast over this daemon's connections to other data centres.
func (gate *Gate) sendRemote(message yuccawire.Cast) {
	for _, member := range gate.hub.Linked() {
		if member.Centre != gate.settings.Centre {
			gate.send(member.Incarnation, yuccawire.KindCast, message)
		}
	}
}

// onCast handles a cast the first time that it arrives. A cast of this data centre is forwarded
// to the other data centres, and a cast that another data centre sent directly to this daemon is
// forwarded within this one. Two connections lead to each other data centre, so most casts
// arrive twice, and not always in order.
func (gate *Gate) onCast(now time.Time, from yuccaid.Incarnation, message yuccawire.Cast) {
	key := castKey{origin: message.Origin, topic: message.Topic, pool: message.Pool}
	window := gate.castWindows[key]
	isNew := window.accept(message.Sequence)
	gate.castWindows[key] = window
	if !isNew {
		return
	}
	if message.Centre == gate.settings.Centre {
		if message.Topic == yuccawire.TopicUse {
			gate.ledger.MarkRemoteReported(message.Use)
		}
		gate.sendRemote(message)
		return
	}
	if peer, found := gate.peers.Find(from.VM); found && peer.Centre != gate.settings.Centre {
		gate.forwardCast(message)
	}
	switch message.Topic {
	case yuccawire.TopicUse:
		gate.onCentreUse(now, message)
	case yuccawire.TopicLoad:
		gate.onCentreLoad(now, message)
	}
}

// expectedDaemons counts the daemons of this data centre that may be running. A daemon whose VM
// refuses connections has stopped, and admits nothing until it runs again.
func (gate *Gate) expectedDaemons(now time.Time) int {
	count := 0
	for _, listing := range gate.peers.Candidates(gate.settings.Centre) {
		if now.Sub(gate.peerRefusedAt[listing.Address]) > peerRefusedFor {
			count++
		}
	}
	return count
}

// countDaemons returns how many daemons the fleet seems to have, and from how many of them
// there is recent state. The total is at least the number of seeds, for a daemon that has not
// connected to any other yet. Until centreStartupWait has passed, a data centre from which nothing
// has been received counts for as many daemons as this one has.
func (gate *Gate) countDaemons(now time.Time) (visible, total int) {
	visible = len(gate.peers.Live(gate.settings.Centre))
	total = max(gate.expectedDaemons(now), visible)
	if now.Sub(gate.startedAt) < centreStartupWait {
		silentCentres := len(gate.settings.Regions) - 1 - len(gate.remoteCentres)
		total += total * max(silentCentres, 0)
	}
	for name, centre := range gate.remoteCentres {
		age := now.Sub(centre.receivedAt)
		if age > centreExpectedFor {
			delete(gate.remoteCentres, name)
			continue
		}
		total += centre.daemons
		if age < centreFreshFor {
			visible += centre.daemons
		}
	}
	return visible, max(total, len(gate.settings.Seeds))
}
