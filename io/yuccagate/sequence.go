package yuccagate

// sequenceWindowSize is by how many sequence numbers a cast may be behind the latest cast for the
// window to still know whether the cast is new or repeated. A daemon sends some tens of casts a
// second at most, so 64 casts cover at least a second.
const sequenceWindowSize = 64

// sequenceWindow records which casts of a series have arrived. Each cast arrives over two
// connections, one of which may lag. A cast that arrives after a later cast has to be accepted, but
// only once.
type sequenceWindow struct {
	// latest is the highest sequence number that has arrived, zero if none has.
	latest uint64
	// earlier has a bit for each of the sequenceWindowSize casts before the latest one. The bit is
	// set if its cast has arrived. The lowest bit stands for the cast just before the latest.
	earlier uint64
}

// accept reports whether a cast is new, and records it. A cast that is older than the window
// counts as repeated.
func (window *sequenceWindow) accept(sequence uint64) bool {
	if sequence > window.latest {
		ahead := sequence - window.latest
		window.earlier = window.earlier<<ahead | 1<<(ahead-1)
		window.latest = sequence
		return true
	}
	behind := window.latest - sequence
	if behind == 0 || behind > sequenceWindowSize {
		return false
	}
	bit := uint64(1) << (behind - 1)
	isNew := window.earlier&bit == 0
	window.earlier |= bit
	return isNew
}
