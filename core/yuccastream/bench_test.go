package yuccastream_test

import (
	"runtime"
	"testing"
	"time"

	"yuccacleat/core/yuccastream"
)

// BenchmarkMemory has one operation remember the origin of a stream, find one and expire others, with as
// many as a daemon of the aimed fleet holds if streams take a minute.
func BenchmarkMemory(b *testing.B) {
	const perSecond, copies = 13, 4
	now := time.Unix(1_700_000_000, 0)
	var mem yuccastream.Memory
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ReportAllocs()
	for index := range b.N {
		now = now.Add(time.Second / (perSecond * copies))
		mem.Put(now, yuccastream.Record{Key: yuccastream.Key(index), Origin: yuccastream.Origin{Pool: "drafter", Version: "v1.2"}, For: time.Minute})
		mem.Find(now, yuccastream.Key(index/2))
		mem.Expire(now)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(mem.Len()), "remembered")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(max(mem.Len(), 1)), "bytes/remembered")
}
