package yuccalog_test

import (
	"bytes"
	"encoding/json"
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

// reader is a stream whose reader may have stopped reading.
type reader struct {
	mu    sync.Mutex
	text  bytes.Buffer
	going chan struct{}
}

func newReader() *reader {
	rd := &reader{going: make(chan struct{})}
	close(rd.going)
	return rd
}

func (rd *reader) Write(line []byte) (int, error) {
	<-rd.going
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

	// The process that collects the output hangs. Whoever decides on requests must go on as
	// if nothing had happened, and later the log says what is missing.
	It("never waits for a reader who has stopped, and says what it left out", func() {
		out := newReader()
		out.going = make(chan struct{})
		var seconds atomic.Int64
		lg := yuccalog.New(out, yuccalog.WithClock(func() time.Time { return time.Unix(seconds.Load(), 0) }))
		filler := strings.Repeat("x", 400)
		for range 300 {
			// A second passes for each ten lines, so that no rate is in the way.
			for range 10 {
				_ = level.Debug(lg).Log("event", "answered", "filler", filler)
			}
			seconds.Add(1)
		}
		_ = level.Warn(lg).Log("event", "refused")
		close(out.going)
		lg.Close()
		Expect(out.count("event", "refused")).To(Equal(1), "urgent lines find room beside the others")
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

	// Ten times the usual load comes within a moment. The lines on requests that went well
	// give way first.
	It("bounds the lines of each level and keeps the urgent ones", func() {
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

	It("takes lines from many goroutines", func() {
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
