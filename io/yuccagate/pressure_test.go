package yuccagate

import (
	"testing"
	"time"
)

// Guards against the failure that a daemon which is short of processor time reads whatever comes, or that one which stood still
// once, or does slow work now and then, turns callers away.
func TestPressure(t *testing.T) {
	repeat := func(span time.Duration, count int) []time.Duration {
		list := make([]time.Duration, count)
		for index := range list {
			list[index] = span
		}
		return list
	}
	for _, test := range []struct {
		name string
		// spans are the times between ticks.
		spans    []time.Duration
		min, max float64
	}{
		{"on time", repeat(tickInterval, 200), 0, 0},
		{"a little late", repeat(tickInterval+30*time.Millisecond, 200), 0, 0},
		{"stood still once", append(repeat(tickInterval, 50), append([]time.Duration{5 * time.Second}, repeat(tickInterval, 40)...)...), 0, 0.2},
		{"slow work now and then", append(repeat(tickInterval, 50), append([]time.Duration{120 * time.Millisecond}, repeat(tickInterval, 50)...)...), 0, 0},
		{"short of time", repeat(tickInterval+100*time.Millisecond, 60), 0.9, maxShed},
		{"no longer short of time", append(repeat(tickInterval+100*time.Millisecond, 60), repeat(tickInterval, 200)...), 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var prs pressure
			now := time.Unix(1000, 0)
			prs.tick(now)
			for _, span := range test.spans {
				now = now.Add(span)
				prs.tick(now)
			}
			if share := prs.share(); share < test.min || share > test.max {
				t.Errorf("a share of %v is turned away, want %v to %v", share, test.min, test.max)
			}
			if prs.turnsAway(0.99) || prs.share() > 0 && !prs.turnsAway(0) {
				t.Error("the share doesn't decide on connections")
			}
		})
	}
}
