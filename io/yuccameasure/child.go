package yuccameasure

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Programs are the paths of the programs that are measured.
type Programs struct {
	Daemon string
	Stand  string
}

// child is one process that this run started.
type child struct {
	cmd  *exec.Cmd
	line []byte
	done chan struct{}
}

// startChild runs a program and reads the line in which it tells its addresses.
func startChild(program string, args ...string) (*child, error) {
	chd := &child{cmd: exec.Command(program, args...), done: make(chan struct{})}
	out, err := chd.cmd.StdoutPipe()
	if err != nil {
		return nil, eris.Wrap(err, "opening a child's output")
	}
	if err := chd.cmd.Start(); err != nil {
		return nil, eris.Wrapf(err, "starting %s: build it first", program)
	}
	lines := bufio.NewReader(out)
	chd.line, err = lines.ReadBytes('\n')
	go func() {
		// Its log isn't needed, but has to be read, or the last lines would hold up its end.
		_, _ = io.Copy(io.Discard, lines)
		_ = chd.cmd.Wait()
		close(chd.done)
	}()
	if err != nil {
		chd.end()
		return nil, eris.Wrapf(err, "%s %v told no address", program, args)
	}
	return chd, nil
}

// signal asks the process to end.
func (chd *child) signal() {
	_ = chd.cmd.Process.Signal(syscall.SIGTERM)
}

// end asks the process to end and kills it if it doesn't.
func (chd *child) end() {
	chd.signal()
	select {
	case <-chd.done:
	case <-time.After(endLimit):
		_ = chd.cmd.Process.Kill()
		<-chd.done
	}
}

// usage is what a process has used.
type usage struct {
	Processor time.Duration
	Resident  int64
}

// usage reads the process's own times and resident memory.
func (chd *child) usage() (usage, error) {
	return usageOf("/proc/" + strconv.Itoa(chd.cmd.Process.Pid))
}

func usageOf(dir string) (usage, error) {
	raw, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return usage{}, eris.Wrap(err, "reading a process's times")
	}
	ticks, pages, err := parseStat(string(raw))
	return usage{
		Processor: time.Duration(ticks) * time.Second / ticksPerSecond,
		Resident:  pages * int64(os.Getpagesize()),
	}, err
}

// Fields of /proc/PID/stat after the command's name, counted from the state.
const (
	userField     = 11
	systemField   = 12
	residentField = 21
)

// parseStat skips the command's name, which may hold blanks and brackets.
func parseStat(line string) (ticks, pages int64, err error) {
	_, rest, found := cutLast(line, ")")
	fields := strings.Fields(rest)
	if !found || len(fields) <= residentField {
		return 0, 0, eris.New("a process's stat line is too short: only Linux is measured")
	}
	for _, field := range []int{userField, systemField} {
		part, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, 0, eris.Wrap(err, "reading a process's times")
		}
		ticks += part
	}
	pages, err = strconv.ParseInt(fields[residentField], 10, 64)
	return ticks, pages, eris.Wrap(err, "reading a process's memory")
}

func cutLast(text, mark string) (before, after string, found bool) {
	at := strings.LastIndex(text, mark)
	if at < 0 {
		return text, "", false
	}
	return text[:at], text[at+len(mark):], true
}

// told decodes the line of addresses.
func (chd *child) told(into any) error {
	return eris.Wrap(json.Unmarshal(chd.line, into), "reading a child's addresses")
}

// LoadAverage returns how many processes wanted a processor over the last minute.
func LoadAverage() float64 {
	raw, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(raw), " ")
	load, _ := strconv.ParseFloat(first, 64)
	return load
}
