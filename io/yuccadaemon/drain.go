package yuccadaemon

import (
	"context"
	"time"
)

const (
	drainPoll = 50 * time.Millisecond
	// outcomeWait is how long a draining daemon answers callers that have not fetched
	// their outcome: a caller whose connection broke comes back within seconds.
	outcomeWait = 5 * time.Second
)

// Drained says how a shutdown ended.
type Drained struct {
	// CutOff counts requests that were still open when the time was up.
	CutOff int
	// Undelivered counts outcomes that no caller fetched.
	Undelivered int
}

// Drain shuts down gracefully: nothing new is opened, leadership goes to others,
// what waits is granted or refused, and every running answer is finished. Only the
// context ends it sooner, and what that cut off is reported.
func (d *Daemon) Drain(ctx context.Context) Drained {
	d.draining.Store(true)
	d.control.Call(func(now time.Time) {
		d.audit.add(now, AuditEntry{Kind: AuditDraining, Number: d.State().Number})
		d.onChange(now, d.peers.Leave(now))
		d.refreshLeads(now)
		d.tellLeaders(now)
	})
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	quiet := time.Time{}
	for {
		left := d.left()
		if left.CutOff == 0 && quiet.IsZero() {
			quiet = time.Now()
		}
		if left.CutOff == 0 && (left.Undelivered == 0 || time.Since(quiet) > outcomeWait) {
			return left
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return left
		}
	}
}

func (d *Daemon) left() Drained {
	var left Drained
	d.control.Call(func(time.Time) {
		left = Drained{CutOff: len(d.runs), Undelivered: d.undelivered()}
	})
	return left
}
