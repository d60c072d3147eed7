package yuccalog

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// grade is a level as far as room and rates go.
type grade int

const (
	chat grade = iota
	plain
	urgent
	grades
)

var gradeNames = [grades]string{"debug", "info", "warn"}

// Log is a go-kit logger that writes JSON lines from a goroutine of its own.
type Log struct {
	now    func() time.Time
	room   [grades]int
	out    io.Writer
	fields []any

	mu      sync.Mutex
	queue   [][]byte
	bytes   int
	buckets [grades]bucket
	left    [grades]int
	stalled int
	told    time.Time
	closed  bool
	more    chan struct{}
	done    chan struct{}
}

// Option changes how a log is built.
type Option func(*Log)

// WithClock sets where the present time comes from.
func WithClock(now func() time.Time) Option {
	return func(lg *Log) { lg.now = now }
}

// WithFields sets fields of the lines that the log itself writes, such as whose log it is.
func WithFields(fields ...any) Option {
	return func(lg *Log) { lg.fields = fields }
}

// New starts a log that writes to a stream.
func New(out io.Writer, options ...Option) *Log {
	lg := &Log{
		now: time.Now, out: out,
		room: [grades]int{chat: chatBytes, plain: plainBytes, urgent: queueBytes},
		buckets: [grades]bucket{
			chat:   {rate: chatRate, burst: chatBurst, level: chatBurst},
			plain:  {rate: plainRate, burst: plainBurst, level: plainBurst},
			urgent: {rate: urgentRate, burst: urgentBurst, level: urgentBurst},
		},
		more: make(chan struct{}, 1), done: make(chan struct{}),
	}
	for _, option := range options {
		option(lg)
	}
	go lg.write()
	return lg
}

// Log takes one line. It never waits, and its error is always nil: a line that finds no
// room is counted.
func (lg *Log) Log(fields ...any) error {
	grade := gradeOf(fields)
	if !lg.admit(grade) {
		return nil
	}
	line, err := encode(fields)
	if err != nil {
		line, _ = encode([]any{"event", "log", "error", err.Error()})
	}
	lg.put(grade, line)
	return nil
}

// Close writes what waits, as long as somebody reads, and ends the log.
func (lg *Log) Close() {
	lg.mu.Lock()
	lg.closed = true
	lg.mu.Unlock()
	lg.wake()
	select {
	case <-lg.done:
	case <-time.After(farewell):
	}
}

func (lg *Log) admit(grade grade) bool {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	now := lg.now()
	if lg.closed || !lg.buckets[grade].take(now) {
		lg.left[grade]++
		return false
	}
	return true
}

func (lg *Log) put(grade grade, line []byte) {
	lg.mu.Lock()
	if lg.bytes+len(line) > lg.room[grade] {
		lg.left[grade]++
		lg.stalled++
	} else {
		lg.queue = append(lg.queue, line)
		lg.bytes += len(line)
	}
	lg.mu.Unlock()
	lg.wake()
}

func (lg *Log) wake() {
	select {
	case lg.more <- struct{}{}:
	default:
	}
}

// write hands lines to the stream, and alone waits for its reader.
func (lg *Log) write() {
	defer close(lg.done)
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		lines, closed := lg.next()
		for _, line := range lines {
			// A line that nobody takes is lost; the process goes on without its log.
			_, _ = lg.out.Write(line)
		}
		if closed {
			return
		}
		select {
		case <-lg.more:
		case <-ticker.C:
		}
	}
}

// next returns what waits, with a line on what was left out before it.
func (lg *Log) next() (lines [][]byte, closed bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	lines = lg.queue
	lg.queue, lg.bytes = nil, 0
	if tale := lg.tale(); tale != nil {
		lines = append(lines, tale)
	}
	return lines, lg.closed
}

func (lg *Log) tale() []byte {
	now := lg.now()
	if lg.left == [grades]int{} || !lg.closed && now.Sub(lg.told) < tellEvery {
		return nil
	}
	lg.told = now
	fields := append([]any{"at", now.UTC(), "event", "log", "what", "lines left out", "stalled", lg.stalled}, lg.fields...)
	for grade, count := range lg.left {
		fields = append(fields, gradeNames[grade], count)
	}
	lg.left, lg.stalled = [grades]int{}, 0
	line, err := encode(fields)
	if err != nil {
		return nil
	}
	return line
}

func encode(fields []any) ([]byte, error) {
	var line bytes.Buffer
	err := log.NewJSONLogger(&line).Log(fields...)
	return line.Bytes(), err
}

// gradeOf finds the level among a line's fields.
func gradeOf(fields []any) grade {
	for at := 0; at+1 < len(fields); at += 2 {
		if fields[at] != level.Key() {
			continue
		}
		switch fields[at+1] {
		case level.DebugValue():
			return chat
		case level.WarnValue(), level.ErrorValue():
			return urgent
		}
		return plain
	}
	return plain
}

// bucket lets so many lines through in a second.
type bucket struct {
	rate, burst, level float64
	filled             time.Time
}

func (bkt *bucket) take(now time.Time) bool {
	if !bkt.filled.IsZero() {
		bkt.level = min(bkt.level+bkt.rate*now.Sub(bkt.filled).Seconds(), bkt.burst)
	}
	bkt.filled = now
	if bkt.level < 1 {
		return false
	}
	bkt.level--
	return true
}
