package yuccapeer

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Change is how one event changed the view, and what the caller has to send because of it.
type Change struct {
	// Joined and Removed are the members that were added to and removed from the view. If a
	// member's fields changed, Removed has it with the former and Joined with the current
	// fields. If a new process replaced a member on its VM, Removed has the former member, and
	// Joined has the new one, here or in the change that its first full heartbeat causes.
	Joined, Removed []Member
	// Resumed is set if this process was paused, for about PausedFor. The whole view has
	// expired, so the caller must drop everything that it derived from the view.
	Resumed   bool
	PausedFor time.Duration
	// NewerConfig is the result of Peers.NewerConfig.
	NewerConfig PeerConfig
	// Diverged are the configurations of peers that have the same number as this daemon's but
	// another digest.
	Diverged []PeerConfig
	// RosterRecipients are the peers that this daemon's Roster has to be sent to, because
	// they can't read the platform's list.
	RosterRecipients []yuccaid.Incarnation
	// Messages are the heartbeats and pulses to send now.
	Messages []Message
}

// PeerConfig is the configuration that a peer has accepted, as its heartbeat reports it.
type PeerConfig struct {
	Peer   yuccaid.Incarnation
	Number yuccaid.ConfigNumber
	Digest yuccaid.Digest
}

// Message is one message to one peer: Heartbeat, or Pulse if Heartbeat is nil.
type Message struct {
	To        yuccaid.Incarnation
	Heartbeat *Heartbeat
	Pulse     Pulse
}
