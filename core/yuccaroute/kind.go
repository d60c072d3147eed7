package yuccaroute

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of requests. The zero value allows the least.
const (
	// Once marks a request that may run at most once.
	Once Kind = iota
	// Idempotent marks a request that may run again after any failure.
	Idempotent
	// Stream marks a request that is answered by a series of events.
	Stream
)

// String returns the kind's name in logs and metrics.
func (kind Kind) String() string {
	switch kind {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	default:
		return "once"
	}
}
