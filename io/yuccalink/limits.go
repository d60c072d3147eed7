package yuccalink

import "time"

// Limits bounds the time and memory that connections may take.
type Limits struct {
	// Silence is how long a connection may bring nothing before it is closed. It is
	// shorter than the time after which membership takes a silent peer for dead, so
	// that a new connection is up before a pool moves for nothing.
	Silence time.Duration
	// KeepAliveEvery is how long an idle connection waits to say that it lives. It
	// is longer than the interval of heartbeats, which then need no keep-alives
	// beside them, and leaves room for one lost in time.
	KeepAliveEvery time.Duration
	// Write is how long one write may wait for a peer that doesn't read.
	Write time.Duration
	// Handshake bounds a handshake, and with it what a stranger can hold open.
	Handshake time.Duration
	// Dial bounds the wait for a connection, before the handshake.
	Dial time.Duration
	// HalfOpen is how many accepted connections may be in their handshake at once.
	// One more pushes out the oldest: an honest one is through in milliseconds.
	HalfOpen int
	// QueueFrames and QueueBytes bound what waits for one peer. A peer that doesn't
	// read would otherwise take this daemon's memory, or hold up its control.
	QueueFrames int
	QueueBytes  int
	// LinksPerPeer is how many control connections one peer may have. Two arise
	// when both ends dial, a third when one of them has gone silent.
	LinksPerPeer int
	// FirstBackoff and LastBackoff bound the wait before dialling again. Each wait is
	// drawn at random up to its bound, so that 400 daemons don't all dial a
	// restarted one at the same moment.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
	// Linger is how long a second connection between a pair must have worked before
	// the older one is closed.
	Linger time.Duration
	// Farewell is how long Close waits for queued messages to go out.
	Farewell time.Duration
}

// DefaultLimits returns the limits that fit membership's default intervals.
func DefaultLimits() Limits {
	return Limits{
		Silence:        3500 * time.Millisecond,
		KeepAliveEvery: 1700 * time.Millisecond,
		Write:          3500 * time.Millisecond,
		Handshake:      3 * time.Second,
		Dial:           3 * time.Second,
		HalfOpen:       64,
		QueueFrames:    4096,
		QueueBytes:     8 << 20,
		LinksPerPeer:   4,
		FirstBackoff:   100 * time.Millisecond,
		LastBackoff:    5 * time.Second,
		Linger:         time.Second,
		Farewell:       time.Second,
	}
}
