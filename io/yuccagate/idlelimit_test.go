package yuccagate

import (
	"testing"
	"time"
)

// Guards against the failure that a configuration with a lower limit closes idle connections that callers may still use.
func TestLowerIdleLimitAppliesOnceTheFormerOneHasPassed(t *testing.T) {
	const second = time.Second
	for _, test := range []struct {
		name string
		// configured is the configured limit at each second.
		configured []time.Duration
		want       []time.Duration
	}{
		{"unchanged", []time.Duration{4 * second, 4 * second}, []time.Duration{4 * second, 4 * second}},
		{"raised", []time.Duration{2 * second, 5 * second}, []time.Duration{2 * second, 5 * second}},
		{
			"lowered",
			[]time.Duration{3 * second, second, second, second, second, second},
			[]time.Duration{3 * second, 3 * second, 3 * second, 3 * second, second, second},
		},
		{
			"lowered and raised again",
			[]time.Duration{3 * second, second, second, 3 * second, second, second, second, second},
			[]time.Duration{3 * second, 3 * second, 3 * second, 3 * second, 3 * second, 3 * second, 3 * second, second},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			var lim idleLimit
			for at, configured := range test.configured {
				now := time.Unix(int64(1000+at), 0)
				if got := lim.update(now, configured); got != test.want[at] {
					t.Errorf("after %d s: %v, want %v", at, got, test.want[at])
				}
			}
		})
	}
}

// Guards against the failure that a configuration with a lower limit closes a connection that has been idle for less than the limit which its caller knows.
func TestConnectionOutlastsALoweredIdleLimit(t *testing.T) {
	var lim idleLimit
	start := time.Unix(1000, 0)
	lim.update(start, 10*time.Second)
	idleSince := start
	for now := start; now.Before(idleSince.Add(8 * time.Second)); now = now.Add(idleCheckInterval) {
		if limit := lim.update(now, 2*time.Second); now.Sub(idleSince) >= limit {
			t.Fatalf("closed after %v", now.Sub(idleSince))
		}
	}
}
