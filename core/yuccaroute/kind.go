package yuccaroute

// Kind determines whether a route's requests may be repeated, and the form of their answers.
type Kind int

// The kinds of requests. The zero value is the strictest.
const (
	// Once marks a request that may run at most once.
	Once Kind = iota
	// Idempotent marks a request that may run again after any failure.
	Idempotent
	// Stream marks a request that is answered by a sequence of events.
	Stream
)

// String returns the name of the kind as it appears in logs and metrics.
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
