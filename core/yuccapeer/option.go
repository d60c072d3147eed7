package yuccapeer

import "time"

// Timing holds the intervals of membership. They depend on each other: peers must not
// expire faster than their heartbeats arrive.
type Timing struct {
	// HeartbeatEvery is how often this daemon sends a heartbeat or a pulse to each
	// connected peer. At 1.5 s a daemon with 27 peers in its data centre and a few
	// in others stays under 3 KB/s including all headers; a shorter interval would
	// exceed that.
	HeartbeatEvery time.Duration
	// ExpireAfter is how long a peer stays live without a heartbeat: three may be
	// lost or late. If it is shorter, a brief stall counts as a death and the
	// peer's pools change leaders needlessly; if it is longer, the queue of a dead
	// leader waits longer for the next one.
	ExpireAfter time.Duration
	// DisconnectGrace replaces ExpireAfter once the last connection to a peer has
	// broken. It is long enough to dial again, so that one broken connection
	// doesn't change the leader of any pool.
	DisconnectGrace time.Duration
	// PauseLimit bounds the gap between two ticks, and the time that the wall clock
	// gains on the monotonic one. Beyond it this process counts as paused.
	PauseLimit time.Duration
	// SettleFor is how long a daemon receives heartbeats after a start or a pause
	// before it names leaders: each live daemon has sent one by then.
	SettleFor time.Duration
	// ForgetAfter is how long a replaced incarnation is remembered, so that late
	// heartbeats of it, or its process when it resumes after a pause, don't add it
	// to the view again. Listings from other daemons are kept as long.
	ForgetAfter time.Duration
	// GatewayConnectTimeout is how long a gateway tries to connect to a VM of
	// another data centre before it tries the next one.
	GatewayConnectTimeout time.Duration
}

// DefaultTiming returns the default intervals. TestHeartbeatsStayCheap checks what they
// cost.
func DefaultTiming() Timing {
	return Timing{
		HeartbeatEvery:        1500 * time.Millisecond,
		ExpireAfter:           5 * time.Second,
		DisconnectGrace:       time.Second,
		PauseLimit:            2 * time.Second,
		SettleFor:             3 * time.Second,
		ForgetAfter:           time.Hour,
		GatewayConnectTimeout: 5 * time.Second,
	}
}

// DefaultGateways is how many daemons of a data centre dial into each other data centre.
// Two let updates through while one of them is being replaced; each further one adds to
// the traffic between regions, which is paid for by volume.
const DefaultGateways = 2

// Option sets an option of New.
type Option func(*Peers)

// WithTiming replaces DefaultTiming.
func WithTiming(timing Timing) Option {
	return func(peers *Peers) { peers.timing = timing }
}

// WithGateways sets how many daemons of a data centre dial into each other data centre.
func WithGateways(count int) Option {
	return func(peers *Peers) { peers.gatewayCount = count }
}

// WithSeeds sets the addresses of daemons to dial until the platform's list is read.
func WithSeeds(addresses ...string) Option {
	return func(peers *Peers) { peers.seeds = addresses }
}
