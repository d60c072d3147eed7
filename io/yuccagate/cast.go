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
	// centreStartupWait is how long after the start a data centre of the settings counts in the
	// fleet's size before anything was received from it. Afterwards it may have no daemons.
	centreStartupWait = 5 * time.Second
	// connRefusedFor is how long after a refused connection a daemon counts as stopped: redials
	// are less than a second apart.
	connRefusedFor = 1500 * time.Millisecond
	// castInterval is the shortest time between two casts of this data centre's usage when it
	// has changed. castMaxInterval is the longest time between two casts, which also show that
	// the data centre is up.
	castInterval    = 100 * time.Millisecond
	castMaxInterval = 500 * time.Millisecond
	// castIntervalPerDaemon lengthens castInterval with the number of daemons, because each
	// cast goes to all of them, so that the cost would otherwise grow with the fleet. Up to 160
	// daemons, castInterval is the longer of the two. With four hundred, casts are sent every
	// quarter of a second, and each daemon's share of what is left of a quota is smaller for
	// it.
	castIntervalPerDaemon = 600 * time.Microsecond
	// castIntervalLimit keeps the time between casts below centreFreshFor in fleets of any
	// size.
	castIntervalLimit = time.Second
)

// castSpacing returns the shortest time between two casts of usage in a fleet of the given
// number of daemons.
func castSpacing(daemons int) time.Duration {
	return min(max(castInterval, time.Duration(daemons)*castIntervalPerDaemon), castIntervalLimit)
}

// castKey identifies a series of casts, in which later ones replace earlier ones.
type castKey struct {
	origin string
	topic  yuccawire.Topic
	pool   yuccaid.Pool
}

// remoteCentre is what is known about another data centre.
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

// onCast handles a cast and forwards it if this daemon is on its way. Two connections lead to
// each other data centre, so most casts arrive twice, and not always in order.
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
		if now.Sub(gate.connRefusedAt[listing.Address]) > connRefusedFor {
			count++
		}
	}
	return count
}

// countDaemons returns how many daemons the fleet seems to have, and from how many of them
// there is recent state. The total is at least the number of seeds, for a daemon that has not
// connected to any other yet. A data centre from which nothing has been received since the
// start counts for as many daemons as this one has.
func (gate *Gate) countDaemons(now time.Time) (visible, total int) {
	visible = len(gate.peers.Live(gate.settings.Centre))
	total = max(gate.expectedDaemons(now), visible)
	if now.Sub(gate.startedAt) < centreStartupWait {
		silentCentres := len(gate.settings.Regions) - 1 - len(gate.remoteCentres)
		total += total * max(silentCentres, 0)
	}
	for name, other := range gate.remoteCentres {
		age := now.Sub(other.receivedAt)
		if age > centreExpectedFor {
			delete(gate.remoteCentres, name)
			continue
		}
		total += other.daemons
		if age < centreFreshFor {
			visible += other.daemons
		}
	}
	return visible, max(total, len(gate.settings.Seeds))
}
