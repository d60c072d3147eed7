package yuccapeer

import "time"

// Timing holds the intervals of membership. They depend on each other: ExpireAfter must
// exceed HeartbeatEvery, or peers would expire between two heartbeats.
type Timing struct {
	// HeartbeatEvery is how often this daemon sends a heartbeat or a pulse to each
	// connected peer. At 1.5 s a daemon with 27 peers in its data centre and a few
	// in others stays under 3 KB/s including all headers; a shorter interval would
	// exceed that.
	HeartbeatEvery time.Duration
	// ExpireAfter is how long a peer stays live without a heartbeat or a pulse. With the
	// default, three messages in a row may be lost or late. With a shorter value, a peer
	// that stalls briefly is removed and its pools change leaders needlessly. With a
	// longer value, the requests queued at a dead leader wait longer for its successor.
	ExpireAfter time.Duration
	// DisconnectGrace replaces ExpireAfter once the last connection to a peer has
	// broken. It is long enough to dial again, so that one broken connection
	// doesn't change the leader of any pool.
	DisconnectGrace time.Duration
	// PauseLimit is the longest gap between two calls of Tick, and the furthest that
	// the boot clock may advance beyond the monotonic clock between two calls of
	// CheckClocks. If either is longer, this process counts as paused.
	PauseLimit time.Duration
	// SettleFor is how long a daemon receives heartbeats after a start or a pause
	// before it names leaders. It must exceed HeartbeatEvery, so that each live daemon has
	// sent a heartbeat by then.
	SettleFor time.Duration
	// ForgetAfter is how long a replaced incarnation is remembered. Until then, its
	// messages don't add it to the view again, whether they arrive late or its
	// process resumes after a pause. Listings from other daemons are also kept for
	// ForgetAfter.
	ForgetAfter time.Duration
	// GatewayConnectTimeout is how long a gateway tries to connect to a VM of
	// another data centre before it tries the next VM.
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

// DefaultGateways is how many daemons of a data centre are gateways to each other data
// centre. With two, updates still arrive while one gateway is being replaced. Each further
// gateway adds to the traffic between regions, which is paid for by volume.
const DefaultGateways = 2

// Option sets an option of New.
type Option func(*Peers)

// WithTiming replaces DefaultTiming.
func WithTiming(timing Timing) Option {
	return func(peers *Peers) { peers.timing = timing }
}

// WithGateways sets how many daemons of a data centre are gateways to each other data
// centre, instead of DefaultGateways.
func WithGateways(count int) Option {
	return func(peers *Peers) { peers.gatewayCount = count }
}

// WithSeeds sets the addresses of daemons to dial until the platform's list is read.
func WithSeeds(addresses ...string) Option {
	return func(peers *Peers) { peers.seeds = addresses }
}
