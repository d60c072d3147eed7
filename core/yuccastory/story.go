package yuccastory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// longestLine bounds a line that is read; longer ones are no lines of ours.
const longestLine = 1 << 20

// believedFor is how long before a request's first line a belief still explains it.
const believedFor = 10 * time.Second

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	VM      string
	Event   string
	Request string
	Fields  map[string]any
	// order is the line's place in what was read, for lines of one time.
	order int
}

// Story is all that the logs tell of one request.
type Story struct {
	Request string
	Lines   []Line
	// Beliefs are what the request's VMs began to believe shortly before or while they had it.
	Beliefs []Line
	// LeftOut says how many lines those VMs left out of their logs meanwhile.
	LeftOut int
}

// ErrUnknown says that no line names the request.
var ErrUnknown = errors.New("no line names the request: give the logs of all processes of that time")

// Read finds the lines of a request and what explains them.
func Read(from io.Reader, request string) (*Story, error) {
	all, err := readLines(from)
	if err != nil {
		return nil, err
	}
	story := &Story{Request: request}
	vms := make(map[string]bool)
	for _, line := range all {
		if line.Request == request {
			story.Lines = append(story.Lines, line)
			vms[line.VM] = true
		}
	}
	if len(story.Lines) == 0 {
		return nil, ErrUnknown
	}
	first, last := story.Lines[0].At.Add(-believedFor), story.Lines[len(story.Lines)-1].At
	for _, line := range all {
		if !vms[line.VM] || line.At.Before(first) || line.At.After(last) {
			continue
		}
		switch line.Event {
		case "belief", "dependency", "started", "stopping", "reload":
			story.Beliefs = append(story.Beliefs, line)
		case "log":
			story.LeftOut += leftOut(line)
		}
	}
	return story, nil
}

func readLines(from io.Reader) ([]Line, error) {
	var all []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), longestLine)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			line.order = len(all)
			all = append(all, line)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all, scanner.Err()
}

// parse reads the JSON object at a line's end.
func parse(text []byte) (Line, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return Line{}, false
	}
	line := Line{}
	decoder := json.NewDecoder(bytes.NewReader(text[begin:]))
	decoder.UseNumber()
	if decoder.Decode(&line.Fields) != nil {
		return Line{}, false
	}
	line.VM, line.Event, line.Request = line.text("vm"), line.text("event"), line.text("request")
	at, err := time.Parse(time.RFC3339Nano, line.text("at"))
	line.At = at
	return line, err == nil && line.Event != ""
}

func leftOut(line Line) int {
	sum := 0
	for _, level := range []string{"debug", "info", "warn"} {
		sum += line.number(level)
	}
	return sum
}

// text returns a field as text, empty if the line has none.
func (line *Line) text(name string) string {
	value, found := line.Fields[name]
	if !found || value == nil {
		return ""
	}
	if text, ok := value.(string); ok {
		return text
	}
	raw, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return string(raw)
}

func (line *Line) number(name string) int {
	number, ok := line.Fields[name].(json.Number)
	if !ok {
		return 0
	}
	value, err := number.Float64()
	if err != nil {
		return 0
	}
	return int(value)
}

// String tells the story, one line for each decision.
func (story *Story) String() string {
	var out strings.Builder
	begin := story.Lines[0].At
	fmt.Fprintf(&out, "request %s\n", story.Request)
	if len(story.Beliefs) > 0 {
		out.WriteString("what its VMs came to believe:\n")
	}
	for _, line := range story.Beliefs {
		fmt.Fprintf(&out, "  %s %-16s %s\n", offset(line.At.Sub(begin)), line.VM, sentence(&line))
	}
	out.WriteString("what was decided on it:\n")
	for _, line := range story.Lines {
		fmt.Fprintf(&out, "  %s %-16s %s\n", offset(line.At.Sub(begin)), line.VM, sentence(&line))
	}
	if story.LeftOut > 0 {
		fmt.Fprintf(&out, "these VMs left %d lines out of their logs meanwhile\n", story.LeftOut)
	}
	fmt.Fprintf(&out, "outcome: %s\n", outcome(story.Lines))
	return out.String()
}

func offset(span time.Duration) string {
	return fmt.Sprintf("%+9.3fs", span.Seconds())
}
