package yuccapeer_test

import (
	"fmt"
	"testing"
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
)

// BenchmarkTurn measures the methods of a view that a daemon calls in one turn of its control
// loop. Each case is a number of daemons, in three data centres.
func BenchmarkTurn(b *testing.B) {
	for _, daemons := range []int{7, 30, 100, 400} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			now := time.Unix(1000, 0)
			view := yuccapeer.New(testMember(0))
			for index := 1; index < daemons; index++ {
				other := testMember(index)
				view.HandleConnect(now, other)
				view.HandleHeartbeat(now, yuccapeer.Heartbeat{
					Incarnation: other.Incarnation, Centre: other.Centre, Address: other.Address, Sequence: 1, Version: 1, Unlisted: true,
				})
			}
			view.Tick(now)
			view.Tick(now)
			b.ReportAllocs()
			for b.Loop() {
				view.Tick(now)
				view.Live("centre-0")
				view.Leader("reader")
				view.Leader("speaker")
				view.Candidates("centre-0")
			}
		})
	}
}

// testMember returns the member with an index, in one of three data centres.
func testMember(index int) yuccapeer.Member {
	vm := yuccaid.VM(fmt.Sprintf("vm-%03d", index))
	return yuccapeer.Member{
		VM: vm, Centre: yuccaid.Centre(fmt.Sprintf("centre-%d", index%3)), Address: fmt.Sprintf("10.0.%d.%d:1", index/250, index%250),
		Incarnation: yuccaid.NewIncarnation(vm, [16]byte{byte(index), byte(index >> 8)}),
	}
}
