package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run.
type record struct {
	mu        sync.Mutex
	file      *os.File
	out       *bufio.Writer
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), startedAt: time.Now()}, nil
}

// line writes one line with the time since the start.
func (rec *record) line(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	fmt.Fprintf(rec.out, "%8.3f  %s\n", time.Since(rec.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

func (rec *record) close() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = rec.out.Flush()
	_ = rec.file.Close()
}
