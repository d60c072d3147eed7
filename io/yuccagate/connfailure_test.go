package yuccagate

import (
	"fmt"
	"testing"
	"time"
)

// Guards against the failure that clients which connect to the address for daemons, each time from another port, take the
// process's memory by what is known of the lines about them.
func TestConnFailuresAreRememberedForFewAddresses(t *testing.T) {
	gate := &Gate{connFailureLoggedAt: make(map[string]time.Time)}
	now := time.Unix(1000, 0)
	for number := range 20 * maxLoggedAddresses {
		now = now.Add(time.Millisecond)
		gate.logsConnFailure(now, fmt.Sprint("10.0.0.9:", number))
	}
	if count := len(gate.connFailureLoggedAt); count > maxLoggedAddresses {
		t.Errorf("%d addresses are remembered, want %d at most", count, maxLoggedAddresses)
	}
	now = now.Add(connFailureLogInterval)
	if !gate.logsConnFailure(now, "10.0.0.1:7000") {
		t.Error("a failed connection isn't logged once the others are past")
	}
	if gate.logsConnFailure(now, "10.0.0.1:7000") {
		t.Error("a failed connection is logged twice within the interval")
	}
}
