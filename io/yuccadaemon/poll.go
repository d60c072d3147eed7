package yuccadaemon

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/core/yuccastate"
	"yuccacleat/io/yuccatarget"
)

const (
	// reportEvery spaces the reading of load reports; engines renew theirs no faster.
	reportEvery = time.Second
	// lookEvery spaces the looks at what a target has loaded. Loads take minutes, and
	// every look costs a call for each target of the pool.
	lookEvery = 3 * time.Second
	// reportTimeout bounds one reading.
	reportTimeout = 2 * time.Second
	// pollsAtOnce keeps one dead target from delaying the reports of the others.
	pollsAtOnce = 16
)

// poller reads the targets of one pool while this daemon leads it.
type poller struct {
	daemon  *Daemon
	pool    yuccaid.Pool
	targets map[yuccaid.Target]*polled
}

// polled is how far one target was read.
type polled struct {
	cursor uint64
	looked time.Time
}

func newPoller(d *Daemon, pool yuccaid.Pool) *poller {
	return &poller{daemon: d, pool: pool, targets: make(map[yuccaid.Target]*polled)}
}

func (poll *poller) run(ctx context.Context) {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		poll.round(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (poll *poller) round(ctx context.Context) {
	state := poll.daemon.State()
	var group errgroup.Group
	group.SetLimit(pollsAtOnce)
	for _, name := range poll.daemon.targetsOf(state, poll.pool) {
		far, known := poll.targets[name]
		if !known {
			far = &polled{}
			poll.targets[name] = far
		}
		group.Go(func() error {
			poll.read(ctx, name, state.Targets[name], far)
			return nil
		})
	}
	_ = group.Wait()
}

// read asks one target for its load, its cache events and what it has loaded. A
// target that doesn't answer is left to the progress of its runs to judge.
func (poll *poller) read(ctx context.Context, name yuccaid.Target, target yuccastate.Target, far *polled) {
	reading, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	d := poll.daemon
	load, err := d.targets.Load(reading, target.Address)
	if err != nil {
		d.metrics.reportErrors.Inc()
		return
	}
	d.control.Offer(func(now time.Time) { d.onLoad(now, poll.pool, name, load) })
	if target.Cache == 0 {
		return
	}
	if time.Since(far.looked) >= lookEvery {
		far.looked = time.Now()
		d.lookAt(reading, poll.pool, name, target)
	}
	events, err := d.targets.CacheEvents(reading, target.Address, far.cursor)
	if err != nil || len(events.Events) == 0 {
		return
	}
	far.cursor = events.Last(far.cursor)
	d.control.Offer(func(now time.Time) { d.onCache(now, poll.pool, name, events) })
}

func (d *Daemon) onLoad(now time.Time, pool yuccaid.Pool, name yuccaid.Target, load yuccatarget.Load) {
	if led, leads := d.leads[pool]; leads {
		d.apply(now, pool, led.leader.ApplyReport(now, yuccapool.LoadReport{
			Target: name, Age: load.Age(), Waiting: load.Waiting, Running: load.Running, Queued: load.Queued, Leaving: load.Leaving,
		}))
	}
}

func (d *Daemon) onCache(now time.Time, pool yuccaid.Pool, name yuccaid.Target, events yuccatarget.CacheEvents) {
	led, leads := d.leads[pool]
	if !leads {
		return
	}
	gap := events.Gap
	for _, event := range events.Events {
		led.leader.ApplyCacheEvent(now, yuccapool.CacheEvent{Target: name, Stored: event.Stored, Evicted: event.Evicted, EventsLost: gap})
		gap = false
	}
}
