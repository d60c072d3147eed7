package yuccapeer

import (
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
)

// announce raises the version and returns the whole heartbeat for everybody.
func (peers *Peers) announce(now time.Time) []Message {
	peers.self.Version++
	peers.self.Sequence++
	peers.beaten = now
	whole := peers.Heartbeat()
	return peers.toAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Heartbeat: &whole}
	})
}

// pulses is the round that says we are alive; it asks those for their whole heartbeat
// whom we don't know, or no longer since a pause.
func (peers *Peers) pulses(now time.Time) []Message {
	peers.self.Sequence++
	peers.beaten = now
	return peers.toAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Pulse: peers.pulseNow(!peers.knows(to))}
	})
}

// whole is the heartbeat for one peer that lacks it.
func (peers *Peers) whole(to yuccaid.Incarnation) Message {
	peers.self.Sequence++
	whole := peers.Heartbeat()
	return Message{To: to, Heartbeat: &whole}
}

// pulse is a pulse for one peer out of turn.
func (peers *Peers) pulse(to yuccaid.Incarnation, ask bool) Message {
	peers.self.Sequence++
	return Message{To: to, Pulse: peers.pulseNow(ask)}
}

func (peers *Peers) pulseNow(ask bool) Pulse {
	return Pulse{Sequence: peers.self.Sequence, Version: peers.self.Version, RequestHeartbeat: ask}
}

func (peers *Peers) knows(inc yuccaid.Incarnation) bool {
	other := peers.peers[inc.VM]
	return other != nil && other.known && other.member.Incarnation == inc
}

// toAll makes one beat for each connected peer, in the order of their names.
func (peers *Peers) toAll(beat func(yuccaid.Incarnation) Message) []Message {
	beats := make([]Message, 0, len(peers.linked))
	for inc := range peers.linked {
		beats = append(beats, beat(inc))
	}
	slices.SortFunc(beats, func(a, b Message) int {
		return strings.Compare(a.To.String(), b.To.String())
	})
	return beats
}
