package yuccagate

import (
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"yuccacleat/core/yuccagrant"
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaquarantine"
	"yuccacleat/io/yuccahop"
	"yuccacleat/io/yuccawire"
)

const (
	// soundAfter is how long after its first event a run has to go on to clear the parts of its prompt.
	soundAfter = 250 * time.Millisecond
	// targetCheckTimeout bounds the connection that shows whether a target still listens, and targetCheckInterval is the
	// time between two of them.
	targetCheckTimeout  = 400 * time.Millisecond
	targetCheckInterval = 300 * time.Millisecond
	// listenerCloseWait is the time that a process which crashes may take from the end of a connection to that of its listener.
	listenerCloseWait = 100 * time.Millisecond
	// verdictPoll is the time between two looks whether a part is held that is about to be, and maxVerdictWait the longest wait.
	verdictPoll    = 40 * time.Millisecond
	maxVerdictWait = 320 * time.Millisecond
	// experiencedAfter is the time since its start after which a daemon counts as knowing of earlier crashes.
	experiencedAfter = 2 * time.Minute
	// quarantineSyncInterval is the time between two messages in which a daemon with held parts tells one peer of all of them.
	quarantineSyncInterval = 2 * time.Second
	// quarantineExpiryInterval is the time between two searches for runs and checks that are too old to matter.
	quarantineExpiryInterval = time.Second
)

// quarantine is what this daemon knows of targets that crash and of the parts of prompts that are held back for it. Apart
// from active, it belongs to the control goroutine.
type quarantine struct {
	known *yuccaquarantine.Quarantine
	// runs are the runs that broke off, and checkedAt when the targets of some were last checked.
	runs      yuccaquarantine.Runs
	checkedAt map[yuccaquarantine.Process]time.Time
	// experienced reports whether this daemon knows of earlier crashes, or a daemon that does has told it.
	experienced bool
	// held are the parts that are held.
	held                []yuccaid.PromptPart
	syncedAt, expiredAt time.Time
	// active reports whether requests have to be checked, because parts are held or about to be.
	active atomic.Bool
}

func newQuarantine(settings Settings) *quarantine {
	return &quarantine{
		known: yuccaquarantine.New(settings.VM), checkedAt: make(map[yuccaquarantine.Process]time.Time), experienced: settings.FirstStart,
	}
}

// process returns the process of the target to which an attempt was sent.
func (att *attempt) process() yuccaquarantine.Process {
	return yuccaquarantine.Process{Target: att.dec.target, StartMillis: att.dec.startMillis}
}

// recordRunEnd records what the end of an attempt tells about its target and the parts of its prompt.
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
			req.recordSound(att)
		}
	}
}

// recordBroken records that a run has broken off. If that isn't certain, the run may also be whole.
func (req *callerRequest) recordBroken(att *attempt, mayBeWhole bool) {
	gate, process, address := req.gate, att.process(), att.dec.address
	var parts []yuccaid.PromptPart
	if !att.sound {
		parts = req.info.SharedParts
	}
	gate.control.Post(func(now time.Time) { gate.runBroke(now, process, address, parts, mayBeWhole) })
}

// recordSound records that a run came so far that the parts of its prompt can't be why targets crash.
func (req *callerRequest) recordSound(att *attempt) {
	if att.sound || len(req.info.SharedParts) == 0 {
		return
	}
	att.sound = true
	gate, parts := req.gate, req.info.SharedParts
	gate.control.Post(func(now time.Time) { gate.quarantine.known.RecordSound(now, parts) })
}

// runBroke records that a run of a process broke off, and finds out whether the process has crashed. A target that leaves
// may end its runs. If the run may be whole, it is if its process goes on.
func (gate *Gate) runBroke(now time.Time, process yuccaquarantine.Process, address string, parts []yuccaid.PromptPart, mayBeWhole bool) {
	entry, found := gate.roster.Find(process.Target)
	if !found || entry.Leaving {
		return
	}
	if crash, late := gate.quarantine.runs.Break(now, process, parts); late {
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
				gate.quarantine.known.RecordSound(now, parts)
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
	gate.log.stateChange("target crashed", "target", process.Target, "started", process.StartMillis, "suspects", crash.Parts)
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

// tickQuarantine decides what is held, and tells other daemons what they need to know.
func (gate *Gate) tickQuarantine(now time.Time) {
	qua := gate.quarantine
	qua.experienced = qua.experienced || now.Sub(gate.startedAt) >= experiencedAfter
	if now.Sub(qua.expiredAt) >= quarantineExpiryInterval {
		qua.expiredAt = now
		qua.runs.Expire(now)
		for process, at := range qua.checkedAt {
			if now.Sub(at) >= targetCheckInterval {
				delete(qua.checkedAt, process)
			}
		}
	}
	news := qua.known.Tick(now, gate.quarantineView(now))
	if !news.IsEmpty() {
		gate.tellQuarantine(gate.wireQuarantine(now, news), true, true)
	}
	qua.active.Store(qua.known.IsActive(now))
	if held := qua.known.Held(); !slices.Equal(held, qua.held) {
		gate.log.stateChange("parts held", "parts", held, "before", qua.held)
		qua.held = held
		gate.metrics.setHeldParts(len(held))
		gate.refuseHeld(now)
	}
	if linked := gate.hub.Linked(); len(qua.held) > 0 && len(linked) > 0 && now.Sub(qua.syncedAt) >= quarantineSyncInterval {
		qua.syncedAt = now
		gate.sendQuarantine(now, linked[mathrand.IntN(len(linked))].Incarnation)
	}
}

// quarantineView returns what this daemon sees of its fleet: the whole if it sees all data centres, and most daemons of its own.
func (gate *Gate) quarantineView(now time.Time) yuccaquarantine.View {
	view := yuccaquarantine.View{Whole: true, Experienced: gate.quarantine.experienced}
	for _, centre := range gate.remoteCentres {
		if now.Sub(centre.receivedAt) >= centreFreshFor {
			view.Whole = false
		}
	}
	if 2*len(gate.peers.Live(gate.settings.Centre)) <= len(gate.peers.Candidates(gate.settings.Centre)) {
		view.Whole = false
	}
	return view
}

// wireQuarantine returns the message form of news, with what this daemon is.
func (gate *Gate) wireQuarantine(now time.Time, news yuccaquarantine.News) yuccawire.Quarantine {
	message := wireNews(now, news)
	message.Experienced = gate.quarantine.experienced
	return message
}

// tellQuarantine sends a message to the other daemons of this data centre, and over this daemon's connections to others.
func (gate *Gate) tellQuarantine(message yuccawire.Quarantine, local, remote bool) {
	if local {
		gate.sendLocal(yuccawire.KindQuarantine, message)
	}
	if remote {
		for _, daemon := range gate.remoteLinked() {
			gate.send(daemon, yuccawire.KindQuarantine, message)
		}
	}
}

// sendQuarantine tells a peer all that it needs to know.
func (gate *Gate) sendQuarantine(now time.Time, to yuccaid.Incarnation) {
	gate.send(to, yuccawire.KindQuarantine, gate.wireQuarantine(now, gate.quarantine.known.State()))
}

// onQuarantine merges what another daemon tells, and passes on what is news: from this data centre to others, and from
// others to this one.
func (gate *Gate) onQuarantine(now time.Time, from yuccaid.Incarnation, message yuccawire.Quarantine) {
	gate.quarantine.experienced = gate.quarantine.experienced || message.Experienced
	if !gate.quarantine.known.Merge(now, newsFromWire(now, message)) {
		return
	}
	sender, found := gate.peers.Find(from.VM)
	sentHere := found && sender.Centre == gate.settings.Centre
	gate.tellQuarantine(message, !sentHere, sentHere)
}

// refuseHeld refuses the requests that wait for a target and have held parts.
func (gate *Gate) refuseHeld(now time.Time) {
	view := gate.quarantineView(now)
	for number, plc := range gate.placements {
		if plc.running {
			continue
		}
		held := gate.quarantine.known.Decide(now, view, plc.req.info.SharedParts)
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
		Kind: KindHeld, Detail: fmt.Sprintf("parts %q, on which %d targets crashed", held.Parts, held.Crashes), RetryAfter: held.RetryAfter,
		logFields: []any{"parts", held.Parts, "crashes", held.Crashes},
	}
}

// checkHeld returns a problem if the request is held back because of the parts of its prompt.
func (req *callerRequest) checkHeld() *Problem {
	_, prob := req.decideHeld(false)
	return prob
}

// beginTrial returns a problem if the request may not be sent now because of the parts of its prompt. If it tries held
// parts, that is recorded, and the request isn't sent to a second target.
func (req *callerRequest) beginTrial() *Problem {
	trial, prob := req.decideHeld(true)
	if trial {
		req.trial = true
		req.logDecision("trial", "shared", req.info.SharedParts)
	}
	return prob
}

// decideHeld decides on the request, once it is known whether its parts are held. Starts says whether it is sent now, so that
// a trial begins.
func (req *callerRequest) decideHeld(starts bool) (trial bool, prob *Problem) {
	gate := req.gate
	for waited := time.Duration(0); ; waited += verdictPoll {
		if len(req.info.SharedParts) == 0 || !gate.quarantine.active.Load() {
			return false, nil
		}
		var held yuccaquarantine.Decision
		gate.control.Call(func(now time.Time) {
			held = gate.quarantine.known.Decide(now, gate.quarantineView(now), req.info.SharedParts)
			if held.Trial && starts {
				gate.quarantine.known.StartTrial(now, held.Parts)
			}
		})
		switch {
		case held.Held:
			return false, heldProblem(held)
		case !held.Pending || waited >= maxVerdictWait:
			return held.Trial, nil
		}
		time.Sleep(verdictPoll)
	}
}

// mayRunAgain reports whether the parts of its prompt allow a request that has reached a target to be sent to another.
func (req *callerRequest) mayRunAgain() bool {
	if req.trial {
		return false
	}
	gate := req.gate
	if len(req.info.SharedParts) == 0 || !gate.quarantine.active.Load() {
		return true
	}
	allowed := true
	gate.control.Call(func(now time.Time) { allowed = gate.quarantine.known.MayRepeat(now, req.info.SharedParts) })
	return allowed
}
