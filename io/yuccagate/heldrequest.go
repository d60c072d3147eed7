package yuccagate

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaquarantine"
)

const (
	// verdictPoll is the time between two looks whether a trait is held that is about to be, and maxVerdictWait the longest wait.
	verdictPoll    = 40 * time.Millisecond
	maxVerdictWait = 320 * time.Millisecond
)

// refuseHeld refuses the requests that wait for a target and have held traits.
func (gate *Gate) refuseHeld(now time.Time) {
	view := gate.quarantineView(now)
	for number, plc := range gate.placements {
		if plc.running {
			continue
		}
		held := gate.quarantine.known.Decide(now, view, plc.req.traits)
		if !held.Held {
			continue
		}
		gate.withdraw(now, gate.scheduler(now, plc.pool), plc)
		delete(gate.placements, number)
		plc.decision <- decision{problem: heldProblem(held)}
	}
}

// heldProblem returns the problem of a request that is held back.
func heldProblem(held yuccaquarantine.Decision) *Problem {
	return &Problem{
		Kind: KindHeld, Detail: fmt.Sprintf("%q, on which %d targets crashed", held.Traits, held.Crashes), RetryAfter: held.RetryAfter,
		logFields: []any{"parts", held.Traits, "crashes", held.Crashes},
	}
}

// checkHeld returns a problem if the request is held back because of its traits.
func (req *callerRequest) checkHeld() *Problem {
	_, prob := req.decideHeld(false)
	return prob
}

// beginTrial returns a problem if the request may not be sent now because of its traits. If it tries held
// traits, that is recorded, and the request isn't sent to a second target.
func (req *callerRequest) beginTrial() *Problem {
	dec, prob := req.decideHeld(true)
	if dec.Trial {
		req.trial = true
		req.logDecision("trial", "traits", dec.Traits)
	}
	return prob
}

// decideHeld decides on the request, once it is known whether its traits are held. Starts says whether it is sent now, so that
// a trial begins.
func (req *callerRequest) decideHeld(starts bool) (dec yuccaquarantine.Decision, prob *Problem) {
	gate := req.gate
	for waited := time.Duration(0); ; waited += verdictPoll {
		if len(req.traits) == 0 || !gate.quarantine.active.Load() {
			return yuccaquarantine.Decision{}, nil
		}
		gate.control.Call(func(now time.Time) {
			dec = gate.quarantine.known.Decide(now, gate.quarantineView(now), req.traits)
			if dec.Trial && starts {
				gate.quarantine.known.StartTrial(now, dec.Traits)
			}
		})
		switch {
		case dec.Held:
			return dec, heldProblem(dec)
		case !dec.Pending || waited >= maxVerdictWait:
			return dec, nil
		}
		time.Sleep(verdictPoll)
	}
}

// mayRunAgain reports whether its traits allow a request that has reached a target to be sent to another.
func (req *callerRequest) mayRunAgain() bool {
	if req.trial {
		return false
	}
	gate := req.gate
	if len(req.traits) == 0 || !gate.quarantine.active.Load() {
		return true
	}
	allowed := true
	gate.control.Call(func(now time.Time) { allowed = gate.quarantine.known.MayRepeat(now, req.traits) })
	return allowed
}
