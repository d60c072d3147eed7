package yuccapeer_test

import (
	"fmt"
	"testing"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/io/yuccawire"
)

const (
	// costLimit is what membership may cost a daemon, in bytes per second.
	costLimit = 3000
	// headers are an IPv4 header and a TCP header with timestamps. Each frame travels
	// in a packet of its own, and each is acknowledged by one, at worst.
	headers = 20 + 32
)

// cost is what a second of membership takes.
type cost struct {
	frames, sent, received float64
	links, outside         int
}

// fleet runs daemons and counts the frames that they encode.
type fleet struct {
	*world
	costs map[*run]*cost
}

// newFleet starts daemons and waits until they are connected.
func newFleet(tb testing.TB, centres, count int) *fleet {
	flt := &fleet{world: newWorld(1, 500*time.Millisecond, centres, count)}
	flt.advance(20)
	flt.world.sent = func(from, to *run, beat yuccapeer.Message) {
		size := frameSize(tb, beat)
		flt.costs[from].frames += size
		flt.costs[from].sent += size + headers
		flt.costs[to].received += size + headers
		// Acknowledgements go the other way.
		flt.costs[to].sent += headers
		flt.costs[from].received += headers
	}
	return flt
}

// measure lets some seconds pass, with so many release notes, and returns what they cost
// the daemon that pays most for each.
func (flt *fleet) measure(seconds, notes int) cost {
	flt.costs = make(map[*run]*cost)
	for _, one := range flt.runs {
		flt.costs[one] = &cost{links: len(one.bonds), outside: outside(one)}
	}
	for range notes {
		flt.accept()
	}
	flt.advance(int(time.Duration(seconds) * time.Second / flt.step))
	var worst cost
	for _, own := range flt.costs {
		worst.frames = max(worst.frames, own.frames/float64(seconds))
		worst.sent = max(worst.sent, own.sent/float64(seconds))
		worst.received = max(worst.received, own.received/float64(seconds))
		worst.links = max(worst.links, own.links)
		worst.outside = max(worst.outside, own.outside)
	}
	return worst
}

// accept has every daemon accept one release note.
func (flt *fleet) accept() {
	for _, one := range flt.runs {
		one.number++
		digest := yuccaid.Digest(fmt.Sprintf("%064d", one.number))
		flt.apply(one, one.peers.SetConfig(flt.now, one.number, digest))
	}
}

func frameSize(tb testing.TB, beat yuccapeer.Message) float64 {
	kind, body := yuccawire.KindPulse, any(beat.Pulse)
	if beat.Heartbeat != nil {
		kind, body = yuccawire.KindHeartbeat, *beat.Heartbeat
	}
	raw, err := yuccawire.Encode(kind, body)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(raw))
}

// outside counts a process's connections to other data centres.
func outside(one *run) int {
	count := 0
	for _, between := range one.bonds {
		if between.ends[0].Centre != between.ends[1].Centre {
			count++
		}
	}
	return count
}

// Each daemon pays for its heartbeats on small VMs and, between regions, by volume. A
// change that makes them longer or more frequent shows here and not on the bill.
func TestHeartbeatsStayCheap(t *testing.T) {
	const seconds = 18
	flt := newFleet(t, 14, 28)
	for _, notes := range []int{0, 1} {
		found := flt.measure(seconds, notes)
		t.Logf("14 data centres of 28, %d release notes in %d s, bytes per second of the most loaded daemon: "+
			"%.0f in frames sent, %.0f sent and %.0f received with headers and acknowledgements; %d links, at most %d outside",
			notes, seconds, found.frames, found.sent, found.received, found.links, found.outside)
		if worst := max(found.sent, found.received); worst >= costLimit {
			t.Errorf("heartbeats cost %.0f bytes per second, the limit is %d", worst, costLimit)
		}
	}
}

func BenchmarkHeartbeats(b *testing.B) {
	flt := newFleet(b, 14, 28)
	var found cost
	for b.Loop() {
		found = flt.measure(3, 0)
	}
	b.ReportMetric(found.frames, "frameB/s")
	b.ReportMetric(found.sent, "wireB/s")
	b.ReportMetric(float64(found.outside), "outsideLinks")
}
