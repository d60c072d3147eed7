package yuccalink

import "time"

// Limits bounds the time and memory that connections may take.
type Limits struct {
	// Silence is how long nothing may arrive on a connection before it is closed. It is shorter
	// than the time after which a silent peer expires, so that a new connection is up before the
	// leader of a pool changes needlessly.
	Silence time.Duration
	// KeepAliveEvery is how long a connection may be idle before a keep-alive is sent. It is longer
	// than the interval of heartbeats, so that no keep-alives are sent beside them, and short enough
	// that one late keep-alive doesn't close the connection.
	KeepAliveEvery time.Duration
	// Write is how long a write may wait for a peer that accepts no data.
	Write time.Duration
	// Handshake bounds the time of a handshake, and with it how long a peer without the key can keep
	// a connection open.
	Handshake time.Duration
	// Dial bounds the time for establishing a connection, without the handshake.
	Dial time.Duration
	// HalfOpen is how many accepted connections may be in their handshake at the same time. If there
	// is one more, the oldest is closed. A peer with the key needs only milliseconds.
	HalfOpen int
	// QueueFrames and QueueBytes bound the queue of messages to one peer. Without them, a peer that
	// doesn't read would take up this daemon's memory.
	QueueFrames int
	QueueBytes  int
	// LinksPerPeer is how many control connections one peer may have. There are two when both ends
	// dial, and a third when one of them has gone silent.
	LinksPerPeer int
	// FirstBackoff and LastBackoff are the first and the highest bound on the wait before the next
	// dial. Each wait is random up to the bound, so that 400 daemons don't all dial a restarted one
	// at the same time.
	FirstBackoff time.Duration
	LastBackoff  time.Duration
	// Linger is how long a second connection between two daemons must have worked before the older
	// one is closed.
	Linger time.Duration
	// Farewell is how long Close waits until queued messages are sent.
	Farewell time.Duration
}

// DefaultLimits returns limits that fit the default timing of package yuccapeer.
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
