package yuccagate

import (
	"strings"
	"testing"
)

// Guards against the failure that a status without end fills the daemon's memory.
func TestReadStatusOfBoundedLength(t *testing.T) {
	source := &repeated{text: "x"}
	if raw, err := readStatus(source, maxStatusBytes); err != nil || len(raw) != maxStatusBytes || source.read != maxStatusBytes {
		t.Errorf("read %d bytes and kept %d, with error %v, want %d", source.read, len(raw), err, maxStatusBytes)
	}
	if raw, err := readStatus(strings.NewReader("short"), maxStatusBytes); err != nil || string(raw) != "short" {
		t.Errorf("got %q and error %v, want the whole status", raw, err)
	}
}
