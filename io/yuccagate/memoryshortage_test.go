package yuccagate

import (
	"testing"
	"time"
)

// Guards against the failure that a daemon goes on reading requests for which it has no memory, or that one or two of them have it turn
// others away that find some.
func TestMemoryShortage(t *testing.T) {
	for _, test := range []struct {
		name string
		// every is the time between two requests that are refused, and then how long none was refused since.
		every, then time.Duration
		want        bool
	}{
		{"now and then", time.Second, 0, false},
		{"many", 20 * time.Millisecond, 0, true},
		{"many, a little ago", 20 * time.Millisecond, 3 * time.Second, true},
		{"many, long ago", 20 * time.Millisecond, 8 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var shortage memoryShortage
			now := time.Unix(1000, 0)
			for elapsed := time.Duration(0); elapsed < 4*time.Second+test.then; elapsed += tickInterval {
				if elapsed < 4*time.Second && elapsed%test.every == 0 {
					shortage.requestRefused()
				}
				now = now.Add(tickInterval)
				shortage.tick(now)
			}
			if got := shortage.isShort(); got != test.want {
				t.Errorf("memory counts as short: %v, want %v", got, test.want)
			}
		})
	}
}
