package yuccaquarantine_test

import (
	"fmt"
	"testing"
	"time"

	"yuccacleat/core/yuccaquarantine"
)

// BenchmarkCrash measures what a daemon does for one more crash and until its next tick, while many targets crash and many contents
// have been on two of them.
func BenchmarkCrash(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	qua := yuccaquarantine.New("entry-1")
	turn := 0
	crash := func() {
		now = now.Add(20 * time.Millisecond)
		report := yuccaquarantine.Crash{Process: yuccaquarantine.Process{Target: "t", StartMillis: int64(turn)}, At: now}
		for run := range 8 {
			report.Traits = append(report.Traits, yuccaquarantine.Trait(fmt.Sprint("content:", turn/2, "-", run)))
		}
		qua.RecordCrash(now, report)
		turn++
	}
	for range 400 {
		crash()
	}
	for b.Loop() {
		crash()
		qua.Tick(now, whole)
		qua.IsActive(now)
	}
}
