package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

const (
	// centreFresh is how long another data centre's last word counts as news of it.
	centreFresh = 1500 * time.Millisecond
	// centreKnown is how long a data centre that fell silent is expected back.
	centreKnown = time.Minute
	// centreAwaited is how long after the start a data centre of the settings is expected to
	// be heard of: it may have no daemons.
	centreAwaited = 5 * time.Second
	// refusedFor is how long a refused connection counts as news: redials are less than a
	// second apart.
	refusedFor = 1500 * time.Millisecond
	// castEvery and castLatest bound how often this data centre tells the others what it
	// let in: when there is news, and to show that it is there.
	castEvery  = 100 * time.Millisecond
	castLatest = 500 * time.Millisecond
	// castForDaemon spaces such casts by how many daemons there are: all get each of them, and
	// would else spend the more on it the more they are. Up to 160 daemons notice nothing; at
	// four hundred casts come every quarter of a second, and shares of quotas are the smaller.
	castForDaemon = 600 * time.Microsecond
	// castSlowest keeps a data centre's word younger than centreFresh in any fleet.
	castSlowest = time.Second
)

// castSpacing is how often this data centre tells the others what it let in when there is
// news, in a fleet of so many daemons.
func castSpacing(daemons int) time.Duration {
	return min(max(castEvery, time.Duration(daemons)*castForDaemon), castSlowest)
}

// castKey names a series of casts, in which later ones replace earlier ones.
type castKey struct {
	origin string
	topic  yuccawire.Topic
	pool   yuccaid.Pool
}

// centre is what is known of another data centre.
type centre struct {
	daemons int
	heard   time.Time
}

// cast sends a message to the daemons of all other data centres: over the connections that
// this daemon has to some, and by those of its own data centre that have others.
//
// What a pool's leader has is of use to the leaders elsewhere only, ten times a second. Told
// to everybody, it was nine tenths of what daemons told one another, and grew with the square
// of a data centre's daemons.
func (gate *Gate) cast(message yuccawire.Cast) {
	gate.sequence++
	message.Origin = gate.inc.String()
	message.Centre = gate.settings.Centre
	message.Sequence = gate.sequence
	gate.across(message)
	if bridges := gate.peers.Gateways(); message.Topic == yuccawire.TopicLoad && len(bridges) > 0 {
		gate.sendAll(bridges, message)
		return
	}
	gate.nearby(yuccawire.KindCast, message)
}

func (gate *Gate) sendAll(members []yuccapeer.Member, message yuccawire.Cast) {
	for _, member := range members {
		if member.Incarnation != gate.inc {
			gate.send(member.Incarnation, yuccawire.KindCast, message)
		}
	}
}

// spread hands a cast from another data centre to those of this one whom it concerns.
func (gate *Gate) spread(message yuccawire.Cast) {
	if message.Topic != yuccawire.TopicLoad {
		gate.nearby(yuccawire.KindCast, message)
		return
	}
	if leader, found := gate.peers.Leader(message.Pool); found {
		gate.sendAll([]yuccapeer.Member{leader}, message)
	}
}

// across sends a cast over the connections to other data centres.
func (gate *Gate) across(message yuccawire.Cast) {
	for _, member := range gate.hub.Linked() {
		if member.Centre != gate.settings.Centre {
			gate.send(member.Incarnation, yuccawire.KindCast, message)
		}
	}
}

// onCast passes a cast on where that is this daemon's part, and takes one from elsewhere.
// Two connections lead to each other data centre, so most casts come twice, and not always in
// their order.
func (gate *Gate) onCast(now time.Time, from yuccaid.Incarnation, message yuccawire.Cast) {
	key := castKey{origin: message.Origin, topic: message.Topic, pool: message.Pool}
	series := gate.casts[key]
	news := series.first(message.Sequence)
	gate.casts[key] = series
	if !news {
		return
	}
	if message.Centre == gate.settings.Centre {
		if message.Topic == yuccawire.TopicUse {
			gate.ledger.MarkRemoteReported(message.Use)
		}
		gate.across(message)
		return
	}
	if peer, found := gate.peers.Find(from.VM); found && peer.Centre != gate.settings.Centre {
		gate.spread(message)
	}
	switch message.Topic {
	case yuccawire.TopicUse:
		gate.onCentreUse(now, message)
	case yuccawire.TopicLoad:
		gate.onCentreLoad(now, message)
	}
}

// expected counts the daemons of this data centre that there may be. One whose VM refuses
// connections has ended, and lets nothing in until it is back.
func (gate *Gate) expected(now time.Time) int {
	count := 0
	for _, listing := range gate.peers.Candidates(gate.settings.Centre) {
		if now.Sub(gate.refusedAt[listing.Address]) > refusedFor {
			count++
		}
	}
	return count
}

// fleet returns how many daemons there seem to be, and from how many of them there is
// fresh news. Seeds count at least, for a daemon that has reached nobody yet, and a data
// centre that hasn't been heard of since the start counts for as many as this one.
func (gate *Gate) fleet(now time.Time) (visible, total int) {
	visible = len(gate.peers.Live(gate.settings.Centre))
	total = max(gate.expected(now), visible)
	if now.Sub(gate.began) < centreAwaited {
		unheard := len(gate.settings.Regions) - 1 - len(gate.centres)
		total += total * max(unheard, 0)
	}
	for name, other := range gate.centres {
		age := now.Sub(other.heard)
		if age > centreKnown {
			delete(gate.centres, name)
			continue
		}
		total += other.daemons
		if age < centreFresh {
			visible += other.daemons
		}
	}
	return visible, max(total, len(gate.settings.Seeds))
}
