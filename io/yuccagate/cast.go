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
	// the fleet's size, and how long daemons still count that another data centre no longer sees.
	centreExpectedFor = time.Minute
	// centreStartupWait is how long after this daemon's start a data centre named in the settings
	// counts in the fleet's size although nothing has been received from it yet. After that time,
	// such a data centre is taken to have no daemons.
	centreStartupWait = 5 * time.Second
	// peerRefusedFor is how long a daemon counts as stopped after it has refused a connection.
	// The time is longer than the time between two dials of that daemon, which is less than a
	// second, so that a stopped daemon counts as stopped until the next dial.
	peerRefusedFor = 1500 * time.Millisecond
	// castInterval is the shortest time between two casts of this data centre's usage when the
	// usage has changed. castMaxInterval is the time between two casts while the usage doesn't
	// change; these casts show that the data centre is up. In large fleets castSpacing returns a
	// longer time than castInterval, and in the largest a longer time than castMaxInterval too.
	castInterval    = 100 * time.Millisecond
	castMaxInterval = 500 * time.Millisecond
	// castIntervalPerDaemon, multiplied by the number of daemons, is the time between casts in
	// fleets of more than 160 daemons, where the product exceeds castInterval. Each cast goes to
	// all daemons, so with a fixed interval the cost would grow with the fleet. With four hundred
	// daemons, casts are sent every quarter of a second. Daemons then learn of one another's
	// usage later, so each daemon may use a smaller share of what is left of a quota.
	castIntervalPerDaemon = 600 * time.Microsecond
	// castIntervalLimit is the longest time that castSpacing returns, however large the fleet is.
	// It is below centreFreshFor, so that a data centre's state doesn't expire between casts.
	castIntervalLimit = time.Second
)

// castSpacing returns the shortest time between two casts of usage in a fleet of the given
// number of daemons.
func castSpacing(daemons int) time.Duration {
	return min(max(castInterval, time.Duration(daemons)*castIntervalPerDaemon), castIntervalLimit)
}

// castKey identifies a series of casts: the casts of one daemon on one topic and pool. A repeated
// cast is recognised by its sequence number among the casts of the same series.
type castKey struct {
	origin string
	topic  yuccawire.Topic
	pool   yuccaid.Pool
}

// cast sends a message to the daemons of all other data centres. It sends the message over this
// daemon's own connections to other data centres, and to daemons of this data centre, which
// forward it over their connections to other data centres.
//
// Only the leaders of other data centres need the loads and failures of a pool's targets. Loads are
// sent often, and if every daemon received them, the number of messages would grow with the square of
// the number of daemons in a data centre. So within this data centre, both are sent only to the daemons
// that hold connections to other data centres. While no such daemon is known, they are sent to all
// daemons of this data centre.
func (gate *Gate) cast(message yuccawire.Cast) {
	if message.Topic.ForLeaders() {
		gate.castRemote(message)
		return
	}
	message = gate.stamp(message)
	gate.sendRemote(message)
	gate.sendLocal(yuccawire.KindCast, message)
}

// castRemote sends a message to the daemons of all other data centres as cast does, but not to the
// daemons of this data centre that hold no connections to others.
func (gate *Gate) castRemote(message yuccawire.Cast) {
	message = gate.stamp(message)
	gate.sendRemote(message)
	if gateways := gate.peers.Gateways(); len(gateways) > 0 {
		gate.sendTo(gateways, message)
		return
	}
	gate.sendLocal(yuccawire.KindCast, message)
}

// stamp sets the fields of a cast that identify it.
func (gate *Gate) stamp(message yuccawire.Cast) yuccawire.Cast {
	gate.castSequence++
	message.Origin = gate.incarnation.String()
	message.Centre = gate.settings.Centre
	message.Sequence = gate.castSequence
	return message
}

// sendTo sends a cast to each of the members except this daemon.
func (gate *Gate) sendTo(members []yuccapeer.Member, message yuccawire.Cast) {
	for _, member := range members {
		if member.Incarnation != gate.incarnation {
			gate.send(member.Incarnation, yuccawire.KindCast, message)
		}
	}
}

// forwardCast forwards a cast from another data centre within this data centre. Loads and
// failures of targets go only to the pool's leader, if there is one; all other casts go to all daemons.
func (gate *Gate) forwardCast(message yuccawire.Cast) {
	if !message.Topic.ForLeaders() {
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

// onCast handles a cast the first time that it arrives, and ignores repetitions. A cast of this
// data centre is forwarded to the other data centres. A cast that a daemon of another data centre
// sent directly to this daemon is forwarded within this data centre. Two connections lead to each
// other data centre, so most casts arrive twice, and casts may arrive out of order.
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
	case yuccawire.TopicFailures:
		gate.onCentreFailures(now, message)
	case yuccawire.TopicFresh:
		gate.onRemoteFresh(now, from, message)
	case yuccawire.TopicTargets:
		gate.onRemoteTargets(now, message)
	}
}

// expectedDaemons counts the daemons of this data centre that may be running. A daemon that has
// refused a connection within peerRefusedFor isn't counted, because it has stopped and admits no
// requests until it runs again.
func (gate *Gate) expectedDaemons(now time.Time) int {
	count := 0
	for _, listing := range gate.peers.Candidates(gate.settings.Centre) {
		if now.Sub(gate.peerRefusedAt[listing.Address]) > peerRefusedFor {
			count++
		}
	}
	return count
}

// countDaemons returns two numbers: visible is the number of daemons whose recent state is known,
// and total is the number of daemons that the fleet seems to have. The total is at least the number
// of seeds, because a daemon that has just started has no connection to any other daemon yet. Until
// centreStartupWait has passed since this daemon's start, each data centre from which nothing has
// been received counts as having as many daemons as this data centre.
func (gate *Gate) countDaemons(now time.Time) (visible, total int) {
	visible = len(gate.peers.Live(gate.settings.Centre))
	total = max(gate.expectedDaemons(now), visible)
	if now.Sub(gate.startedAt) < centreStartupWait {
		silentCentres := len(gate.settings.Regions) - 1 - len(gate.remoteCentres)
		total += total * max(silentCentres, 0)
	}
	for name, centre := range gate.remoteCentres {
		if now.Sub(centre.receivedAt) > centreExpectedFor {
			delete(gate.remoteCentres, name)
			continue
		}
		total += centre.expected(now)
		if now.Sub(centre.receivedAt) < centreFreshFor {
			visible += centre.daemons
		}
	}
	return visible, max(total, len(gate.settings.Seeds))
}

// countCentres returns the number of data centres that have daemons, as far as is known. Until
// centreStartupWait has passed since this daemon's start, every data centre named in the settings
// counts.
func (gate *Gate) countCentres(now time.Time) int {
	if now.Sub(gate.startedAt) < centreStartupWait {
		return max(len(gate.settings.Regions), 1)
	}
	return 1 + len(gate.remoteCentres)
}
