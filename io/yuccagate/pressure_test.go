package yuccagate

import (
	"testing"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaspace"
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

// Guards against the failure that callers who open connections and don't use them keep a daemon from reading from others.
func TestUnusedConnectionsLeaveRoom(t *testing.T) {
	gate := &Gate{memory: newMemory(100 << 20)}
	gate.memoryShortage.short.Store(true)
	for _, test := range []struct {
		unread int
		used   yuccaid.Bytes
		admits bool
	}{{0, 0, true}, {100, 0, true}, {5000, 0, true}, {0, 69 << 20, true}, {100, 69 << 20, false}, {0, 70 << 20, false}} {
		gate.memory.reserve(0, test.used)
		gate.openRequests.Store(int64(test.used / yuccaspace.RequestOverhead))
		if admits := gate.admitsCaller(test.unread); admits != test.admits {
			t.Errorf("beside %d unread connections and %d bytes in use: %v, want %v", test.unread, test.used, admits, test.admits)
		}
		gate.memory.release(test.used)
	}
}

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
