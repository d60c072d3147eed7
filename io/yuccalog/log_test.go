package yuccalog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"yuccacleat/io/yuccalog"
)

// reader is a stream that blocks whoever writes to it until reading is closed.
type reader struct {
	mu      sync.Mutex
	text    bytes.Buffer
	reading chan struct{}
}

func newReader() *reader {
	rd := &reader{reading: make(chan struct{})}
	close(rd.reading)
	return rd
}

func (rd *reader) Write(line []byte) (int, error) {
	<-rd.reading
	rd.mu.Lock()
	defer rd.mu.Unlock()
	return rd.text.Write(line)
}

func (rd *reader) lines() []map[string]any {
	rd.mu.Lock()
	defer rd.mu.Unlock()
	var list []map[string]any
	for text := range strings.Lines(rd.text.String()) {
		var line map[string]any
		Expect(json.Unmarshal([]byte(text), &line)).To(Succeed(), text)
		list = append(list, line)
	}
	return list
}

// count returns how many lines have a value in a field.
func (rd *reader) count(field, value string) int {
	sum := 0
	for _, line := range rd.lines() {
		if line[field] == value {
			sum++
		}
	}
	return sum
}

var _ = Describe("a log", func() {
	It("writes JSON lines with their fields", func() {
		out := newReader()
		lg := yuccalog.New(out)
		_ = level.Info(log.With(lg, "vm", "entry-1")).Log("event", "started", "number", 7)
		lg.Close()
		Expect(out.lines()).To(Equal([]map[string]any{{"event": "started", "level": "info", "number": 7.0, "vm": "entry-1"}}))
	})

	// The process that collects the output hangs. The goroutine that decides on requests must not be
	// blocked by that, and later the log reports how many lines are missing.
	It("never blocks when nobody reads, and reports what it left out", func() {
		out := newReader()
		out.reading = make(chan struct{})
		var seconds atomic.Int64
		lg := yuccalog.New(out, yuccalog.WithClock(func() time.Time { return time.Unix(seconds.Load(), 0) }))
		filler := strings.Repeat("x", 400)
		for range 300 {
			// There are ten lines a second, which is below the rate limit.
			for range 10 {
				_ = level.Debug(lg).Log("event", "answered", "filler", filler)
			}
			seconds.Add(1)
		}
		_ = level.Warn(lg).Log("event", "refused")
		close(out.reading)
		lg.Close()
		Expect(out.count("event", "refused")).To(Equal(1), "the queue has room for warn lines")
		left := 0.0
		for _, line := range out.lines() {
			if line["what"] == "lines left out" {
				left += line["debug"].(float64)
				Expect(line["stalled"]).To(BeNumerically(">", 0))
			}
		}
		Expect(left + float64(out.count("event", "answered"))).To(BeEquivalentTo(3000))
		Expect(left).To(BeNumerically(">", 1000))
	})

	// Far more requests than usual arrive at once. The lines on requests that went well are left out
	// first.
	It("bounds the lines of each level", func() {
		out := newReader()
		moment := time.Unix(1000, 0)
		lg := yuccalog.New(out, yuccalog.WithClock(func() time.Time { return moment }), yuccalog.WithFields("vm", "entry-1"))
		for range 500 {
			_ = level.Debug(lg).Log("event", "answered")
			_ = level.Info(lg).Log("event", "resent")
			_ = level.Warn(lg).Log("event", "refused")
		}
		lg.Close()
		Expect(out.count("event", "answered")).To(Equal(200))
		Expect(out.count("event", "resent")).To(Equal(300))
		Expect(out.count("event", "refused")).To(Equal(500))
		Expect(out.count("what", "lines left out")).To(BeNumerically(">=", 1))
		Expect(out.count("vm", "entry-1")).To(Equal(out.count("what", "lines left out")))
	})

	// An operator asks the process what became of one request, after its lines were written, or left
	// out because nobody reads.
	It("keeps the last lines about requests", func() {
		out := newReader()
		lg := yuccalog.New(out, yuccalog.WithRecent(64<<10))
		defer lg.Close()
		line := func(request, event string) { _ = level.Debug(lg).Log("event", event, "request", request) }
		line("7c0c", "sent")
		line("331a", "sent")
		line("7c0c", "answered")
		_ = level.Debug(lg).Log("event", "started")
		Expect(string(lg.Recent("7c0c"))).To(Equal("{\"event\":\"sent\",\"level\":\"debug\",\"request\":\"7c0c\"}\n" +
			"{\"event\":\"answered\",\"level\":\"debug\",\"request\":\"7c0c\"}\n"))
		Expect(lg.Recent("")).To(BeEmpty())
		Expect(lg.Recent("unknown")).To(BeEmpty())
	})

	// A daemon runs for months. What it keeps about requests must not grow with them.
	It("forgets the oldest lines about requests beyond a bound", func() {
		var seconds atomic.Int64
		lg := yuccalog.New(newReader(), yuccalog.WithRecent(20<<10), yuccalog.WithClock(func() time.Time { return time.Unix(seconds.Load(), 0) }))
		defer lg.Close()
		kept := func(first, last int) (count int) {
			for at := first; at < last; at++ {
				if len(lg.Recent(fmt.Sprint(at))) > 0 {
					count++
				}
			}
			return count
		}
		for at := range 1000 {
			seconds.Add(1)
			_ = level.Info(lg).Log("event", "sent", "request", fmt.Sprint(at), "filler", strings.Repeat("x", 100))
		}
		Expect(kept(0, 900)).To(BeZero())
		Expect(kept(900, 1000)).To(BeNumerically(">=", 50))
		Expect(kept(950, 1000)).To(Equal(50))
	})

	// Guards against the failure that a client which sends many requests under one id has as much returned for each request for
	// their lines as the log keeps.
	It("returns the newest lines only about a request that has many", func() {
		var seconds atomic.Int64
		lg := yuccalog.New(newReader(), yuccalog.WithRecent(4<<20), yuccalog.WithClock(func() time.Time { return time.Unix(seconds.Load(), 0) }))
		defer lg.Close()
		for at := range 4000 {
			seconds.Add(1)
			_ = level.Info(lg).Log("event", "sent", "request", "same", "number", at, "filler", strings.Repeat("x", 200))
		}
		found := string(lg.Recent("same"))
		Expect(len(found)).To(BeNumerically("<=", 256<<10))
		Expect(found).To(ContainSubstring(`"number":3999,`))
		Expect(found).To(HavePrefix("{"))
	})

	It("accepts lines from several goroutines", func() {
		out := newReader()
		lg := yuccalog.New(out)
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				for range 50 {
					_ = level.Warn(lg).Log("event", "refused")
				}
			})
		}
		group.Wait()
		lg.Close()
		Expect(out.count("event", "refused")).To(Equal(400))
	})
})
