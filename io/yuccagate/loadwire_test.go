package yuccagate

import (
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/io/yuccawire"
)

// TestLoadsCrossBuilds guards against loads that a leader of this or an older build can't read: a load
// without a stated speed has the two numbers that older builds know, and with one it has a third.
func TestLoadsCrossBuilds(t *testing.T) {
	for _, load := range []yuccagrant.ReportedLoad{
		{}, {Known: true, Running: 3, Waiting: 1}, {Known: true, Running: 3, Waiting: 1, Slowness: 2.5},
	} {
		frame, err := msgpack.Marshal(yuccawire.Begun{Pool: "p", Load: wireLoad(load)})
		if err != nil {
			t.Fatal(err)
		}
		var message yuccawire.Begun
		if err := msgpack.Unmarshal(frame, &message); err != nil {
			t.Fatal(err)
		}
		if got := loadFromWire(message.Load); got != load {
			t.Errorf("got %+v for %+v", got, load)
		}
	}
	if sent := wireLoad(yuccagrant.ReportedLoad{Known: true, Running: 3, Waiting: 1}); len(sent) != 2 {
		t.Errorf("a load without a speed has %d numbers", len(sent))
	}
}
