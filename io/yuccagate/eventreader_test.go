package yuccagate

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"yuccacleat/core/yuccaid"
)

// readEvents reads a stream to its end. It returns the text of all events and of the remainder, the
// ids of the events that have one, and whether the stream ended inside an event.
func readEvents(source io.Reader) (text string, ids []string, broken bool) {
	reader := newEventReader(source, &eventBuffer{reserve: func(yuccaid.Bytes) bool { return true }})
	var all bytes.Buffer
	for {
		events, err := reader.next()
		for _, ev := range events {
			all.Write(ev.raw)
			if ev.id != "" {
				ids = append(ids, ev.id)
			}
		}
		if err != nil {
			all.Write(reader.remainder())
			return all.String(), ids, errors.Is(err, errUnfinishedEvent)
		}
	}
}

// Guards against the failure that bytes of a stream are lost, or that its events and its end depend
// on how it is split into packets.
func FuzzEventReader(f *testing.F) {
	for _, stream := range []string{"id: 1\ndata: one\n\nid: 2\ndata: tw", "id:1\r\n\r\n: end\r\n", "id: 1\r\r\n\rid", ":", ""} {
		f.Add(stream)
	}
	f.Fuzz(func(t *testing.T, stream string) {
		text, ids, broken := readEvents(strings.NewReader(stream))
		slowText, slowIDs, slowBroken := readEvents(iotest.OneByteReader(strings.NewReader(stream)))
		if text != stream || slowText != stream {
			t.Errorf("got %q, and %q byte by byte, of %q", text, slowText, stream)
		}
		if !slices.Equal(ids, slowIDs) || broken != slowBroken {
			t.Errorf("got ids %q (broken off: %t), and %q (%t) byte by byte", ids, broken, slowIDs, slowBroken)
		}
	})
}

// repeated is a stream of one text again and again. It counts what is read of it.
type repeated struct {
	text string
	read int
}

func (src *repeated) Read(into []byte) (int, error) {
	for index := range into {
		into[index] = src.text[(src.read+index)%len(src.text)]
	}
	src.read += len(into)
	return len(into), nil
}

// Guards against the failure that bytes without end fill the daemon's memory, or are read until the deadline.
func TestEventReaderBoundsWhatItReads(t *testing.T) {
	for _, text := range []string{"x", "data: x\n", ":\n", ":\r", ": busy\n\n", "\n", "\r\n", "\r"} {
		var reserved yuccaid.Bytes
		buffer := &eventBuffer{reserve: func(size yuccaid.Bytes) bool { reserved += size; return true }}
		source := &repeated{text: text}
		reader := newEventReader(source, buffer)
		var err error
		for err == nil {
			_, err = reader.next()
		}
		var overlong *overlongError
		if !errors.As(err, &overlong) {
			t.Errorf("got error %v of a stream of %q, want an *overlongError", err, text)
		}
		if source.read > maxEventBytes+eventBufferSizes[0] {
			t.Errorf("read %d bytes of a stream of %q, more than the bound of %d and one buffer", source.read, text, maxEventBytes)
		}
		if got, want := int(reserved), max(len(buffer.bytes)-coveredEventBytes, 0); got != want || cap(buffer.bytes) > maxEventBytes {
			t.Errorf("reserved %d bytes for a buffer of %d on a stream of %q, want %d", got, cap(buffer.bytes), text, want)
		}
	}
}

// Guards against the failure that comments between events, however many there are over hours, end a stream.
func TestEventReaderCountsCommentsFromTheLastEvent(t *testing.T) {
	pause := strings.Repeat(": busy\n\n", maxEventBytes/2/len(": busy\n\n"))
	stream := strings.Repeat(pause+"data: x\n\n", 6)
	if text, _, broken := readEvents(strings.NewReader(stream)); text != stream || broken {
		t.Errorf("got %d bytes of %d", len(text), len(stream))
	}
}

// Guards against the failure that a stream reserves memory again for each event or each target, or that
// its events are held without a reservation.
func TestEventBufferReservesItsLargestSizeOnce(t *testing.T) {
	var reserved yuccaid.Bytes
	buffer := &eventBuffer{reserve: func(size yuccaid.Bytes) bool {
		if reserved+size > 100<<10 {
			return false
		}
		reserved += size
		return true
	}}
	long := strings.Repeat("data: "+strings.Repeat("x", 100<<10)+"\n\n", 5)
	for range 3 {
		reader := newEventReader(strings.NewReader(long), buffer)
		count := 0
		for events, err := reader.next(); err == nil; events, err = reader.next() {
			count += len(events)
		}
		if count != 5 || reserved != 96<<10 {
			t.Errorf("got %d events with %d bytes reserved, want 5 with %d", count, reserved, 96<<10)
		}
	}
	reader := newEventReader(&repeated{text: "x"}, buffer)
	_, err := reader.next()
	var noRoom *eventMemoryError
	if !errors.As(err, &noRoom) || !errors.Is(err, errNoMemory) {
		t.Errorf("got error %v, want an *eventMemoryError", err)
	}
	if len(buffer.bytes) != 128<<10 {
		t.Errorf("the buffer has %d bytes, want %d", len(buffer.bytes), 128<<10)
	}
}

// Guards against the failure that a stream gets bytes of another one whose buffer it uses again.
func TestEventBuffersAreUsedByOneStreamAtATime(t *testing.T) {
	var group sync.WaitGroup
	for letter := range 8 {
		group.Go(func() {
			for length := 1; length < 200<<10; length = length*3 + letter {
				buffer := &eventBuffer{reserve: func(yuccaid.Bytes) bool { return true }}
				want := "data: " + strings.Repeat(string(rune('a'+letter)), length) + "\n\n"
				reader := newEventReader(strings.NewReader(want), buffer)
				events, err := reader.next()
				if err != nil || len(events) != 1 || string(events[0].raw) != want {
					t.Errorf("got %d events and error %v, want one event of %d bytes", len(events), err, len(want))
				}
				buffer.release()
			}
		})
	}
	group.Wait()
}

// Guards against the failure that a stream keeps a long id beyond its event, or asks a target with it for the rest.
func TestEventIDOfBoundedLength(t *testing.T) {
	for length, want := range map[int]int{maxEventIDBytes: maxEventIDBytes, maxEventIDBytes + 1: 0} {
		if got := eventID([]byte("id: " + strings.Repeat("7", length) + "\n\n")); len(got) != want {
			t.Errorf("got an id of %d bytes of one of %d, want %d", len(got), length, want)
		}
	}
}
