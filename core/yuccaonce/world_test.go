package yuccaonce_test

import (
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

const daemonCount = 3

// switches turns off mechanisms of the simulated daemons, one for each field that is
// set.
type switches struct {
	hashOwner       bool // the owner is chosen by a hash over the daemons considered live
	forgetsClosed   bool // a closed id can be submitted again
	leavesOpen      bool // querying the outcome of an unsubmitted id leaves it open
	recordsLate     bool // dispatch is recorded after the first byte was sent
	ignoresClosed   bool // a grant is used although the request has been closed
	cancelIsNotRun  bool // a cancelled run is reported as not run
	sameIncarnation bool // a restarted process keeps its predecessor's incarnation
	runsElsewhere   bool // another daemon runs the requests of an owner that it can't reach
}

// requestStore holds the operations on one daemon's store of requests.
type requestStore struct {
	submit   func(id yuccaid.RequestID)
	outcome  func(id yuccaid.RequestID) yuccaonce.Run
	dispatch func(id yuccaid.RequestID) bool
	giveUp   func(id yuccaid.RequestID) bool
	finish   func(id yuccaid.RequestID, result yuccaonce.Result) yuccaonce.Run
}

// daemon is one simulated daemon.
type daemon struct {
	requestStore
	own    *yuccaonce.Owner
	inc    yuccaid.Incarnation
	view   [daemonCount]bool // which daemons this daemon considers live
	skew   time.Duration     // deviation of the daemon's clock from the simulation's time
	paused bool              // takes no step and receives no message
}

// message is a message between daemons; a "run" from a daemon to itself stands for a
// request on its way to a target, and a "record" from a daemon to itself for a dispatch
// that is recorded late.
type message struct {
	kind     string
	from, to int
	id       yuccaid.RequestID
}

// action is one step of a simulation. a selects a daemon, b a request, message or
// second daemon, and c a variant; each is reduced modulo the number of choices.
type action struct {
	kind    string
	a, b, c int
}

// kinds lists the kinds of actions; the kinds that advance requests are listed several
// times, so that many requests run before a fault stops the requests. An "ask" queries
// an outcome, a "look" updates which daemons a daemon considers live, "time" lets time
// pass for all daemons, and a "jump" sets the clock of one daemon.
var kinds = []string{
	"open", "submit", "submit", "ask", "deliver", "deliver", "deliver", "deliver", "grant", "grant", "grant",
	"giveUp", "finish", "restart", "pause", "cut", "look", "time", "jump",
}

var history = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
	number := rapid.IntRange(0, 11)
	return action{
		kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
		a:    number.Draw(t, "a"), b: number.Draw(t, "b"), c: number.Draw(t, "c"),
	}
}), 40, 200)

// simulation is a set of daemons with the messages between them. The method check is
// its oracle: it knows which requests the targets ran.
type simulation struct {
	off            switches
	now            time.Time
	daemons        [daemonCount]*daemon
	cuts           [daemonCount][daemonCount]bool // pairs of daemons that can't reach each other
	ids            []yuccaid.RequestID
	messages       []message
	runs           map[yuccaid.RequestID]int // how many times the targets ran a request
	reportedNotRun map[yuccaid.RequestID]bool
	starts         byte // number of daemons started, which makes incarnations differ
}

func newSimulation(off switches) *simulation {
	sim := &simulation{off: off, now: start, runs: map[yuccaid.RequestID]int{}, reportedNotRun: map[yuccaid.RequestID]bool{}}
	for i := range sim.daemons {
		sim.daemons[i] = sim.newDaemon(i)
	}
	return sim
}

func (sim *simulation) newDaemon(i int) *daemon {
	nonce := [16]byte{byte(i)}
	if !sim.off.sameIncarnation {
		sim.starts++
		nonce[1] = sim.starts
	}
	d := &daemon{inc: yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprint("vm-", i)), nonce), view: [daemonCount]bool{true, true, true}}
	d.own = yuccaonce.New(d.inc, fleetKey, yuccaonce.WithLifetime(lifetime))
	d.requestStore = sim.ownerStore(d)
	if sim.off.hashOwner {
		d.requestStore = mapStore()
	}
	return d
}

// ownerStore returns the store of a daemon that uses an Owner.
func (sim *simulation) ownerStore(d *daemon) requestStore {
	own := d.own
	now := func() time.Time { return sim.now.Add(d.skew) }
	afterClose := func(id yuccaid.RequestID) {
		if sim.off.forgetsClosed {
			own.Reopen(id)
		}
	}
	return requestStore{
		submit: func(id yuccaid.RequestID) { own.Submit(now(), id, ticket) },
		outcome: func(id yuccaid.RequestID) yuccaonce.Run {
			out, _ := own.Outcome(now(), id, ticket.Account)
			if sim.off.leavesOpen && out.Reason == yuccaonce.ReasonNeverSubmitted {
				own.Reopen(id)
			}
			return out.Run
		},
		dispatch: func(id yuccaid.RequestID) bool {
			err := own.Dispatch(now(), id, "t1")
			var closedErr *yuccaonce.ClosedError
			return err == nil || sim.off.ignoresClosed && errors.As(err, &closedErr)
		},
		giveUp: func(id yuccaid.RequestID) bool {
			_, done := own.CloseNotRun(now(), id, yuccaonce.ReasonDisplaced, 0)
			if done {
				afterClose(id)
			}
			return done
		},
		finish: func(id yuccaid.RequestID, result yuccaonce.Result) yuccaonce.Run {
			out, err := own.Finish(now(), id, result)
			if err == nil {
				afterClose(id)
			}
			return out.Run
		},
	}
}

// mapStore returns the store of a daemon that has no Owner, but records ids as they are
// submitted, like a table of idempotency keys.
func mapStore() requestStore {
	runs := map[yuccaid.RequestID]yuccaonce.Run{}
	move := func(id yuccaid.RequestID, from, to yuccaonce.Run) bool {
		if runs[id] != from {
			return false
		}
		runs[id] = to
		return true
	}
	return requestStore{
		submit: func(id yuccaid.RequestID) { move(id, "", yuccaonce.RunWaiting) },
		outcome: func(id yuccaid.RequestID) yuccaonce.Run {
			move(id, "", yuccaonce.NotRun)
			return runs[id]
		},
		dispatch: func(id yuccaid.RequestID) bool { return move(id, yuccaonce.RunWaiting, yuccaonce.RunRunning) },
		giveUp:   func(id yuccaid.RequestID) bool { return move(id, yuccaonce.RunWaiting, yuccaonce.NotRun) },
		finish: func(id yuccaid.RequestID, result yuccaonce.Result) yuccaonce.Run {
			if result.Reason == yuccaonce.ReasonCancelled {
				result.Run = yuccaonce.Ran
			}
			move(id, yuccaonce.RunRunning, result.Run)
			return runs[id]
		},
	}
}

// owner returns the index of the daemon that the daemon at i considers the owner of the
// request, and false if the daemon at i knows no owner.
func (sim *simulation) owner(i int, id yuccaid.RequestID) (int, bool) {
	best, score := -1, uint64(0)
	for k, other := range sim.daemons {
		if !sim.off.hashOwner {
			if req, err := id.Parse(fleetKey); err == nil && req.Owner == other.inc {
				return k, true
			}
			continue
		}
		if h := xxhash.Sum64String(string(id) + string(other.inc.VM)); sim.daemons[i].view[k] && h >= score {
			best, score = k, h
		}
	}
	return best, best >= 0
}

// send routes a caller's message from the daemon at i to the request's owner.
func (sim *simulation) send(kind string, i int, id yuccaid.RequestID) error {
	to, found := sim.owner(i, id)
	if found && to == i {
		return sim.handle(message{kind: kind, to: i, id: id})
	}
	if found {
		sim.messages = append(sim.messages, message{kind: kind, from: i, to: to, id: id})
	}
	if sim.off.runsElsewhere && kind == "submit" && (!found || sim.cuts[i][to]) {
		return sim.ran(id)
	}
	return nil
}

// handle lets the receiver of a message act on it.
func (sim *simulation) handle(m message) error {
	d := sim.daemons[m.to]
	switch m.kind {
	case "submit":
		d.submit(m.id)
	case "ask":
		return sim.reported(m.id, d.outcome(m.id))
	case "grant":
		if sim.off.recordsLate {
			sim.messages = append(sim.messages, message{kind: "record", from: m.to, to: m.to, id: m.id})
			return sim.ran(m.id)
		}
		if d.dispatch(m.id) {
			sim.messages = append(sim.messages, message{kind: "run", from: m.to, to: m.to, id: m.id})
		}
	case "record":
		d.dispatch(m.id)
	case "run":
		return sim.ran(m.id)
	}
	return nil
}

// ran records that a target ran the request.
func (sim *simulation) ran(id yuccaid.RequestID) error {
	sim.runs[id]++
	return sim.check(id)
}

// reported records what a caller was told about the request.
func (sim *simulation) reported(id yuccaid.RequestID, run yuccaonce.Run) error {
	if run == yuccaonce.NotRun {
		sim.reportedNotRun[id] = true
	}
	return sim.check(id)
}

// check is the oracle. It returns an error if the request ran twice, or ran and was
// reported as not run.
func (sim *simulation) check(id yuccaid.RequestID) error {
	if sim.runs[id] > 1 {
		return fmt.Errorf("%s ran %d times", id, sim.runs[id])
	}
	if sim.runs[id] > 0 && sim.reportedNotRun[id] {
		return fmt.Errorf("%s ran and was reported as not run", id)
	}
	return nil
}

// play runs a history and returns the first violation that the oracle reports.
func (sim *simulation) play(actions []action) error {
	for _, act := range actions {
		if err := sim.step(act); err != nil {
			return err
		}
	}
	return nil
}

// step applies an action; a paused daemon ignores all actions but pause and restart.
func (sim *simulation) step(act action) error {
	i := act.a % daemonCount
	d := sim.daemons[i]
	if act.kind == "pause" {
		d.paused = act.c%4 == 0
	}
	if act.kind == "restart" {
		sim.daemons[i] = sim.newDaemon(i)
	}
	if d.paused {
		return nil
	}
	switch act.kind {
	case "open":
		id, _ := d.own.Open(sim.now.Add(d.skew), ticket.Account)
		sim.ids = append(sim.ids, id)
	case "cut":
		k := act.b % daemonCount
		cut := i != k && act.c%3 == 0
		sim.cuts[i][k], sim.cuts[k][i] = cut, cut
	case "look":
		for k := range d.view {
			d.view[k] = !sim.cuts[i][k] && !sim.daemons[k].paused
		}
	case "time":
		sim.now = sim.now.Add(time.Duration(act.c) * time.Second)
	case "jump":
		d.skew = time.Duration(act.c-6) * 10 * time.Second
	case "deliver":
		return sim.deliver(act)
	}
	if len(sim.ids) == 0 {
		return nil
	}
	return sim.stepRequest(act, i, sim.ids[act.b%len(sim.ids)])
}

// stepRequest applies an action of the daemon at i on a request.
func (sim *simulation) stepRequest(act action, i int, id yuccaid.RequestID) error {
	switch act.kind {
	case "submit", "ask":
		return sim.send(act.kind, i, id)
	case "grant":
		to, _ := sim.owner(i, id)
		sim.messages = append(sim.messages, message{kind: "grant", from: i, to: max(to, 0), id: id})
	case "giveUp":
		if sim.daemons[i].giveUp(id) {
			return sim.reported(id, yuccaonce.NotRun)
		}
	case "finish":
		return sim.finish(act, i, id)
	}
	return nil
}

// deliver delivers any one of the messages, so that they arrive out of order. A quarter
// of the deliveries leave the message in place, to be delivered again. A message to a
// target travels on one stream, so it may be late but is never delivered twice.
func (sim *simulation) deliver(act action) error {
	if len(sim.messages) == 0 {
		return nil
	}
	at := act.b % len(sim.messages)
	m := sim.messages[at]
	if sim.cuts[m.from][m.to] || sim.daemons[m.to].paused {
		return nil
	}
	if act.c%4 != 0 || m.kind == "run" {
		sim.messages = append(sim.messages[:at:at], sim.messages[at+1:]...)
	}
	return sim.handle(m)
}

// finish finishes a run as refused before it ran, cancelled, complete or lost.
func (sim *simulation) finish(act action, i int, id yuccaid.RequestID) error {
	result := yuccaonce.Result{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonTargetLost}
	switch {
	case act.c%4 == 0:
		for at, m := range sim.messages {
			if m.kind == "run" && m.id == id {
				sim.messages = append(sim.messages[:at:at], sim.messages[at+1:]...)
				result = yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonRefusedByTarget}
				break
			}
		}
	case act.c%4 == 1:
		result = yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonCancelled}
	case act.c%4 == 2 && sim.runs[id] > 0:
		result = yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 1}
	}
	run := sim.daemons[i].finish(id, result)
	if sim.off.cancelIsNotRun && run != "" && result.Reason == yuccaonce.ReasonCancelled {
		run = yuccaonce.NotRun
	}
	return sim.reported(id, run)
}
