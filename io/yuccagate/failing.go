package yuccagate

import (
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/io/yuccawire"
)

// castFailures tells the other data centres on which of a pool's targets several runs in a row have
// failed, and which of these serve again, if this daemon leads the pool.
func (gate *Gate) castFailures(sched *scheduler) {
	failures := sched.local.TakeFailures()
	if !sched.leads || len(failures) == 0 {
		return
	}
	list := make([]yuccawire.TargetLoad, 0, len(failures))
	for _, each := range failures {
		gate.log.stateChange("target failing", "pool", sched.pool, "target", each.Target, "failures", each.Failures)
		list = append(list, yuccawire.TargetLoad{Target: each.Target, Runs: each.Failures})
	}
	gate.cast(yuccawire.Cast{Topic: yuccawire.TopicFailures, Pool: sched.pool, Load: list})
}

// onCentreFailures handles a cast of failures from a leader in another data centre.
func (gate *Gate) onCentreFailures(now time.Time, message yuccawire.Cast) {
	sched := gate.scheduler(now, message.Pool)
	if !sched.leads {
		return
	}
	reports := make([]yuccagrant.TargetFailures, 0, len(message.Load))
	for _, each := range message.Load {
		reports = append(reports, yuccagrant.TargetFailures{Target: each.Target, Failures: each.Runs})
	}
	gate.apply(now, sched, sched.local.AddFailures(now, reports))
}
