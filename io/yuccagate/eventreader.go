package yuccagate

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// maxEventBytes bounds the length of an event. If more than maxEventBytes of an event have arrived
// and the event is still incomplete, next returns errLongEvent.
const maxEventBytes = 1 << 20

// maxEventEndBytes is the length of the longest end of an event: two line ends of two bytes each.
const maxEventEndBytes = 4

var (
	errLongEvent       = errors.New("an event is longer than a megabyte")
	errUnfinishedEvent = errors.New("the stream ended inside an event")
)

// event is one event of a stream, as the target wrote it.
type event struct {
	raw []byte
	// id is the value of the event's id field, empty if the event has no such field.
	id string
}

// eventReader splits a stream into complete events.
//
// A target may stop in the middle of an event. If the caller had already received half of that
// event, another target could not continue the stream, because a stream can only be continued after
// a complete event. So an event is forwarded only when its last byte has arrived.
type eventReader struct {
	source   io.Reader
	buffered []byte
	// scanned is the length of the part of buffered that has been searched without finding the
	// end of an event.
	scanned int
	chunk   [4 << 10]byte
	err     error
}

func newEventReader(source io.Reader) *eventReader {
	return &eventReader{source: source}
}

// next waits until at least one event is complete, and returns all complete events that have
// arrived. It returns io.EOF when the stream ends after a complete event, and another error when it
// breaks off or when an event is too long. After an error, remainder returns the bytes that belong
// to no complete event.
func (reader *eventReader) next() ([]event, error) {
	for {
		if events := reader.split(); len(events) > 0 {
			return events, nil
		}
		if reader.err != nil {
			return nil, reader.endError()
		}
		if len(reader.buffered) > maxEventBytes {
			return nil, errLongEvent
		}
		n, err := reader.source.Read(reader.chunk[:])
		reader.buffered = append(reader.buffered, reader.chunk[:n]...)
		reader.err = err
	}
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

// split removes the complete events from the buffer and returns them.
func (reader *eventReader) split() []event {
	var events []event
	for {
		length := eventLength(reader.buffered, reader.scanned)
		if length == 0 {
			// The end of the event may have arrived only in part, so the bytes that can belong to it
			// are searched again.
			reader.scanned = max(len(reader.buffered)-maxEventEndBytes, 0)
			return events
		}
		raw := bytes.Clone(reader.buffered[:length])
		reader.buffered = reader.buffered[length:]
		reader.scanned = 0
		events = append(events, event{raw: raw, id: eventID(raw)})
	}
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
// id field.
func eventID(raw []byte) string {
	for line := range bytes.FieldsFuncSeq(raw, isLineEnd) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(id))
		}
	}
	return ""
}
