package yuccagate

import (
	"testing"

	"pgregory.net/rapid"
)

// A data centre's news comes over two connections. One of them is behind by some casts, and
// a cast that it brings first must be taken though a later one has come; else a change is
// lost for seconds, and taken twice it would count twice.
func TestSeenTakesEachCastOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sent := rapid.SliceOfNDistinct(rapid.Uint64Range(1, 200), 1, 60, rapid.ID[uint64]).Draw(t, "sent")
		var sn seen
		had := make(map[uint64]bool)
		latest := uint64(0)
		for range 3 * len(sent) {
			sequence := rapid.SampledFrom(sent).Draw(t, "arrives")
			want := !had[sequence] && (sequence > latest || latest-sequence <= seenSpan)
			if got := sn.first(sequence); got != want {
				t.Fatalf("cast %d behind %d: news is %t", sequence, latest, got)
			}
			had[sequence] = true
			latest = max(latest, sequence)
		}
	})
}
