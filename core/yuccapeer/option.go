package yuccapeer

import "time"

// Timing holds the intervals of membership. They belong together: a view can't expire
// faster than heartbeats come.
type Timing struct {
	// HeartbeatEvery is how often each connected peer hears from us. At 1.5 s a
	// daemon with 27 peers in its data centre and a few beyond stays under 3 KB/s
	// with all headers counted; shorter would exceed it.
	HeartbeatEvery time.Duration
	// ExpireAfter is how long a peer stays live without a heartbeat: three may be
	// lost or late. Shorter takes a short stall for a death and moves its pools
	// for nothing; longer leaves a dead leader's queue standing.
	ExpireAfter time.Duration
	// DisconnectGrace replaces ExpireAfter once the peer's last connection broke: time
	// to dial again, so that one cut connection moves no pool.
	DisconnectGrace time.Duration
	// PauseLimit is the longest gap between two ticks, and the longest jump of the
	// wall clock ahead of the monotonic one, that isn't taken for a pause.
	PauseLimit time.Duration
	// SettleFor is how long a daemon listens after a start or a pause before it
	// names leaders: everybody alive has sent a heartbeat by then.
	SettleFor time.Duration
	// ForgetAfter is how long an incarnation that left stays known, so that its late
	// heartbeats, or the process itself waking up from a pause, don't bring it back.
	ForgetAfter time.Duration
	// GatewayConnectTimeout is how long a VM of another data centre may leave a wish for a
	// connection unmet before the next one is wished for instead.
	GatewayConnectTimeout time.Duration
}

// DefaultTiming returns the intervals that the cost test measures.
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

// DefaultGateways is how many daemons of a data centre dial into each other one. Two,
// so that news crosses while one of them is being replaced; each more is paid for by
// volume between regions.
const DefaultGateways = 2

// Option changes how Peers behaves.
type Option func(*Peers)

// WithTiming sets the intervals.
func WithTiming(timing Timing) Option {
	return func(peers *Peers) { peers.timing = timing }
}

// WithGateways sets how many daemons of a data centre dial into each other one.
func WithGateways(count int) Option {
	return func(peers *Peers) { peers.gatewayCount = count }
}

// WithSeeds gives addresses to dial while nothing else names a peer.
func WithSeeds(addresses ...string) Option {
	return func(peers *Peers) { peers.seeds = addresses }
}
