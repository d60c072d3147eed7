package yuccaquota_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRefundsLetNoMoreThroughThanTheLimit guards against the failure that an account gets its quota twice once requests of it have waited long
// and were refused.
func TestRefundsLetNoMoreThroughThanTheLimit(t *testing.T) {
	const window = 8 * time.Second
	type request struct {
		at       time.Time
		cost     float64
		refunded bool
	}
	rapid.Check(t, func(t *rapid.T) {
		led := ledger(start, noTolerance)
		now := start
		var admitted []*request
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			if back := rapid.IntRange(0, 2*len(admitted)).Draw(t, "back"); back < len(admitted) && !admitted[back].refunded {
				admitted[back].refunded = true
				if led.MayRefund(now, admitted[back].at) {
					led.Refund(now, "rally", admitted[back].cost)
				}
				continue
			}
			cost := float64(rapid.IntRange(1, quotaLimit).Draw(t, "cost"))
			if answer := led.Admit(now, "rally", cost, 0); answer.Verdict != "taken" {
				continue
			}
			admitted = append(admitted, &request{at: now, cost: cost})
			used := 0.0
			for _, each := range admitted {
				if !each.refunded && now.Sub(each.at) < window-window/32 {
					used += each.cost
				}
			}
			// A single request is admitted whatever it costs if nothing is used.
			if used > max(quotaLimit, cost) {
				t.Fatalf("%v used of %v within a window", used, float64(quotaLimit))
			}
		}
	})
}
