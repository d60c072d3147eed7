package yuccadaemon

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccapeer"
	"yuccacleat/core/yuccapool"
)

// Status is what `yuccacleat status` prints of one daemon.
type Status struct {
	VM          yuccaid.VM                        `json:"vm"`
	Centre      yuccaid.Centre                    `json:"centre"`
	Incarnation string                            `json:"incarnation"`
	Ready       bool                              `json:"ready"`
	Leaving     bool                              `json:"leaving"`
	Number      yuccaid.ConfigNumber              `json:"number"`
	Digest      yuccaid.Digest                    `json:"digest"`
	Peers       []yuccapeer.Member                `json:"peers"`
	Leads       map[yuccaid.Pool]yuccapool.Status `json:"leads"`
	Waiting     map[yuccaid.Tier]int              `json:"waiting"`
	Running     map[yuccaid.Tier]int              `json:"running"`
	// Minority says that this daemon sees at most half of its data centre's daemons and
	// uses only its share of the targets.
	Minority    bool `json:"minority"`
	Undelivered int  `json:"undelivered"`
}

// Status returns a picture of the daemon's roles at one moment.
func (d *Daemon) Status() Status {
	state := d.State()
	status := Status{
		VM: d.self.VM, Centre: d.self.Centre, Incarnation: d.self.Incarnation.String(),
		Ready: d.Ready(), Leaving: d.draining.Load(), Number: state.Number, Digest: state.Digest(),
		Leads:   make(map[yuccaid.Pool]yuccapool.Status),
		Waiting: make(map[yuccaid.Tier]int),
		Running: make(map[yuccaid.Tier]int),
	}
	d.control.Call(func(now time.Time) { d.fill(now, &status) })
	return status
}

func (d *Daemon) fill(now time.Time, status *Status) {
	status.Peers = d.peers.Live(d.self.Centre)
	status.Minority = !d.peers.TargetShare().Whole()
	status.Undelivered = d.undelivered()
	for pool, led := range d.leads {
		status.Leads[pool] = led.leader.Status(now)
	}
	for _, r := range d.runs {
		if r.running {
			status.Running[r.claim.Tier]++
			continue
		}
		status.Waiting[r.claim.Tier]++
	}
}

// Audit returns the changes that this daemon has seen, oldest first.
func (d *Daemon) Audit() []AuditEntry {
	return d.audit.list()
}
