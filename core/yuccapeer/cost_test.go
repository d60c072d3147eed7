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
	// worst case each frame is sent in a packet of its own, and a packet of its own
	// acknowledges the frame.
	headerBytes = 20 + 32
)

// cost is what membership costs a daemon. Bytes are totals in fleet.costs, and per second in
// the result of measure.
type cost struct {
	// frames is the number of bytes in the frames that the daemon sent. sent and received are
	// the numbers of bytes that it sent and received, including headers and acknowledgements.
	frames, sent, received float64
	// connectionCount counts all connections, remoteCount the connections to other data
	// centres.
	connectionCount, remoteCount int
}

// fleet runs daemons and counts the bytes of the messages that they send.
type fleet struct {
	*world
	costs map[*process]*cost
}

// newFleet starts count daemons in each data centre and lets them connect. From then on
// the bytes of their messages are counted.
func newFleet(tb testing.TB, centres, count int) *fleet {
	flt := &fleet{world: newWorld(1, 500*time.Millisecond, centres, count)}
	flt.advance(20)
	flt.world.onSend = func(from, to *process, message yuccapeer.Message) {
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
		flt.costs[proc] = &cost{connectionCount: len(proc.connections), remoteCount: countRemote(proc)}
	}
	for range notes {
		flt.acceptNote()
	}
	flt.advance(int(time.Duration(seconds) * time.Second / flt.step))
	var worst cost
	for _, daemonCost := range flt.costs {
		worst.frames = max(worst.frames, daemonCost.frames/float64(seconds))
		worst.sent = max(worst.sent, daemonCost.sent/float64(seconds))
		worst.received = max(worst.received, daemonCost.received/float64(seconds))
		worst.connectionCount = max(worst.connectionCount, daemonCost.connectionCount)
		worst.remoteCount = max(worst.remoteCount, daemonCost.remoteCount)
	}
	return worst
}

// acceptNote has every daemon accept one release note.
func (flt *fleet) acceptNote() {
	for _, proc := range flt.processes {
		proc.number++
		digest := yuccaid.Digest(fmt.Sprintf("%064d", proc.number))
		flt.apply(proc, proc.view.SetConfig(flt.now, proc.number, digest))
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

// countRemote counts a process's connections to other data centres.
func countRemote(proc *process) int {
	count := 0
	for _, conn := range proc.connections {
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
	// Twelve heartbeat intervals.
	const seconds = 18
	flt := newFleet(t, 14, 28)
	for _, notes := range []int{0, 1} {
		measured := flt.measure(seconds, notes)
		t.Logf("14 data centres of 28 daemons, %d release notes in %d s, bytes per second of the most loaded daemon: "+
			"%.0f in frames sent, %.0f sent and %.0f received with headers and acknowledgements; %d connections, at most %d of them to other data centres",
			notes, seconds, measured.frames, measured.sent, measured.received, measured.connectionCount, measured.remoteCount)
		if worst := max(measured.sent, measured.received); worst >= costLimit {
			t.Errorf("heartbeats cost the most loaded daemon %.0f bytes per second in one direction, the limit is %d", worst, costLimit)
		}
	}
}

func BenchmarkHeartbeats(b *testing.B) {
	flt := newFleet(b, 14, 28)
	var measured cost
	for b.Loop() {
		measured = flt.measure(3, 0)
	}
	b.ReportMetric(measured.frames, "frameB/s")
	b.ReportMetric(measured.sent, "wireB/s")
	b.ReportMetric(float64(measured.remoteCount), "outsideLinks")
}
