package yuccapeer

import (
	"math/bits"
	"time"
)

const (
	// firstPullers is how many daemons of a data centre request a new configuration at once. In each
	// further pullWave, twice as many daemons request it as in the wave before.
	firstPullers = 4
	// pullWave is the time in which a daemon with a link of 20 Mbit/s sends a configuration of some
	// ten kilobytes to a few others.
	pullWave = 100 * time.Millisecond
)

// PullDelay returns how long a daemon waits before it requests a new configuration, by its rank
// among the daemons of its data centre.
//
// All daemons learn of a new number at the same time, from the one daemon that has read the
// configuration. If all of them requested it from that daemon at once, a large configuration would
// occupy its link for seconds, and its heartbeats would arrive late. Daemons that wait can request the
// configuration from those that were first.
func PullDelay(rank int) time.Duration {
	return time.Duration(bits.Len(uint(rank/firstPullers))) * pullWave
}
