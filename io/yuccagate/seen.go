package yuccagate

// seenSpan is how far behind the latest one a cast may be and still be told from one that
// came before. A daemon casts some tens of times a second at most, so that is a second.
const seenSpan = 64

// seen tells which casts of a series have come. Each comes over two ways, one of which may be
// behind the other: what it brings late is news all the same, once.
type seen struct {
	latest uint64
	// before has a bit for each of the casts before the latest one.
	before uint64
}

// first reports whether a cast is news, and remembers it. What is older than the span counts
// as known.
func (sn *seen) first(sequence uint64) bool {
	if sequence > sn.latest {
		ahead := sequence - sn.latest
		sn.before = sn.before<<ahead | 1<<(ahead-1)
		sn.latest = sequence
		return true
	}
	behind := sn.latest - sequence
	if behind == 0 || behind > seenSpan {
		return false
	}
	bit := uint64(1) << (behind - 1)
	news := sn.before&bit == 0
	sn.before |= bit
	return news
}
