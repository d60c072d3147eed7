package yuccapeer

import "time"

// ConfigPull decides when and from which peer a daemon requests a newer configuration.
//
// A peer that has announced a new configuration may be slow, paused or behind a slow link. If a daemon
// repeated its request to that peer only, it would get the configuration late although others have it.
//
// It isn't safe for concurrent use.
type ConfigPull struct {
	interval time.Duration
	// behindSince is when this daemon learned of a newer configuration, zero if it knows of none.
	behindSince time.Time
	requestedAt time.Time
	// unanswered is set from a request until a configuration arrives. turn is the place in the list of
	// sources to which requests go.
	unanswered bool
	turn       int
}

// NewConfigPull returns a ConfigPull that repeats a request after the interval.
func NewConfigPull(interval time.Duration) *ConfigPull {
	return &ConfigPull{interval: interval}
}

// Due reports whether a request is to be made now, for a daemon that knows of a newer configuration and
// waits for the delay before its first request.
func (pull *ConfigPull) Due(now time.Time, delay time.Duration) bool {
	if pull.behindSince.IsZero() {
		pull.behindSince = now
	}
	return now.Sub(pull.requestedAt) >= pull.interval && now.Sub(pull.behindSince) >= delay
}

// Choose returns the source to which the request goes: the one that the last request went to if it was
// answered, and otherwise the next one. If there are no sources, it returns the known peer, which has a
// newer configuration but may not have announced it.
func (pull *ConfigPull) Choose(now time.Time, known PeerConfig, sources []PeerConfig) PeerConfig {
	if pull.unanswered {
		pull.turn++
	}
	pull.unanswered = true
	pull.requestedAt = now
	if len(sources) == 0 {
		return known
	}
	return sources[pull.turn%len(sources)]
}

// Received records that a configuration has arrived.
func (pull *ConfigPull) Received() {
	pull.unanswered = false
	pull.behindSince = time.Time{}
}

// CaughtUp records that no peer has a newer configuration.
func (pull *ConfigPull) CaughtUp() { pull.behindSince = time.Time{} }
