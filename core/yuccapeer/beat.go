package yuccapeer

import (
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
)

// heartbeatsToAll raises the version and returns the whole heartbeat for everybody.
func (peers *Peers) heartbeatsToAll(now time.Time) []Message {
	peers.self.Version++
	peers.self.Sequence++
	peers.lastHeartbeats = now
	heartbeat := peers.Heartbeat()
	return peers.messagesToAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Heartbeat: &heartbeat}
	})
}

// pulsesToAll is the round that says we are alive; it asks those for their whole heartbeat
// whom we don't know, or no longer since a pause.
func (peers *Peers) pulsesToAll(now time.Time) []Message {
	peers.self.Sequence++
	peers.lastHeartbeats = now
	return peers.messagesToAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Pulse: peers.newPulse(!peers.isInView(to))}
	})
}

// fullHeartbeat is the heartbeat for one peer that lacks it.
func (peers *Peers) fullHeartbeat(to yuccaid.Incarnation) Message {
	peers.self.Sequence++
	fullHeartbeat := peers.Heartbeat()
	return Message{To: to, Heartbeat: &fullHeartbeat}
}

// pulse is a pulse for one peer out of turn.
func (peers *Peers) pulse(to yuccaid.Incarnation, ask bool) Message {
	peers.self.Sequence++
	return Message{To: to, Pulse: peers.newPulse(ask)}
}

func (peers *Peers) newPulse(ask bool) Pulse {
	return Pulse{Sequence: peers.self.Sequence, Version: peers.self.Version, RequestHeartbeat: ask}
}

func (peers *Peers) isInView(inc yuccaid.Incarnation) bool {
	other := peers.peers[inc.VM]
	return other != nil && other.inView && other.member.Incarnation == inc
}

// messagesToAll makes one beat for each connected peer, in the order of their names.
func (peers *Peers) messagesToAll(beat func(yuccaid.Incarnation) Message) []Message {
	beats := make([]Message, 0, len(peers.connected))
	for inc := range peers.connected {
		beats = append(beats, beat(inc))
	}
	slices.SortFunc(beats, func(a, b Message) int {
		return strings.Compare(a.To.String(), b.To.String())
	})
	return beats
}
