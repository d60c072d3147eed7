package yuccagate

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
)

// readEvents reads a stream to its end. It returns the text of all events and of the remainder, the
// ids of the events that have one, and whether the stream ended inside an event.
func readEvents(source io.Reader) (text string, ids []string, broken bool) {
	reader := newEventReader(source)
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
