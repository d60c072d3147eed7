package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// defaultAnswerLifetime covers a caller whose connection broke at the end of its
	// answer and who fetches the answer again after some retries.
	defaultAnswerLifetime = 2 * time.Minute

	// defaultAnswerBytes is what a small VM can spare beside its running streams.
	defaultAnswerBytes = yuccaid.Bytes(64 << 20)

	// maxAnswerDivisor bounds a single answer: it may take the buffer's limit divided
	// by maxAnswerDivisor, so that one answer can't evict all other answers.
	maxAnswerDivisor = 8
)

// AnswerBuffer keeps complete answers so that callers can fetch them again. It is
// bounded by bytes, and keeps answers for a shorter time than an Owner keeps outcomes.
// An evicted answer is reported as absent; it is never shortened.
//
// A is the daemon's type for an answer; the buffer only needs its size.
type AnswerBuffer[A any] struct {
	limit    yuccaid.Bytes
	lifetime time.Duration
	clock    clock

	answers map[yuccaid.RequestID]*storedAnswer[A]
	order   []*storedAnswer[A] // oldest first
	bytes   yuccaid.Bytes      // total size of the answers
}

type storedAnswer[A any] struct {
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
	return &AnswerBuffer[A]{limit: limit, lifetime: lifetime, answers: make(map[yuccaid.RequestID]*storedAnswer[A])}
}

// Put stores a complete answer of the given size, evicting the oldest answers if
// necessary. It reports false if the answer is too large or the id already has one.
func (buf *AnswerBuffer[A]) Put(now time.Time, requestID yuccaid.RequestID, answer A, size yuccaid.Bytes) bool {
	reading := buf.advance(now)
	if buf.answers[requestID] != nil || size > buf.limit/maxAnswerDivisor {
		return false
	}
	for buf.bytes+size > buf.limit {
		buf.dropOldest()
	}
	entry := &storedAnswer[A]{id: requestID, answer: answer, size: size, added: reading}
	buf.answers[requestID] = entry
	buf.order = append(buf.order, entry)
	buf.bytes += size
	return true
}

// ForEach calls the function each for every stored answer, oldest first.
func (buf *AnswerBuffer[A]) ForEach(each func(answer A)) {
	for _, entry := range buf.order {
		each(entry.answer)
	}
}

// Get returns the complete answer if it is still stored.
func (buf *AnswerBuffer[A]) Get(now time.Time, requestID yuccaid.RequestID) (A, bool) {
	buf.advance(now)
	entry := buf.answers[requestID]
	if entry == nil {
		var none A
		return none, false
	}
	return entry.answer, true
}

// Tick removes answers past their lifetime.
func (buf *AnswerBuffer[A]) Tick(now time.Time) {
	buf.advance(now)
}

// Size returns the number and the total size of the stored answers.
func (buf *AnswerBuffer[A]) Size() (answers int, bytes yuccaid.Bytes) {
	return len(buf.answers), buf.bytes
}

// advance reads the clock, removes answers past their lifetime and returns the clock's
// reading.
func (buf *AnswerBuffer[A]) advance(now time.Time) time.Time {
	reading := buf.clock.read(now)
	for len(buf.order) > 0 && !reading.Before(buf.order[0].added.Add(buf.lifetime)) {
		buf.dropOldest()
	}
	return reading
}

// dropOldest removes the oldest answer.
func (buf *AnswerBuffer[A]) dropOldest() {
	oldest := buf.order[0]
	buf.order[0] = nil
	buf.order = buf.order[1:]
	delete(buf.answers, oldest.id)
	buf.bytes -= oldest.size
}
