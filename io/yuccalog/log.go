package yuccalog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
)

// Log is a go-kit logger that writes JSON lines from a goroutine of its own.
type Log struct {
	now    func() time.Time
	out    io.Writer
	fields []any

	mu     sync.Mutex
	queue  [][]byte
	size   int
	limits [levelCount]levelLimit
	recent recentLines
	// omittedByQueue counts the lines that were left out since the last report because the queue was
	// full, and reportedAt is the time of that report.
	omittedByQueue int
	reportedAt     time.Time
	closed         bool
	wakeUps        chan struct{}
	done           chan struct{}
}

// Option changes how a log is built.
type Option func(*Log)

// WithClock sets the function that returns the present time.
func WithClock(now func() time.Time) Option {
	return func(lg *Log) { lg.now = now }
}

// WithFields sets fields of the lines that the log itself writes.
func WithFields(fields ...any) Option {
	return func(lg *Log) { lg.fields = fields }
}

// WithRecent makes the log keep its last lines about requests, up to about the given number of bytes.
func WithRecent(bound int) Option {
	return func(lg *Log) { lg.recent.bound = bound }
}

// New starts a log that writes to a stream.
func New(out io.Writer, options ...Option) *Log {
	lg := &Log{
		now: time.Now, out: out, limits: newLevelLimits(),
		wakeUps: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, option := range options {
		option(lg)
	}
	go lg.write()
	return lg
}

// Log adds one line. It never blocks, and its error is always nil: a line beyond the limits is left
// out and counted.
func (lg *Log) Log(fields ...any) error {
	lineLevel := levelOf(fields)
	if !lg.admit(lineLevel) {
		return nil
	}
	line, err := encode(fields)
	if err != nil {
		line, _ = encode([]any{"event", "log", "error", err.Error()})
	}
	lg.put(lineLevel, requestOf(fields), line)
	return nil
}

// Recent returns the last lines about a request, the oldest first, as far as the log still has them.
func (lg *Log) Recent(request string) []byte {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	return lg.recent.of(request)
}

// Close writes the lines that wait, as long as somebody reads them, and stops the log.
func (lg *Log) Close() {
	lg.mu.Lock()
	lg.closed = true
	lg.mu.Unlock()
	lg.wake()
	select {
	case <-lg.done:
	case <-time.After(closeTimeout):
	}
}

func (lg *Log) admit(lineLevel lineLevel) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	limit := &lg.limits[lineLevel]
	if lg.closed || !limit.allows(lg.now()) {
		limit.omitted++
		return false
	}
	return true
}

func (lg *Log) put(lineLevel lineLevel, request string, line []byte) {
	lg.mu.Lock()
	lg.recent.add(request, line)
	limit := &lg.limits[lineLevel]
	if lg.size+len(line) > limit.queueBytes {
		limit.omitted++
		lg.omittedByQueue++
	} else {
		lg.queue = append(lg.queue, line)
		lg.size += len(line)
	}
	lg.mu.Unlock()
	lg.wake()
}

func (lg *Log) wake() {
	select {
	case lg.wakeUps <- struct{}{}:
	default:
	}
}

// write writes lines to the stream. It is the only function that waits for the stream's reader.
func (lg *Log) write() {
	defer close(lg.done)
	ticker := time.NewTicker(omissionInterval)
	defer ticker.Stop()
	for {
		lines, closed := lg.takeQueue()
		for _, line := range lines {
			// The process continues without its log if the stream fails.
			_, _ = lg.out.Write(line)
		}
		if closed {
			return
		}
		select {
		case <-lg.wakeUps:
		case <-ticker.C:
		}
	}
}

// takeQueue returns the lines that wait, followed by a report of the lines that were left out.
func (lg *Log) takeQueue() (lines [][]byte, closed bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lines = lg.queue
	lg.queue, lg.size = nil, 0
	if report := lg.reportOmitted(); report != nil {
		lines = append(lines, report)
	}
	return lines, lg.closed
}

// reportOmitted returns a line that reports how many lines were left out since the last report, or
// nil if none were or the last report is too recent.
func (lg *Log) reportOmitted() []byte {
	now := lg.now()
	if !lg.hasOmitted() || !lg.closed && now.Sub(lg.reportedAt) < omissionInterval {
		return nil
	}
	lg.reportedAt = now
	fields := append([]any{"at", now.UTC(), "event", "log", "what", "lines left out", "stalled", lg.omittedByQueue}, lg.fields...)
	for at := range lg.limits {
		fields = append(fields, levelNames[at], lg.limits[at].omitted)
		lg.limits[at].omitted = 0
	}
	lg.omittedByQueue = 0
	line, err := encode(fields)
	if err != nil {
		return nil
	}
	return line
}

func (lg *Log) hasOmitted() bool {
	for at := range lg.limits {
		if lg.limits[at].omitted > 0 {
			return true
		}
	}
	return false
}

func encode(fields []any) ([]byte, error) {
	var line bytes.Buffer
	err := log.NewJSONLogger(&line).Log(fields...)
	return line.Bytes(), err
}
