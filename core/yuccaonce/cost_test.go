package yuccaonce_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// bytesBound bounds the heap bytes of a stored id, and allocsBound the allocations of
// one request from open to its outcome. Both are a fifth above the values of the
// present code.
const (
	bytesBound  = 270
	allocsBound = 61
)

var hash = strings.Repeat("0", 64)

// serve opens, submits, dispatches and finishes one request.
func serve(own *yuccaonce.Owner, now time.Time) {
	id, _ := own.Open(now, ticket.Account)
	own.Submit(now, id, ticket)
	own.Dispatch(now, id, "t1")
	own.Finish(now, id, yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 9, Hash: strings.Clone(hash)})
}

// heldBytes serves the given number of requests and returns the heap bytes that each
// stored id takes.
func heldBytes(own *yuccaonce.Owner, ids int) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for range ids {
		serve(own, start)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(own)
	return float64(after.HeapAlloc-before.HeapAlloc) / float64(ids)
}

var _ = Describe("the cost of a request", func() {
	largeLimits := yuccaonce.WithLimits(yuccaonce.Limits{Total: 1 << 20, PerAccount: 1 << 20})

	It("keeps each closed id in few bytes", func() {
		Expect(heldBytes(yuccaonce.New(incarnation, fleetKey, largeLimits), 20_000)).To(BeNumerically("<", bytesBound))
	})

	It("allocates the same however many ids are held and expire", func() {
		own := yuccaonce.New(incarnation, fleetKey, largeLimits, yuccaonce.WithLifetime(12*time.Second))
		now := start
		cycle := func() { now = now.Add(time.Millisecond); serve(own, now) }
		baseline := testing.AllocsPerRun(100, cycle)
		for range 14_000 {
			cycle()
		}
		Expect(testing.AllocsPerRun(1000, cycle)).To(BeNumerically("<=", baseline+1))
		Expect(baseline).To(BeNumerically("<", allocsBound))
		Expect(own.Counts().Closed).To(Equal(12_000))
	})
})

func BenchmarkServe(b *testing.B) {
	for _, held := range []int{100, 10_000, 200_000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			own := yuccaonce.New(incarnation, fleetKey, yuccaonce.WithLifetime(time.Duration(held)*time.Millisecond),
				yuccaonce.WithLimits(yuccaonce.Limits{Total: 2 * held, PerAccount: 2 * held}))
			now := start
			for range held {
				now = now.Add(time.Millisecond)
				serve(own, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				serve(own, now)
			}
		})
	}
}

func BenchmarkHeldBytes(b *testing.B) {
	for b.Loop() {
		own := yuccaonce.New(incarnation, fleetKey)
		b.ReportMetric(heldBytes(own, 20_000), "bytes/id")
	}
}

func ExampleOwner() {
	own := yuccaonce.New(incarnation, yuccaid.Key("the fleet's key"))
	id, _ := own.Open(start, "hotline")
	submission := yuccaonce.Submission{Account: "hotline", Pool: "tickets", Operation: "file", Body: "b0d1"}
	step, _ := own.Submit(start, id, submission)
	again, _ := own.Submit(start, id, submission)
	own.CloseNotRun(start, id, yuccaonce.ReasonOverload, 2*time.Second)
	fmt.Println(step.Action, again.Action)
	fmt.Println(own.Dispatch(start, id, "t1") != nil)
	// Output:
	// admit join
	// true
}
