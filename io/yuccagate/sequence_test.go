package yuccagate

import (
	"testing"

	"pgregory.net/rapid"
)

// Casts of a data centre arrive over two connections, one of which lags by some casts. If a cast
// arrives for the first time on the lagging connection, it must be accepted even after a later
// cast, because otherwise the change in that cast would be missing for seconds. A cast must not be
// accepted twice, because its content would then count twice.
func TestSequenceWindowAcceptsEachCastOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 200), 1, 60, rapid.ID[uint64]).Draw(t, "sent")
		var window sequenceWindow
		accepted := make(map[uint64]bool)
		latest := uint64(0)
		for range 3 * len(sent) {
			sequence := rapid.SampledFrom(sent).Draw(t, "arrives")
			want := !accepted[sequence] && (sequence > latest || latest-sequence <= sequenceWindowSize)
			if got := window.accept(sequence); got != want {
				t.Fatalf("cast %d behind %d: new is %t", sequence, latest, got)
			}
			accepted[sequence] = true
			latest = max(latest, sequence)
		}
	})
}
