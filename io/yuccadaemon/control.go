package yuccadaemon

import (
	"sync/atomic"
	"time"
)

const (
	// queuedEvents bounds what waits for the control goroutine. At 13 requests a
	// second a daemon makes some 100 events a second, so a full queue means seconds
	// of delay: control is stuck, and more events would only hide it.
	queuedEvents = 8192
	// tickEvery is how often deadlines, heartbeats and leadership are looked at.
	tickEvery = 50 * time.Millisecond
)

// event is one piece of control work.
type event struct {
	posted time.Time
	do     func(now time.Time)
}

// control runs all control work on one goroutine, in the order it was posted.
type control struct {
	events chan event
	closed chan struct{}
	done   chan struct{}
	// oldest is the age of the last event taken, in nanoseconds. It grows before
	// callers notice that control can't keep up.
	oldest  atomic.Int64
	dropped atomic.Int64
}

// newControl starts the goroutine, which waits until everything that control works
// with is built; tick runs between events.
func newControl(ready <-chan struct{}, tick func(now time.Time)) *control {
	ctl := &control{
		events: make(chan event, queuedEvents),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go func() {
		defer close(ctl.done)
		<-ready
		ctl.loop(tick)
	}()
	return ctl
}

func (ctl *control) loop(tick func(now time.Time)) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case ev := <-ctl.events:
			now := time.Now()
			// A process that was frozen must look at the gap before it acts on
			// anything that was queued: its grants and its view may be long past.
			if now.Sub(last) > 2*tickEvery {
				tick(now)
				last = now
			}
			ctl.oldest.Store(int64(now.Sub(ev.posted)))
			ev.do(now)
		case <-ticker.C:
			now := time.Now()
			tick(now)
			last = now
		case <-ctl.closed:
			return
		}
	}
}

// post queues work and waits for room, but not for the work.
func (ctl *control) post(do func(now time.Time)) {
	select {
	case ctl.events <- event{posted: time.Now(), do: do}:
	case <-ctl.done:
	}
}

// offer queues work that may be lost when control is behind, such as progress.
func (ctl *control) offer(do func(now time.Time)) {
	select {
	case ctl.events <- event{posted: time.Now(), do: do}:
	default:
		ctl.dropped.Add(1)
	}
}

// call queues work and waits until it is done; it reports false after close.
func (ctl *control) call(do func(now time.Time)) bool {
	finished := make(chan struct{})
	ctl.post(func(now time.Time) {
		defer close(finished)
		do(now)
	})
	select {
	case <-finished:
		return true
	case <-ctl.done:
		return false
	}
}

func (ctl *control) close() {
	close(ctl.closed)
	<-ctl.done
}
