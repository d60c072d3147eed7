package yuccahop

import "time"

// Limits bounds what connections to targets may cost.
type Limits struct {
	// Dial bounds the wait for a connection. Within a region it stands in 60 ms; a target
	// that doesn't answer for so long is better replaced by another.
	Dial time.Duration
	// Unacknowledged is how long sent bytes may stay unacknowledged, or the target's receive
	// window closed, before the connection counts as dead. A path that forgot the connection
	// gives no other sign. A sound target may be silent for 2 s, and if it doesn't read a
	// long request meanwhile, its window closes: the limit has to be longer.
	Unacknowledged time.Duration
	// KeepAlive is the interval of probes on a connection that shows nothing. The target's
	// kernel answers them; if it doesn't, Unacknowledged ends the connection.
	KeepAlive time.Duration
	// Idle is how long an unused connection is kept when the target names no time. Many servers
	// close it after 5 s; IdleMargin is off that.
	Idle time.Duration
	// IdleMargin is how much sooner than the target's own limit a connection is given up,
	// so that a request doesn't cross the target's close. A sound target may be silent for
	// 2 s; if its limit runs out meanwhile, it closes the connection with the request unread.
	IdleMargin time.Duration
	// IdlePerTarget bounds the unused connections that are kept to one target.
	IdlePerTarget int
	// IdleTotal bounds the unused connections that are kept to all targets together, so that
	// a large fleet of targets leaves descriptors for connections in use; zero for no bound.
	IdleTotal int
	// ReceiveBuffer is how many bytes the system holds, about, of what a target has sent and nobody has read, where the
	// caller doesn't read its answer; zero for the system's own size.
	ReceiveBuffer int
	// Foreign is how many answers to other requests are skipped on one connection.
	Foreign int
}

// DefaultLimits returns the limits of a client that was given none.
func DefaultLimits() Limits {
	return Limits{
		Dial:           400 * time.Millisecond,
		Unacknowledged: 3 * time.Second,
		KeepAlive:      time.Second,
		Idle:           2400 * time.Millisecond,
		IdleMargin:     2600 * time.Millisecond,
		IdlePerTarget:  8,
		ReceiveBuffer:  16 << 10,
		Foreign:        2,
	}
}

const (
	// keepAliveProbes is how many probes may stay unanswered.
	keepAliveProbes = 3
	// eagerBody is the size up to which a request's body is written before the answer is
	// looked for. Longer ones are written beside reading: a target may answer before it
	// has read all, and one that stops reading would hold up a writer for ever.
	eagerBody = 8 << 10
	// readBuffer holds a target's head and the first events.
	readBuffer = 4 << 10
)
