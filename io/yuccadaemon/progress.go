package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapool"
	"yuccacleat/io/yuccawire"
)

// progressTo is a leader's pool, for which progress is collected until the next tick:
// a daemon's runs make many small steps, and a frame for each would cost more than
// the steps themselves.
type progressTo struct {
	leader yuccaid.Incarnation
	pool   yuccaid.Pool
}

// progress notes how far a run of this daemon has come.
func (d *Daemon) progress(now time.Time, r *run, progress yuccapool.Progress) {
	if progress.FirstToken {
		d.metrics.firstToken(r.claim.Tier, now.Sub(r.accepted))
	}
	r.answered = progress.Answered
	d.tellProgress(now, r, progress)
}

func (d *Daemon) tellProgress(now time.Time, r *run, progress yuccapool.Progress) {
	step := yuccawire.RunProgress{Ref: d.ref(r.id), FirstToken: progress.FirstToken, Answered: progress.Answered}
	switch {
	case r.leads(d):
		d.onProgress(now, r.claim.Pool, progress)
	case r.away != nil:
		_ = r.away.send(yuccawire.KindProgress, yuccawire.Progress{Pool: r.claim.Pool, Runs: []yuccawire.RunProgress{step}})
	case !r.leader.IsZero():
		to := progressTo{leader: r.leader, pool: r.claim.Pool}
		d.steps[to] = append(d.steps[to], step)
	}
}

// flushProgress sends what was collected, one message for each leader and pool.
func (d *Daemon) flushProgress() {
	for to, steps := range d.steps {
		_ = d.send(to.leader, yuccawire.KindProgress, yuccawire.Progress{Pool: to.pool, Runs: steps})
	}
	clear(d.steps)
}

func (d *Daemon) onRunProgress(now time.Time, from yuccaid.Incarnation, message yuccawire.Progress) {
	for _, step := range message.Runs {
		d.onProgress(now, message.Pool, yuccapool.Progress{
			ID: d.unref(from, step.Ref), FirstToken: step.FirstToken, Answered: step.Answered,
		})
	}
}
