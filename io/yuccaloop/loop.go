package yuccaloop

import (
	"sync/atomic"
	"time"
)

// queuedEvents bounds what waits for the control goroutine. At 13 requests a second a
// daemon makes some 100 events a second, so a full queue means seconds of delay: control
// is stuck, and more events would only hide it.
const queuedEvents = 8192

// event is one piece of control work.
type event struct {
	posted time.Time
	do     func(now time.Time)
}

// Loop is one control goroutine with its queue.
type Loop struct {
	events chan event
	closed chan struct{}
	done   chan struct{}
	every  time.Duration
	// oldest is the age of the last event taken, in nanoseconds. It grows before
	// callers notice that control can't keep up.
	oldest  atomic.Int64
	dropped atomic.Int64
}

// New starts the goroutine, which waits until everything that control works with is
// built; tick runs every so often between events, and first after a pause.
func New(ready <-chan struct{}, every time.Duration, tick func(now time.Time)) *Loop {
	ctl := &Loop{
		events: make(chan event, queuedEvents),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
		every:  every,
	}
	go func() {
		defer close(ctl.done)
		<-ready
		ctl.run(tick)
	}()
	return ctl
}

func (ctl *Loop) run(tick func(now time.Time)) {
	ticker := time.NewTicker(ctl.every)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case ev := <-ctl.events:
			now := time.Now()
			// A process that was frozen must look at the gap before it acts on
			// anything that was queued: its grants and its view may be long past.
			if now.Sub(last) > 2*ctl.every {
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

// Post queues work and waits for room, but not for the work.
func (ctl *Loop) Post(do func(now time.Time)) {
	select {
	case ctl.events <- event{posted: time.Now(), do: do}:
	case <-ctl.done:
	}
}

// Offer queues work that may be lost when control is behind, such as progress.
func (ctl *Loop) Offer(do func(now time.Time)) {
	select {
	case ctl.events <- event{posted: time.Now(), do: do}:
	default:
		ctl.dropped.Add(1)
	}
}

// Call queues work and waits until it is done; it reports false after Close.
func (ctl *Loop) Call(do func(now time.Time)) bool {
	finished := make(chan struct{})
	ctl.Post(func(now time.Time) {
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

// Oldest returns how long the last piece of work had waited.
func (ctl *Loop) Oldest() time.Duration { return time.Duration(ctl.oldest.Load()) }

// Dropped returns how much offered work found no room.
func (ctl *Loop) Dropped() int64 { return ctl.dropped.Load() }

// Close ends the goroutine after the work in hand.
func (ctl *Loop) Close() {
	close(ctl.closed)
	<-ctl.done
}
