package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// defaultAnswerLifetime covers a caller whose connection broke at the end of its
	// answer and who fetches it again after some retries.
	defaultAnswerLifetime = 2 * time.Minute

	// defaultAnswerBytes is what a small VM can spare beside its running streams.
	defaultAnswerBytes = yuccaid.Bytes(64 << 20)

	// answerShare is the part of the buffer that one answer may fill, so that a single
	// one can't push out all the others.
	answerShare = 8
)

// AnswerBuffer keeps whole answers for a second fetch, bounded by bytes and for a
// shorter time than outcomes. An answer that was pushed out is reported as gone,
// never shortened.
//
// A is how the daemon holds an answer; the buffer only needs its size.
type AnswerBuffer[A any] struct {
	limit    yuccaid.Bytes
	lifetime time.Duration
	clock    clock

	answers map[yuccaid.RequestID]*kept[A]
	order   []*kept[A] // by time of adding
	bytes   yuccaid.Bytes
}

type kept[A any] struct {
	id     yuccaid.RequestID
	answer A
	size   yuccaid.Bytes
	added  time.Time
}

// NewAnswerBuffer returns an empty buffer; a zero limit or lifetime means the default.
func NewAnswerBuffer[A any](limit yuccaid.Bytes, lifetime time.Duration) *AnswerBuffer[A] {
	if limit == 0 {
		limit = defaultAnswerBytes
	}
	if lifetime == 0 {
		lifetime = defaultAnswerLifetime
	}
	return &AnswerBuffer[A]{limit: limit, lifetime: lifetime, answers: make(map[yuccaid.RequestID]*kept[A])}
}

// Put keeps a whole answer of the given size, pushing out the oldest ones, and reports
// false if it is too large to be kept.
func (buf *AnswerBuffer[A]) Put(now time.Time, text yuccaid.RequestID, answer A, size yuccaid.Bytes) bool {
	reading := buf.advance(now)
	if buf.answers[text] != nil || size > buf.limit/answerShare {
		return false
	}
	for buf.bytes+size > buf.limit {
		buf.drop()
	}
	one := &kept[A]{id: text, answer: answer, size: size, added: reading}
	buf.answers[text] = one
	buf.order = append(buf.order, one)
	buf.bytes += size
	return true
}

// ForEach calls each with every kept answer, oldest first.
func (buf *AnswerBuffer[A]) ForEach(each func(answer A)) {
	for _, one := range buf.order {
		each(one.answer)
	}
}

// Get returns the whole answer while it is kept.
func (buf *AnswerBuffer[A]) Get(now time.Time, text yuccaid.RequestID) (A, bool) {
	buf.advance(now)
	one := buf.answers[text]
	if one == nil {
		var none A
		return none, false
	}
	return one.answer, true
}

// Tick drops answers past their lifetime.
func (buf *AnswerBuffer[A]) Tick(now time.Time) {
	buf.advance(now)
}

// Size tells how many answers and bytes are kept.
func (buf *AnswerBuffer[A]) Size() (answers int, bytes yuccaid.Bytes) {
	return len(buf.answers), buf.bytes
}

func (buf *AnswerBuffer[A]) advance(now time.Time) time.Time {
	reading := buf.clock.read(now)
	for len(buf.order) > 0 && !reading.Before(buf.order[0].added.Add(buf.lifetime)) {
		buf.drop()
	}
	return reading
}

// drop removes the oldest answer.
func (buf *AnswerBuffer[A]) drop() {
	oldest := buf.order[0]
	buf.order[0] = nil
	buf.order = buf.order[1:]
	delete(buf.answers, oldest.id)
	buf.bytes -= oldest.size
}
