package yuccapeer

import (
	"slices"
	"strings"
	"time"

	"yuccacleat/core/yuccaid"
)

// heartbeatsToAll increments the version of this daemon's state and returns a full heartbeat
// for each connected peer.
func (peers *Peers) heartbeatsToAll(now time.Time) []Message {
	peers.self.Version++
	peers.self.Sequence++
	peers.lastSentToAll = now
	heartbeat := peers.Heartbeat()
	return peers.messagesToAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Heartbeat: &heartbeat}
	})
}

// pulsesToAll returns a pulse for each connected peer. The pulse to a peer that isn't in the
// view requests its full heartbeat.
func (peers *Peers) pulsesToAll(now time.Time) []Message {
	peers.self.Sequence++
	peers.lastSentToAll = now
	return peers.messagesToAll(func(to yuccaid.Incarnation) Message {
		return Message{To: to, Pulse: peers.newPulse(!peers.isInView(to))}
	})
}

// fullHeartbeat returns a full heartbeat for one peer.
func (peers *Peers) fullHeartbeat(to yuccaid.Incarnation) Message {
	peers.self.Sequence++
	heartbeat := peers.Heartbeat()
	return Message{To: to, Heartbeat: &heartbeat}
}

// pulse returns a pulse for one peer, sent between two rounds of pulsesToAll.
func (peers *Peers) pulse(to yuccaid.Incarnation, requestHeartbeat bool) Message {
	peers.self.Sequence++
	return Message{To: to, Pulse: peers.newPulse(requestHeartbeat)}
}

// newPulse returns a pulse with the current sequence number and version.
func (peers *Peers) newPulse(requestHeartbeat bool) Pulse {
	return Pulse{Sequence: peers.self.Sequence, Version: peers.self.Version, RequestHeartbeat: requestHeartbeat}
}

// isInView reports whether an incarnation is in the view.
func (peers *Peers) isInView(inc yuccaid.Incarnation) bool {
	other := peers.byVM[inc.VM]
	return other != nil && other.inView && other.member.Incarnation == inc
}

// messagesToAll calls newMessage for each connected peer and returns the messages in the
// order of the peers' names.
func (peers *Peers) messagesToAll(newMessage func(yuccaid.Incarnation) Message) []Message {
	messages := make([]Message, 0, len(peers.connected))
	for inc := range peers.connected {
		messages = append(messages, newMessage(inc))
	}
	slices.SortFunc(messages, func(a, b Message) int {
		return strings.Compare(a.To.String(), b.To.String())
	})
	return messages
}
