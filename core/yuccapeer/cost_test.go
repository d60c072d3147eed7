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
	// costLimit is the most that a daemon may send or receive for membership, in bytes per
	// second.
	costLimit = 3000
	// headerBytes is the length of an IPv4 header and a TCP header with timestamps. In the
	// worst case each frame is sent in a packet of its own and acknowledged by another.
	headerBytes = 20 + 32
)

// cost is what membership costs a daemon: the bytes of the frames that it sent, the bytes
// that it sent and received with headers and acknowledgements (totals while they are
// counted, per second in the result of measure), and its connections, all of them and those
// to other data centres.
type cost struct {
	frames, sent, received  float64
	linkCount, outsideLinks int
}

// fleet runs daemons and counts the bytes of the messages that they send.
type fleet struct {
	*world
	costs map[*process]*cost
}

// newFleet starts daemons, lets them connect and begins to count.
func newFleet(tb testing.TB, centres, count int) *fleet {
	flt := &fleet{world: newWorld(1, 500*time.Millisecond, centres, count)}
	flt.advance(20)
	flt.world.sent = func(from, to *process, message yuccapeer.Message) {
		size := frameSize(tb, message)
		flt.costs[from].frames += size
		flt.costs[from].sent += size + headerBytes
		flt.costs[to].received += size + headerBytes
		// The acknowledgement is sent in the opposite direction.
		flt.costs[to].sent += headerBytes
		flt.costs[from].received += headerBytes
	}
	return flt
}

// measure runs the fleet for some seconds, with a number of release notes, and returns the
// highest cost of any daemon in each field.
func (flt *fleet) measure(seconds, notes int) cost {
	flt.costs = make(map[*process]*cost)
	for _, proc := range flt.processes {
		flt.costs[proc] = &cost{linkCount: len(proc.links), outsideLinks: outsideLinks(proc)}
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
		worst.linkCount = max(worst.linkCount, own.linkCount)
		worst.outsideLinks = max(worst.outsideLinks, own.outsideLinks)
	}
	return worst
}

// accept has every daemon accept one release note.
func (flt *fleet) accept() {
	for _, proc := range flt.processes {
		proc.number++
		digest := yuccaid.Digest(fmt.Sprintf("%064d", proc.number))
		flt.apply(proc, proc.peers.SetConfig(flt.now, proc.number, digest))
	}
}

// frameSize returns the length of a message's frame.
func frameSize(tb testing.TB, message yuccapeer.Message) float64 {
	kind, body := yuccawire.KindPulse, any(message.Pulse)
	if message.Heartbeat != nil {
		kind, body = yuccawire.KindHeartbeat, *message.Heartbeat
	}
	raw, err := yuccawire.Encode(kind, body)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(raw))
}

// outsideLinks counts a process's connections to other data centres.
func outsideLinks(proc *process) int {
	count := 0
	for _, conn := range proc.links {
		if conn.ends[0].Centre != conn.ends[1].Centre {
			count++
		}
	}
	return count
}

// Heartbeats take processor time on small VMs, and between regions traffic is paid for by
// volume. This test fails if a change makes heartbeats so long or so frequent that a daemon
// exceeds costLimit.
func TestHeartbeatsStayCheap(t *testing.T) {
	const seconds = 18
	flt := newFleet(t, 14, 28)
	for _, notes := range []int{0, 1} {
		found := flt.measure(seconds, notes)
		t.Logf("14 data centres of 28, %d release notes in %d s, bytes per second of the most loaded daemon: "+
			"%.0f in frames sent, %.0f sent and %.0f received with headers and acknowledgements; %d links, at most %d outside",
			notes, seconds, found.frames, found.sent, found.received, found.linkCount, found.outsideLinks)
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
	b.ReportMetric(float64(found.outsideLinks), "outsideLinks")
}
