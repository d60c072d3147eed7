package yuccaspace

import "yuccacleat/core/yuccaid"

const (
	// fieldOverhead is the memory that one field of a request's head takes besides its text: its entries in the header as it
	// was read, in the copy without the fields of one connection, and in the copy that goes to a target.
	fieldOverhead yuccaid.Bytes = 320
	// headCopies is how often the text of a head is held: as it was read, and as it is sent on.
	headCopies = 2
	// smallHead is the memory of heads that is counted with their connections and requests: that of some forty fields, or of a
	// buffer of a body that has come with its head.
	smallHead yuccaid.Bytes = 16 << 10
)

// HeadMemory returns how much memory a request's head takes beyond that of an ordinary one. Short fields take a
// hundred times their bytes.
func HeadMemory(size yuccaid.Bytes, lines int) yuccaid.Bytes {
	return max(headCopies*size+yuccaid.Bytes(lines)*fieldOverhead-smallHead, 0)
}

// HeadLimiter counts the memory of heads that are being read. It isn't safe for concurrent use.
type HeadLimiter struct {
	limit    yuccaid.Bytes
	reserved yuccaid.Bytes
}

// NewHeadLimiter returns a limiter for the given amount of memory; zero means no limit.
func NewHeadLimiter(limit yuccaid.Bytes) *HeadLimiter { return &HeadLimiter{limit: limit} }

// Grow changes what one head has reserved, and reports whether enough was left. A head that is read alone always
// finds enough.
func (lim *HeadLimiter) Grow(from, to yuccaid.Bytes) bool {
	others := lim.reserved - from
	if to > from && lim.limit > 0 && others > 0 && others+to > lim.limit {
		return false
	}
	lim.reserved = others + to
	return true
}

// Reserved returns how much memory is reserved.
func (lim *HeadLimiter) Reserved() yuccaid.Bytes { return lim.reserved }
