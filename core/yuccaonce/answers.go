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
type AnswerBuffer struct {
	limit    yuccaid.Bytes
	lifetime time.Duration
	clock    clock

	answers map[yuccaid.RequestText]*answer
	order   []*answer // by time of adding
	bytes   yuccaid.Bytes
}

type answer struct {
	id    yuccaid.RequestText
	data  []byte
	added time.Time
}

// NewAnswerBuffer returns an empty buffer; a zero limit or lifetime means the default.
func NewAnswerBuffer(limit yuccaid.Bytes, lifetime time.Duration) *AnswerBuffer {
	if limit == 0 {
		limit = defaultAnswerBytes
	}
	if lifetime == 0 {
		lifetime = defaultAnswerLifetime
	}
	return &AnswerBuffer{limit: limit, lifetime: lifetime, answers: make(map[yuccaid.RequestText]*answer)}
}

// Put keeps a whole answer, pushing out the oldest ones, and reports false if it is
// too large to be kept. The buffer keeps data itself, not a copy.
func (buf *AnswerBuffer) Put(now time.Time, text yuccaid.RequestText, data []byte) bool {
	reading := buf.advance(now)
	size := yuccaid.Bytes(len(data))
	if buf.answers[text] != nil || size > buf.limit/answerShare {
		return false
	}
	for buf.bytes+size > buf.limit {
		buf.drop()
	}
	kept := &answer{id: text, data: data, added: reading}
	buf.answers[text] = kept
	buf.order = append(buf.order, kept)
	buf.bytes += size
	return true
}

// Get returns the whole answer while it is kept.
func (buf *AnswerBuffer) Get(now time.Time, text yuccaid.RequestText) ([]byte, bool) {
	buf.advance(now)
	kept := buf.answers[text]
	if kept == nil {
		return nil, false
	}
	return kept.data, true
}

// Tick drops answers past their lifetime.
func (buf *AnswerBuffer) Tick(now time.Time) {
	buf.advance(now)
}

// Size tells how many answers and bytes are kept.
func (buf *AnswerBuffer) Size() (answers int, bytes yuccaid.Bytes) {
	return len(buf.answers), buf.bytes
}

func (buf *AnswerBuffer) advance(now time.Time) time.Time {
	reading := buf.clock.read(now)
	for len(buf.order) > 0 && !reading.Before(buf.order[0].added.Add(buf.lifetime)) {
		buf.drop()
	}
	return reading
}

// drop removes the oldest answer.
func (buf *AnswerBuffer) drop() {
	oldest := buf.order[0]
	buf.order[0] = nil
	buf.order = buf.order[1:]
	delete(buf.answers, oldest.id)
	buf.bytes -= yuccaid.Bytes(len(oldest.data))
}
