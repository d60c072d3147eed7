package yuccagate

import (
	"testing"
	"time"
)

func TestDaemonsThatVanishElsewhereCountForAWhile(t *testing.T) {
	start := time.Unix(1000, 0)
	casts := []struct {
		after    time.Duration
		daemons  int
		expected int
	}{
		{0, 3, 3},
		{time.Second, 2, 3},
		{centreExpectedFor, 2, 3},
		{centreExpectedFor + time.Second, 2, 2},
		{centreExpectedFor + 2*time.Second, 4, 4},
		{centreExpectedFor + 3*time.Second, 1, 4},
	}
	var centre *remoteCentre
	for _, cast := range casts {
		now := start.Add(cast.after)
		centre = centre.updated(now, cast.daemons)
		if got := centre.expected(now); got != cast.expected || centre.daemons != cast.daemons {
			t.Errorf("after %v: %d daemons, %d expected, want %d and %d", cast.after, centre.daemons, got, cast.daemons, cast.expected)
		}
	}
}
