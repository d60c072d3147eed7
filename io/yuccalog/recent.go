package yuccalog

import (
	"bytes"
	"fmt"
)

// RequestKey is the key of the field that names the request a line is about.
const RequestKey = "request"

// recentLines holds the last lines about requests, up to a bound on their size.
type recentLines struct {
	bound int
	size  int
	lines []recentLine
}

// recentLine is a line about one request.
type recentLine struct {
	request string
	line    []byte
}

// requestOf returns the request that a line with the given fields is about, empty if there is none.
func requestOf(fields []any) string {
	for at := 0; at+1 < len(fields); at += 2 {
		if fields[at] == RequestKey {
			return fmt.Sprint(fields[at+1])
		}
	}
	return ""
}

// add adds a line, and drops the oldest ones beyond the bound.
func (rec *recentLines) add(request string, line []byte) {
	if rec.bound == 0 || request == "" {
		return
	}
	rec.lines = append(rec.lines, recentLine{request: request, line: line})
	rec.size += lineSize(request, line)
	for rec.size > rec.bound {
		oldest := rec.lines[0]
		rec.size -= lineSize(oldest.request, oldest.line)
		rec.lines[0] = recentLine{}
		rec.lines = rec.lines[1:]
	}
}

// maxFoundBytes bounds the lines that are returned about one request: clients may send any number of requests under one id,
// and ask for their lines on many connections without reading them.
const maxFoundBytes = 256 << 10

// recentLineOverhead is the memory in bytes that a line takes besides its text and its request.
const recentLineOverhead = 64

func lineSize(request string, line []byte) int { return len(request) + len(line) + recentLineOverhead }

// of returns the newest lines about one request, up to maxFoundBytes of them, the oldest first.
func (rec *recentLines) of(request string) []byte {
	from, size := len(rec.lines), 0
	for at := len(rec.lines) - 1; at >= 0; at-- {
		if rec.lines[at].request != request {
			continue
		}
		size += len(rec.lines[at].line)
		if size > maxFoundBytes {
			break
		}
		from = at
	}
	var found bytes.Buffer
	for _, each := range rec.lines[from:] {
		if each.request == request {
			found.Write(each.line)
		}
	}
	return found.Bytes()
}
