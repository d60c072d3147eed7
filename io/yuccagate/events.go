package yuccagate

import (
	"bytes"
	"errors"
	"io"
	"strings"
)

// longestEvent bounds what is held back of a stream until its event is whole.
const longestEvent = 1 << 20

var errLongEvent = errors.New("an event is longer than a megabyte")

// event is one event of a stream, as the target wrote it.
type event struct {
	raw []byte
	// id is the event's own id, empty if it has none.
	id string
}

// events splits a stream into whole events.
//
// A target may stop in the middle of one. Had its caller got the half, another target
// could not go on behind it; so an event is handed on only when its last byte has come.
type events struct {
	from io.Reader
	held []byte
	// scanned is how much of held is known to end no event.
	scanned int
	chunk   [4 << 10]byte
	err     error
}

func newEvents(from io.Reader) *events {
	return &events{from: from}
}

// next returns the events that have come, at least one, or an error when the stream ends.
// At the end, rest returns what belongs to no whole event.
func (evs *events) next() ([]event, error) {
	for {
		if list := evs.split(); len(list) > 0 {
			return list, nil
		}
		if evs.err != nil {
			return nil, evs.err
		}
		if len(evs.held) > longestEvent {
			return nil, errLongEvent
		}
		got, err := evs.from.Read(evs.chunk[:])
		evs.held = append(evs.held, evs.chunk[:got]...)
		evs.err = err
	}
}

func (evs *events) rest() []byte { return evs.held }

// split takes the whole events out of what is held.
func (evs *events) split() []event {
	var list []event
	for {
		length := eventLength(evs.held, evs.scanned)
		if length == 0 {
			evs.scanned = max(len(evs.held)-3, 0)
			return list
		}
		raw := bytes.Clone(evs.held[:length])
		evs.held = evs.held[length:]
		evs.scanned = 0
		list = append(list, event{raw: raw, id: eventID(raw)})
	}
}

// eventLength returns the length of the first event with its empty line, or zero. Lines
// end with a line feed, with or without a carriage return before it.
func eventLength(held []byte, from int) int {
	for at := from; at < len(held); at++ {
		if held[at] != '\n' {
			continue
		}
		rest := held[at+1:]
		if len(rest) >= 1 && rest[0] == '\n' {
			return at + 2
		}
		if len(rest) >= 2 && rest[0] == '\r' && rest[1] == '\n' {
			return at + 3
		}
	}
	return 0
}

func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			return strings.TrimSpace(string(id))
		}
	}
	return ""
}
