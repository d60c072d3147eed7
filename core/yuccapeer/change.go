package yuccapeer

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Change is what one event did to the view, and what has to be sent for it.
type Change struct {
	// Joined and Left are the members that came into and went out of the view. One
	// that was replaced or changed its address stands in both.
	Joined, Left []Member
	// Woken says that this process was paused for about Slept: the view, and all
	// that rests on it, expired before anything else was done.
	Woken bool
	Slept time.Duration
	// Behind is the peer with the highest configuration number above our own.
	Behind Source
	// Diverged are peers with our configuration number and another digest.
	Diverged []Source
	// Rosters are peers that can't read the platform's list and need ours.
	Rosters []yuccaid.Incarnation
	// Beats are the heartbeats to send now.
	Beats []Beat
}

// Source is a peer's accepted configuration as its heartbeat told it.
type Source struct {
	Peer   yuccaid.Incarnation
	Number yuccaid.ConfigNumber
	Digest yuccaid.Digest
}

// Beat is one message to one peer: the whole heartbeat, or the pulse if it is nil.
type Beat struct {
	To        yuccaid.Incarnation
	Heartbeat *Heartbeat
	Pulse     Pulse
}
