package yuccapeer

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Change is what one event did to the view, and what has to be sent for it.
type Change struct {
	// Joined and Removed are the members that came into and went out of the view. One
	// that was replaced or changed its address stands in both.
	Joined, Removed []Member
	// Resumed says that this process was paused for about Slept: the view, and all
	// that rests on it, expired before anything else was done.
	Resumed   bool
	PausedFor time.Duration
	// NewerConfig is the peer with the highest configuration number above our own.
	NewerConfig PeerConfig
	// Diverged are peers with our configuration number and another digest.
	Diverged []PeerConfig
	// RosterRecipients are peers that can't read the platform's list and need ours.
	RosterRecipients []yuccaid.Incarnation
	// Messages are the heartbeats to send now.
	Messages []Message
}

// PeerConfig is a peer's accepted configuration as its heartbeat told it.
type PeerConfig struct {
	Peer   yuccaid.Incarnation
	Number yuccaid.ConfigNumber
	Digest yuccaid.Digest
}

// Message is one message to one peer: the whole heartbeat, or the pulse if it is nil.
type Message struct {
	To        yuccaid.Incarnation
	Heartbeat *Heartbeat
	Pulse     Pulse
}
