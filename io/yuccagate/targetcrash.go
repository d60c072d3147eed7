package yuccagate

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/io/yuccahop"
)

const (
	// soundAfter is how long after its first event a run has to go on to clear the parts of its prompt.
	soundAfter = 250 * time.Millisecond
	// soundInterval is the time after which a run that goes on clears them again.
	soundInterval = time.Second
	// targetCheckTimeout bounds the connection that shows whether a target still listens, and targetCheckInterval is the
	// time between two of them.
	targetCheckTimeout  = 400 * time.Millisecond
	targetCheckInterval = 300 * time.Millisecond
	// listenerCloseWait is the time that a process which crashes may take from the end of a connection to that of its listener.
	listenerCloseWait = 100 * time.Millisecond
)

// process returns the process of the target to which an attempt was sent.
func (att *attempt) process() yuccaquarantine.Process {
	return yuccaquarantine.Process{Target: att.dec.target, StartMillis: att.dec.startMillis}
}

// recordRunEnd records what the end of an attempt tells about its target and its traits.
func (req *callerRequest) recordRunEnd(att *attempt, outcome yuccagrant.Outcome, events int) {
	if att.endRecorded {
		return
	}
	att.endRecorded = true
	gate, process := req.gate, att.process()
	switch outcome {
	case yuccagrant.Unreachable:
		if errors.Is(att.err, syscall.ECONNREFUSED) {
			gate.control.Post(func(now time.Time) { gate.targetCrashed(now, process) })
		}
	case yuccagrant.Lost, yuccagrant.Broken:
		req.recordBroken(att, false)
	case yuccagrant.Served:
		// A target that crashes ends such a response in the same way as one that has completed it.
		if att.answer.Framing() == yuccahop.FramedByClose {
			req.recordBroken(att, true)
		} else if events > 0 || !att.isStream() && att.answer.Status < http.StatusMultipleChoices {
			req.postSound(req.traits)
		}
	}
}

// partTraits returns those of the request's traits that a run of it clears by going on for soundAfter. Its content may crash a target at
// any time before the run's end.
func (req *callerRequest) partTraits() []yuccaquarantine.Trait {
	return req.traits[:len(req.info.SharedParts)]
}

// recordBroken records that a run has broken off. If that isn't certain, the run may also be whole.
func (req *callerRequest) recordBroken(att *attempt, mayBeWhole bool) {
	gate, process, address := req.gate, att.process(), att.dec.address
	traits := req.traits
	if !att.soundAt.IsZero() {
		// It was going well until now.
		req.postSound(req.partTraits())
		traits = traits[len(req.partTraits()):]
	}
	gate.control.Post(func(now time.Time) { gate.runBroke(now, process, address, traits, mayBeWhole) })
}

// recordSound records that a run that came so far that the parts of its prompt can't be why targets crash still goes on.
func (req *callerRequest) recordSound(now time.Time, att *attempt) {
	if now.Sub(att.soundAt) < soundInterval || len(req.partTraits()) == 0 {
		return
	}
	att.soundAt = now
	req.postSound(req.partTraits())
}

// postSound has the control goroutine record that traits of the request are sound.
func (req *callerRequest) postSound(traits []yuccaquarantine.Trait) {
	gate := req.gate
	gate.control.Post(func(now time.Time) { gate.quarantine.known.RecordSound(now, traits) })
}

// runBroke records that a run of a process broke off, and finds out whether the process has crashed. A target that leaves
// may end its runs. If the run may be whole, it is if its process goes on.
func (gate *Gate) runBroke(now time.Time, process yuccaquarantine.Process, address string, traits []yuccaquarantine.Trait, mayBeWhole bool) {
	entry, found := gate.roster.Find(process.Target)
	if !found || entry.Leaving {
		return
	}
	if crash, late := gate.quarantine.runs.Break(now, process, traits); late {
		gate.quarantine.known.RecordCrash(now, crash)
		return
	}
	if entry.StartMillis != process.StartMillis {
		gate.targetCrashed(now, process)
		return
	}
	if now.Sub(gate.quarantine.checkedAt[process]) < targetCheckInterval {
		return
	}
	gate.quarantine.checkedAt[process] = now
	gate.workers.Go(func() {
		if mayBeWhole {
			time.Sleep(listenerCloseWait)
		}
		refuses, accepts := checkListener(address)
		gate.control.Post(func(now time.Time) {
			switch {
			case refuses:
				gate.targetCrashed(now, process)
			case accepts && mayBeWhole:
				gate.quarantine.known.RecordSound(now, traits)
			}
		})
	})
}

// checkListener reports whether an address refuses a connection or accepts one. If it does neither, that isn't known.
func checkListener(address string) (refuses, accepts bool) {
	conn, err := net.DialTimeout("tcp", address, targetCheckTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED), false
	}
	conn.Close()
	return false, true
}

// targetCrashed records that a process has crashed, if any of its runs broke off lately.
func (gate *Gate) targetCrashed(now time.Time, process yuccaquarantine.Process) {
	crash, isNew := gate.quarantine.runs.Crashed(now, process)
	if !isNew {
		return
	}
	gate.metrics.targetCrashed()
	gate.log.stateChange("target crashed", "target", process.Target, "started", process.StartMillis, "suspects", crash.Traits)
	gate.quarantine.known.RecordCrash(now, crash)
}

// findCrashedTargets looks for processes of which runs broke off and whose registration is gone or is another one's.
func (gate *Gate) findCrashedTargets(now time.Time) {
	for _, process := range gate.quarantine.runs.Processes() {
		if entry, found := gate.roster.Find(process.Target); !found || entry.StartMillis != process.StartMillis {
			gate.targetCrashed(now, process)
		}
	}
}
