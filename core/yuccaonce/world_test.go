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

const daemons = 3

// switches names one mechanism each that a world does without.
type switches struct {
	hashOwner       bool // the owner is a hash over the live list
	forgetsEnded    bool // an ended id can be submitted again
	asksOnly        bool // asking for an unsubmitted id's outcome leaves it open
	recordsLate     bool // dispatch is recorded after the first byte left
	ignoresVoid     bool // a grant is used although the request has ended
	cancelIsNotRun  bool // a cancelled run is told as not run
	sameIncarnation bool // a restarted process takes over its predecessor's name
	runsElsewhere   bool // another daemon runs what its lost owner had
}

// book is what one daemon keeps of requests.
type book struct {
	submit   func(id yuccaid.RequestID)
	outcome  func(id yuccaid.RequestID) yuccaonce.Run
	dispatch func(id yuccaid.RequestID) bool
	giveUp   func(id yuccaid.RequestID) bool
	finish   func(id yuccaid.RequestID, result yuccaonce.Result) yuccaonce.Run
}

type daemon struct {
	book
	own    *yuccaonce.Owner
	inc    yuccaid.Incarnation
	view   [daemons]bool
	skew   time.Duration
	paused bool
}

type message struct {
	kind     string
	from, to int
	id       yuccaid.RequestID
}

// action is one step of a world; its numbers are taken modulo what there is.
type action struct {
	kind    string
	a, b, c int
}

// kinds repeats what moves requests on, so that many run before a fault stops them.
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

// world is a fleet with its messages, seen by an oracle that knows what targets ran.
type world struct {
	off      switches
	now      time.Time
	all      [daemons]*daemon
	cuts     [daemons][daemons]bool
	ids      []yuccaid.RequestID
	messages []message
	runs     map[yuccaid.RequestID]int
	denied   map[yuccaid.RequestID]bool
	starts   byte
}

func newWorld(off switches) *world {
	w := &world{off: off, now: start, runs: map[yuccaid.RequestID]int{}, denied: map[yuccaid.RequestID]bool{}}
	for i := range w.all {
		w.all[i] = w.newDaemon(i)
	}
	return w
}

func (w *world) newDaemon(i int) *daemon {
	nonce := [16]byte{byte(i)}
	if !w.off.sameIncarnation {
		w.starts++
		nonce[1] = w.starts
	}
	d := &daemon{inc: yuccaid.NewIncarnation(yuccaid.VM(fmt.Sprint("vm-", i)), nonce), view: [daemons]bool{true, true, true}}
	d.own = yuccaonce.New(d.inc, fleetKey, yuccaonce.WithLifetime(lifetime))
	d.book = w.ownerBook(d)
	if w.off.hashOwner {
		d.book = memoryBook()
	}
	return d
}

func (w *world) ownerBook(d *daemon) book {
	own := d.own
	now := func() time.Time { return w.now.Add(d.skew) }
	ended := func(id yuccaid.RequestID) {
		if w.off.forgetsEnded {
			own.Reopen(id)
		}
	}
	return book{
		submit: func(id yuccaid.RequestID) { own.Submit(now(), id, ticket) },
		outcome: func(id yuccaid.RequestID) yuccaonce.Run {
			out, _ := own.Outcome(now(), id, ticket.Account)
			if w.off.asksOnly && out.Reason == yuccaonce.ReasonNeverSubmitted {
				own.Reopen(id)
			}
			return out.Run
		},
		dispatch: func(id yuccaid.RequestID) bool {
			err := own.Dispatch(now(), id, "t1")
			var ended *yuccaonce.ClosedError
			return err == nil || w.off.ignoresVoid && errors.As(err, &ended)
		},
		giveUp: func(id yuccaid.RequestID) bool {
			_, done := own.CloseNotRun(now(), id, yuccaonce.ReasonDisplaced, 0)
			if done {
				ended(id)
			}
			return done
		},
		finish: func(id yuccaid.RequestID, result yuccaonce.Result) yuccaonce.Run {
			out, err := own.Finish(now(), id, result)
			if err == nil {
				ended(id)
			}
			return out.Run
		},
	}
}

// memoryBook keeps ids as they come, as a table of idempotency keys does.
func memoryBook() book {
	runs := map[yuccaid.RequestID]yuccaonce.Run{}
	move := func(id yuccaid.RequestID, from, to yuccaonce.Run) bool {
		if runs[id] != from {
			return false
		}
		runs[id] = to
		return true
	}
	return book{
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

// owner tells which daemon the one at i takes for the owner, and false for none.
func (w *world) owner(i int, id yuccaid.RequestID) (int, bool) {
	best, score := -1, uint64(0)
	for k, other := range w.all {
		if !w.off.hashOwner {
			if req, err := id.Parse(fleetKey); err == nil && req.Owner == other.inc {
				return k, true
			}
			continue
		}
		if h := xxhash.Sum64String(string(id) + string(other.inc.VM)); w.all[i].view[k] && h >= score {
			best, score = k, h
		}
	}
	return best, best >= 0
}

// send routes a caller's message from the daemon at i to the request's owner.
func (w *world) send(kind string, i int, id yuccaid.RequestID) error {
	to, found := w.owner(i, id)
	if found && to == i {
		return w.handle(message{kind: kind, to: i, id: id})
	}
	if found {
		w.messages = append(w.messages, message{kind: kind, from: i, to: to, id: id})
	}
	if w.off.runsElsewhere && kind == "submit" && (!found || w.cuts[i][to]) {
		return w.ran(id)
	}
	return nil
}

func (w *world) handle(m message) error {
	d := w.all[m.to]
	switch m.kind {
	case "submit":
		d.submit(m.id)
	case "ask":
		return w.told(m.id, d.outcome(m.id))
	case "grant":
		if w.off.recordsLate {
			w.messages = append(w.messages, message{kind: "record", from: m.to, to: m.to, id: m.id})
			return w.ran(m.id)
		}
		if d.dispatch(m.id) {
			w.messages = append(w.messages, message{kind: "run", from: m.to, to: m.to, id: m.id})
		}
	case "record":
		d.dispatch(m.id)
	case "run":
		return w.ran(m.id)
	}
	return nil
}

func (w *world) ran(id yuccaid.RequestID) error {
	w.runs[id]++
	return w.check(id)
}

func (w *world) told(id yuccaid.RequestID, run yuccaonce.Run) error {
	if run == yuccaonce.NotRun {
		w.denied[id] = true
	}
	return w.check(id)
}

// check is the oracle.
func (w *world) check(id yuccaid.RequestID) error {
	if w.runs[id] > 1 {
		return fmt.Errorf("%s ran %d times", id, w.runs[id])
	}
	if w.runs[id] > 0 && w.denied[id] {
		return fmt.Errorf("%s ran and was called not run", id)
	}
	return nil
}

// play runs a history and returns the first breach that the oracle sees.
func (w *world) play(actions []action) error {
	for _, act := range actions {
		if err := w.step(act); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) step(act action) error {
	i := act.a % daemons
	d := w.all[i]
	if act.kind == "pause" {
		d.paused = act.c%4 == 0
	}
	if act.kind == "restart" {
		w.all[i] = w.newDaemon(i)
	}
	if d.paused {
		return nil
	}
	switch act.kind {
	case "open":
		id, _ := d.own.Open(w.now.Add(d.skew), ticket.Account)
		w.ids = append(w.ids, id)
	case "cut":
		k := act.b % daemons
		cut := i != k && act.c%3 == 0
		w.cuts[i][k], w.cuts[k][i] = cut, cut
	case "look":
		for k := range d.view {
			d.view[k] = !w.cuts[i][k] && !w.all[k].paused
		}
	case "time":
		w.now = w.now.Add(time.Duration(act.c) * time.Second)
	case "jump":
		d.skew = time.Duration(act.c-6) * 10 * time.Second
	case "deliver":
		return w.deliver(act)
	}
	if len(w.ids) == 0 {
		return nil
	}
	return w.stepRequest(act, i, w.ids[act.b%len(w.ids)])
}

func (w *world) stepRequest(act action, i int, id yuccaid.RequestID) error {
	switch act.kind {
	case "submit", "ask":
		return w.send(act.kind, i, id)
	case "grant":
		to, _ := w.owner(i, id)
		w.messages = append(w.messages, message{kind: "grant", from: i, to: max(to, 0), id: id})
	case "giveUp":
		if w.all[i].giveUp(id) {
			return w.told(id, yuccaonce.NotRun)
		}
	case "finish":
		return w.finish(act, i, id)
	}
	return nil
}

// deliver hands over any message, out of order, and every fourth one twice. What
// goes to a target travels on one stream, which may be late but doubles nothing.
func (w *world) deliver(act action) error {
	if len(w.messages) == 0 {
		return nil
	}
	at := act.b % len(w.messages)
	m := w.messages[at]
	if w.cuts[m.from][m.to] || w.all[m.to].paused {
		return nil
	}
	if act.c%4 != 0 || m.kind == "run" {
		w.messages = append(w.messages[:at:at], w.messages[at+1:]...)
	}
	return w.handle(m)
}

// finish ends a run: refused before it ran, cancelled, lost or whole.
func (w *world) finish(act action, i int, id yuccaid.RequestID) error {
	result := yuccaonce.Result{Run: yuccaonce.Unknown, Reason: yuccaonce.ReasonTargetLost}
	switch {
	case act.c%4 == 0:
		for at, m := range w.messages {
			if m.kind == "run" && m.id == id {
				w.messages = append(w.messages[:at:at], w.messages[at+1:]...)
				result = yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonRefusedByTarget}
				break
			}
		}
	case act.c%4 == 1:
		result = yuccaonce.Result{Run: yuccaonce.NotRun, Reason: yuccaonce.ReasonCancelled}
	case act.c%4 == 2 && w.runs[id] > 0:
		result = yuccaonce.Result{Run: yuccaonce.Ran, Pieces: 1}
	}
	run := w.all[i].finish(id, result)
	if w.off.cancelIsNotRun && run != "" && result.Reason == yuccaonce.ReasonCancelled {
		run = yuccaonce.NotRun
	}
	return w.told(id, run)
}
