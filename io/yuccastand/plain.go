package yuccastand

import (
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"yuccacleat/io/yuccatarget"
)

// Defaults of a plain service.
const (
	DefaultPlainSlots = 4
	DefaultWork       = 20 * time.Millisecond
)

// PlainOption changes a plain service before it starts.
type PlainOption func(*Plain)

// WithWork sets how long each call takes.
func WithWork(work time.Duration) PlainOption {
	return func(plain *Plain) { plain.work = work }
}

// WithPlainSlots sets how many calls run at once.
func WithPlainSlots(slots int) PlainOption {
	return func(plain *Plain) { plain.free = make(chan struct{}, slots) }
}

// WithPlainFaults sets the faults that the service starts with.
func WithPlainFaults(faults Faults) PlainOption {
	return func(plain *Plain) { plain.SetFaults(faults) }
}

// Plain stands in for a plain service, some of whose calls may not be repeated: each
// call that it takes has its effect, whether or not anybody waits for the answer.
type Plain struct {
	*backend
	work time.Duration
	free chan struct{}
}

// NewPlain starts a plain service on the listener.
func NewPlain(listener net.Listener, options ...PlainOption) *Plain {
	plain := &Plain{
		backend: newBackend(listener),
		work:    DefaultWork,
		free:    make(chan struct{}, DefaultPlainSlots),
	}
	for _, option := range options {
		option(plain)
	}
	data := plain.router.Group("", plain.gate)
	data.POST(yuccatarget.CallPath+"/:operation", plain.serveCall)
	data.GET(yuccatarget.LoadPath, plain.serveLoad)
	plain.start()
	return plain
}

func (plain *Plain) serveCall(c echo.Context) error {
	id := c.Request().Header.Get(yuccatarget.HeaderRequest)
	if over, err := plain.refused(c, id); over {
		return err
	}
	entry := plain.runs.add(Run{ID: id, Operation: c.Param("operation"), Fence: fenceOf(c)})
	if !plain.perform() {
		return hangUp(c)
	}
	plain.runs.finish(entry, func(run *Run) {
		run.Pieces = 1
		run.AnswerHash = AnswerHash(id, 1)
	})
	if status := plain.Faults().Status; status != 0 {
		return c.NoContent(status)
	}
	out := plain.newStream(c, id, true)
	if err := out.piece(0, 0, true); err != nil {
		return streamError(err)
	}
	return streamError(out.end(yuccatarget.Line{Pieces: 1}))
}

// perform takes the time that the call's work takes; it reports false if the service
// closes meanwhile.
func (plain *Plain) perform() bool {
	select {
	case plain.free <- struct{}{}:
	case <-plain.done:
		return false
	}
	defer func() { <-plain.free }()
	work := time.Duration(float64(plain.work) * plain.Faults().slow())
	select {
	case <-time.After(work):
		return true
	case <-plain.done:
		return false
	}
}

func (plain *Plain) serveLoad(c echo.Context) error {
	running := 0
	for _, run := range plain.Runs() {
		if !run.Done() {
			running++
		}
	}
	busy := len(plain.free)
	load := yuccatarget.Load{Waiting: max(running-busy, 0), Running: busy, Leaving: plain.Faults().Leaving}
	return c.JSON(http.StatusOK, load)
}
