package yuccagate

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"yuccacleat/core/yuccaid"
)

const (
	// maxEventBytes bounds the length of an event, and the length of the comments and empty lines
	// between two events. Beyond it, next returns an *overlongError.
	maxEventBytes = 256 << 10
	// coveredEventBytes is the size up to which yuccaspace.RequestOverhead covers an event buffer. It
	// holds an event of 16 KB and what arrives behind it. The memory of a larger buffer is reserved.
	coveredEventBytes = 32 << 10
	// maxEventIDBytes bounds the length of an id. Callers can't send a longer one back, because the
	// heads of their requests are bounded too.
	maxEventIDBytes = 4 << 10
	// maxEventsAtOnce bounds the number of events that next returns.
	maxEventsAtOnce = 256
	// maxEventEndBytes is the length of the longest end of an event: two line ends of two bytes each.
	maxEventEndBytes = 4
)

var errUnfinishedEvent = errors.New("the stream ended inside an event")

// overlongError is the error of a target's answer of which one part is longer than the gateway accepts.
type overlongError struct {
	part  string
	limit int64
}

// Error returns what is too long, and the remedy.
func (err *overlongError) Error() string {
	return fmt.Sprintf("%s is longer than %d bytes: mend the target, or have it send less", err.part, err.limit)
}

// eventMemoryError is the error of a stream whose event finds no room in the daemon's memory for requests.
type eventMemoryError struct {
	size int
}

// Error returns what found no room, and the remedy.
func (err *eventMemoryError) Error() string {
	return fmt.Sprintf("%v: a buffer of %d bytes for an event finds no room: repeat the request when this daemon holds less, or have the target send shorter events", errNoMemory, err.size)
}

// Unwrap returns errNoMemory.
func (err *eventMemoryError) Unwrap() error { return errNoMemory }

// eventBufferSizes are the sizes through which an event buffer grows. Few events are longer than a few KB.
// Beyond that, the steps are large, because each is copied into the next.
var eventBufferSizes = [...]int{4 << 10, coveredEventBytes, 128 << 10, maxEventBytes}

// eventBufferPools hold unused buffers of these sizes. If each stream with long events left its buffers to the
// collector, the process's memory would grow to twice what the buffers in use take.
var eventBufferPools [len(eventBufferSizes)]sync.Pool

// eventBuffer holds what has arrived of a stream's events. The targets of one stream use it one after
// another, so that its memory is reserved only once.
type eventBuffer struct {
	bytes []byte
	// steps is the number of sizes through which the buffer has grown.
	steps   int
	reserve func(yuccaid.Bytes) bool
}

// grow makes the buffer larger, and keeps what it holds. The memory that it had before is used again.
func (buf *eventBuffer) grow() error {
	if buf.steps == len(eventBufferSizes) {
		return &overlongError{part: "an event", limit: maxEventBytes}
	}
	size := eventBufferSizes[buf.steps]
	if more := size - max(len(buf.bytes), coveredEventBytes); more > 0 && !buf.reserve(yuccaid.Bytes(more)) {
		return &eventMemoryError{size: size}
	}
	grown := unusedBytes(buf.steps)
	copy(grown, buf.bytes)
	buf.recycle()
	buf.bytes = grown
	buf.steps++
	return nil
}

// unusedBytes returns an unused buffer of the size with the given index.
func unusedBytes(index int) []byte {
	if unused, ok := eventBufferPools[index].Get().(*[]byte); ok {
		return *unused
	}
	return make([]byte, eventBufferSizes[index])
}

// recycle gives the buffer's memory to other streams.
func (buf *eventBuffer) recycle() {
	if buf.steps > 0 {
		unused := buf.bytes
		eventBufferPools[buf.steps-1].Put(&unused)
	}
}

// release ends the use of the buffer and of all events in it. No reader may be reading into it any more.
func (buf *eventBuffer) release() {
	buf.recycle()
	buf.bytes, buf.steps = nil, 0
}

// event is one event of a stream, as the target wrote it. Its bytes are those of the reader's buffer.
type event struct {
	raw []byte
	// id is the value of the event's id field, empty if the event has no such field or a longer one than
	// maxEventIDBytes.
	id string
}

// eventReader splits a stream into complete events.
//
// A target may stop in the middle of an event. If the caller had already received half of that
// event, another target could not continue the stream, because a stream can only be continued after
// a complete event. So an event is forwarded only when its last byte has arrived.
type eventReader struct {
	source io.Reader
	buffer *eventBuffer
	// buffered is the part of the buffer that has been read and belongs to no returned event. It
	// begins at the index start.
	buffered []byte
	start    int
	// scanned is the length of the part of buffered that has been searched without finding the
	// end of an event.
	scanned int
	// fieldless is the length of the comments and empty lines since the last event with a field.
	fieldless int
	events    []event
	err       error
}

func newEventReader(source io.Reader, buffer *eventBuffer) *eventReader {
	return &eventReader{source: source, buffer: buffer}
}

// next waits until at least one event is complete, and returns complete events that have arrived. They
// are valid until the next call. It returns io.EOF when the stream ends after a complete event, and
// another error when it breaks off, when an event is too long or when there is no memory for it. After
// an error, remainder returns the bytes that belong to no complete event.
func (reader *eventReader) next() ([]event, error) {
	for {
		if reader.fieldless > maxEventBytes {
			return nil, &overlongError{part: "a stream of comments and empty lines without an event", limit: maxEventBytes}
		}
		if events := reader.split(); len(events) > 0 {
			return events, nil
		}
		if reader.err != nil {
			return nil, reader.endError()
		}
		if err := reader.makeRoom(); err != nil {
			return nil, err
		}
		reader.read()
	}
}

// makeRoom moves what belongs to no returned event to the beginning of the buffer, and grows the buffer
// if it is full.
func (reader *eventReader) makeRoom() error {
	length := len(reader.buffered)
	if reader.start > 0 {
		copy(reader.buffer.bytes, reader.buffered)
	}
	if length == len(reader.buffer.bytes) {
		if err := reader.buffer.grow(); err != nil {
			return err
		}
	}
	reader.start = 0
	reader.buffered = reader.buffer.bytes[:length]
	return nil
}

// read reads what arrives next into the free part of the buffer.
func (reader *eventReader) read() {
	length := len(reader.buffered)
	n, err := reader.source.Read(reader.buffer.bytes[length:])
	reader.buffered = reader.buffer.bytes[:length+n]
	reader.err = err
}

// endError returns the error with which the stream ended. If no length and no last chunk states where
// a response ends, a target that crashes and one that is done end it in the same way: by closing the
// connection.
func (reader *eventReader) endError() error {
	if reader.err == io.EOF && reader.unfinished() > 0 {
		return errUnfinishedEvent
	}
	return reader.err
}

func (reader *eventReader) remainder() []byte { return reader.buffered }

// unfinished returns the length of the event that has arrived only in part, in bytes. Empty lines
// and comments that no event follows belong to no event.
func (reader *eventReader) unfinished() int {
	length := len(reader.buffered)
	if length == 0 {
		return 0
	}
	if hasField(reader.buffered) || !isLineEnd(rune(reader.buffered[length-1])) {
		return length
	}
	return 0
}

// hasField reports whether the text has a line that is neither empty nor a comment.
func hasField(text []byte) bool {
	for line := range bytes.FieldsFuncSeq(text, isLineEnd) {
		if line[0] != ':' {
			return true
		}
	}
	return false
}

// split removes complete events from the buffer and returns them, at most maxEventsAtOnce.
func (reader *eventReader) split() []event {
	reader.events = reader.events[:0]
	for len(reader.events) < maxEventsAtOnce {
		length := eventLength(reader.buffered, reader.scanned)
		if length == 0 {
			// The end of the event may have arrived only in part, so the bytes that can belong to it
			// are searched again.
			reader.scanned = max(len(reader.buffered)-maxEventEndBytes, 0)
			break
		}
		raw := reader.buffered[:length]
		reader.buffered = reader.buffered[length:]
		reader.start += length
		reader.scanned = 0
		reader.countFieldless(raw)
		reader.events = append(reader.events, event{raw: raw, id: eventID(raw)})
	}
	return reader.events
}

// countFieldless counts an event of comments and empty lines alone.
func (reader *eventReader) countFieldless(raw []byte) {
	if hasField(raw) {
		reader.fieldless = 0
		return
	}
	reader.fieldless += len(raw)
}

// eventLength returns the length of the first event in the buffer, including the empty line after
// the event, or zero if the event isn't complete. The search for the event's end starts at the
// index from.
func eventLength(buffered []byte, from int) int {
	for i := from; i < len(buffered); i++ {
		end := lineEndLength(buffered[i:])
		if end == 0 {
			continue
		}
		if empty := lineEndLength(buffered[i+end:]); empty > 0 {
			return i + end + empty
		}
	}
	return 0
}

// lineEndLength returns the length of the line end with which the text begins, or zero. A line ends
// with a line feed, a carriage return, or both.
func lineEndLength(text []byte) int {
	switch {
	case len(text) == 0 || !isLineEnd(rune(text[0])):
		return 0
	case len(text) > 1 && text[0] == '\r' && text[1] == '\n':
		return 2
	}
	return 1
}

func isLineEnd(char rune) bool { return char == '\n' || char == '\r' }

// eventID returns the value of the event's first id field, or the empty string if the event has no
// id field or one that is longer than maxEventIDBytes.
func eventID(raw []byte) string {
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		id, found := bytes.CutPrefix(line, []byte("id:"))
		if !found {
			continue
		}
		if id = bytes.TrimSpace(id); len(id) > maxEventIDBytes {
			return ""
		}
		return string(id)
	}
	return ""
}
