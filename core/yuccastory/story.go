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

// maxLineBytes bounds the length of a line. No process writes longer ones.
const maxLineBytes = 1 << 20

// changesBefore is the time before a request's first line from which state changes are included.
const changesBefore = 10 * time.Second

// Line is one line of a process's log.
type Line struct {
	At      time.Time
	VM      string
	Event   string
	Request string
	Fields  map[string]any
}

// Story is everything that the logs contain about one request.
type Story struct {
	Request string
	Lines   []Line
	// Changes are the state changes of the request's VMs, from shortly before it until its last line.
	Changes []Line
	// Omitted is the number of lines that those VMs left out of their logs in that time.
	Omitted int
}

// ErrUnknown means that no line names the request.
var ErrUnknown = errors.New("no line names the request: give the logs of all processes of that time")

// Read finds the lines about a request, and the state changes that may explain them.
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
	first, last := story.Lines[0].At.Add(-changesBefore), story.Lines[len(story.Lines)-1].At
	for _, line := range all {
		if !vms[line.VM] || line.At.Before(first) || line.At.After(last) {
			continue
		}
		switch line.Event {
		case "belief", "dependency", "started", "stopping", "reload":
			story.Changes = append(story.Changes, line)
		case "log":
			story.Omitted += omitted(line)
		}
	}
	return story, nil
}

// readLines returns all lines, ordered by time. Lines of the same time keep their order.
func readLines(from io.Reader) ([]Line, error) {
	var all []Line
	scanner := bufio.NewScanner(from)
	scanner.Buffer(make([]byte, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if line, ok := parse(scanner.Bytes()); ok {
			all = append(all, line)
		}
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	return all, scanner.Err()
}

// parse parses the JSON object at the end of a line.
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

// omitted returns the number of lines that a line reports as left out of its log.
func omitted(line Line) int {
	sum := 0
	for _, level := range []string{"debug", "info", "warn"} {
		sum += line.number(level)
	}
	return sum
}

// text returns a field as text, or the empty string if the line doesn't have it.
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

// number returns a field as a whole number, or zero if the line doesn't have it.
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

// String returns the story as text, with one line for each state change and decision.
func (story *Story) String() string {
	var out strings.Builder
	begin := story.Lines[0].At
	fmt.Fprintf(&out, "request %s\n", story.Request)
	if len(story.Changes) > 0 {
		out.WriteString("state changes of its VMs:\n")
	}
	for _, line := range story.Changes {
		fmt.Fprintf(&out, "  %s %-16s %s\n", offset(line.At.Sub(begin)), line.VM, sentence(&line))
	}
	out.WriteString("decisions on it:\n")
	for _, line := range story.Lines {
		fmt.Fprintf(&out, "  %s %-16s %s\n", offset(line.At.Sub(begin)), line.VM, sentence(&line))
	}
	if story.Omitted > 0 {
		fmt.Fprintf(&out, "these VMs left %d lines out of their logs in that time\n", story.Omitted)
	}
	fmt.Fprintf(&out, "outcome: %s\n", outcome(story.Lines))
	return out.String()
}

// offset formats the time between the request's first line and another one.
func offset(span time.Duration) string {
	return fmt.Sprintf("%+9.3fs", span.Seconds())
}
