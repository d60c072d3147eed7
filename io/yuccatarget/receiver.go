package yuccatarget

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"hash"
	"io"
	"time"
)

// receiver checks one answer across all the connections that it comes over, and hands
// on its pieces in order.
type receiver struct {
	call    Call
	piece   func(Piece) error
	next    int
	size    int
	sum     hash.Hash
	moved   time.Time
	silence time.Duration
}

func newReceiver(call Call, piece func(Piece) error, silence time.Duration) *receiver {
	if call.Longest > 0 {
		silence = call.Longest
	}
	return &receiver{call: call, piece: piece, sum: sha256.New(), moved: time.Now(), silence: silence}
}

// latest returns when the next piece has to be there at the latest.
func (rx *receiver) latest() time.Time {
	return rx.moved.Add(rx.silence)
}

// stoppedError says that whoever takes the pieces wants no more.
type stoppedError struct{ cause error }

func (err *stoppedError) Error() string { return err.cause.Error() }
func (err *stoppedError) Unwrap() error { return err.cause }

// read takes the answer from one connection, until its end or until an error.
func (rx *receiver) read(body io.Reader) (End, error) {
	dec := NewDecoder(body, lineLimit)
	for {
		line, err := dec.Next()
		if err != nil {
			return End{}, rx.readError(err)
		}
		if line.ID != string(rx.call.ID) {
			return End{}, rx.broken(FlawForeign)
		}
		if line.End {
			return rx.end(line)
		}
		if err := rx.take(line); err != nil {
			return End{}, err
		}
	}
}

// take hands on one piece. A gap would shorten the answer and an overlap would repeat
// part of it; the caller would see a text that reads well and is wrong.
func (rx *receiver) take(line Line) error {
	switch {
	case line.Position > rx.next:
		return rx.broken(FlawGap)
	case line.Position < rx.next:
		return rx.broken(FlawOverlap)
	}
	rx.size += len(line.Data)
	if rx.size > answerLimit {
		return rx.broken(FlawSize)
	}
	data := []byte(line.Data)
	rx.sum.Write(data)
	rx.next++
	if err := rx.piece(Piece{Position: line.Position, Tokens: line.Tokens, Data: data}); err != nil {
		return &stoppedError{cause: err}
	}
	// The time that a slow caller takes is not the target's silence.
	rx.moved = time.Now()
	return nil
}

// end checks the count and the hash, without which an answer whose tail is missing
// would pass for a whole one.
func (rx *receiver) end(line Line) (End, error) {
	if line.Pieces != rx.next {
		return End{}, rx.broken(FlawCount)
	}
	if line.Hash != hex.EncodeToString(rx.sum.Sum(nil)) {
		return End{}, rx.broken(FlawHash)
	}
	end := End{
		Pieces:  line.Pieces,
		Hash:    line.Hash,
		Prompt:  line.PromptTokens,
		Cached:  line.CachedTokens,
		Answer:  line.AnswerTokens,
		Prefill: time.Duration(line.PrefillMillis) * time.Millisecond,
		Decode:  time.Duration(line.DecodeMillis) * time.Millisecond,
	}
	if line.Cancelled {
		return end, &CancelledError{Target: rx.call.Target, End: end}
	}
	return end, nil
}

func (rx *receiver) readError(err error) error {
	switch {
	case errors.Is(err, errGarbled):
		return rx.broken(FlawGarbled)
	case errors.Is(err, errOversized):
		return rx.broken(FlawSize)
	}
	return err
}

func (rx *receiver) broken(flaw Flaw) error {
	return &BrokenError{ID: rx.call.ID, Target: rx.call.Target, Position: rx.next, Flaw: flaw}
}

// lost says that the answer ends here for a cause that proves nothing about the run.
func (rx *receiver) lost(cause error) error {
	return &LostError{
		ID:         rx.call.ID,
		Target:     rx.call.Target,
		Pieces:     rx.next,
		Idempotent: rx.call.Idempotent,
		Cause:      cause,
	}
}
