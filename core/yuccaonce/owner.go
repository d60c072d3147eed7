package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Owner holds the requests of one incarnation and decides what becomes of each. It
// is not safe for concurrent use.
type Owner struct {
	inc      yuccaid.Incarnation
	key      yuccaid.Key
	lifetime time.Duration
	limits   Limits
	clock    clock

	held     shelf
	overdue  map[uint64]*record
	ended    []ending
	accounts map[yuccaid.Account]*ledger
	stages   [closed + 1]int
}

// New returns an owner without requests.
func New(inc yuccaid.Incarnation, key yuccaid.Key, options ...Option) *Owner {
	own := &Owner{
		inc:      inc,
		key:      key,
		lifetime: defaultLifetime,
		limits:   Limits{}.withDefaults(),
		overdue:  make(map[uint64]*record),
		accounts: make(map[yuccaid.Account]*ledger),
	}
	for _, option := range options {
		option(own)
	}
	return own
}

// Open draws an id for the account; nothing runs before it is submitted.
func (own *Owner) Open(now time.Time, acc yuccaid.Account) (yuccaid.RequestID, error) {
	reading := own.advance(now)
	if err := own.checkLimits(reading, acc); err != nil {
		return "", err
	}
	counter := own.held.add(record{account: acc, issued: reading.UnixMilli()})
	own.stages[opened]++
	own.ledger(acc).add(own, counter)
	return yuccaid.RequestIDFields{Owner: own.inc, Counter: counter, Issued: reading}.Sign(own.key), nil
}

// SubmitAction says what the daemon has to do with a submit.
type SubmitAction string

// The kinds of steps.
const (
	SubmitAdmit  SubmitAction = "admit"
	SubmitJoin   SubmitAction = "join"
	SubmitClosed SubmitAction = "closed"
)

// SubmitResult is the answer to a submit: admit it, join it to the running one, or pass on
// the outcome.
type SubmitResult struct {
	Action  SubmitAction
	Outcome Outcome
}

// Submit admits the first submit under an id and joins each later one to it.
func (own *Owner) Submit(now time.Time, text yuccaid.RequestID, claim Submission) (SubmitResult, error) {
	rec, err := own.findFor(now, text, claim.Account)
	if err != nil {
		return SubmitResult{}, err
	}
	print := claim.fingerprint()
	if rec.known && rec.claim != print {
		return SubmitResult{}, &ConflictError{ID: text}
	}
	switch rec.stage {
	case opened:
		rec.claim = print
		rec.known = true
		own.move(rec, waiting)
		return SubmitResult{Action: SubmitAdmit, Outcome: rec.state()}, nil
	case closed:
		return SubmitResult{Action: SubmitClosed, Outcome: rec.outcome}, nil
	default:
		return SubmitResult{Action: SubmitJoin, Outcome: rec.state()}, nil
	}
}

// Dispatch records that the request goes to the target and must be called before the
// first byte leaves.
//
// If it were called afterwards, a displacement in between would tell the caller that
// the request did not run while the target runs it.
func (own *Owner) Dispatch(now time.Time, text yuccaid.RequestID, tgt yuccaid.Target) error {
	rec, err := own.find(now, text)
	if err != nil {
		return err
	}
	switch rec.stage {
	case opened:
		return &StageError{ID: text, Stage: RunWaiting}
	case dispatched:
		return &DispatchedError{ID: text, Target: rec.target}
	case closed:
		return &ClosedError{ID: text, Outcome: rec.outcome}
	}
	rec.target = tgt
	own.move(rec, dispatched)
	return nil
}

// CloseNotRun ends a request that was not dispatched as not run, and reports false if it
// is too late for that.
func (own *Owner) CloseNotRun(now time.Time, text yuccaid.RequestID, reason Reason, back time.Duration) (Outcome, bool) {
	rec, err := own.find(now, text)
	if err != nil {
		return Outcome{Run: Unknown, Reason: ReasonOwnerLost}, false
	}
	if rec.stage >= dispatched {
		return rec.state(), false
	}
	own.end(rec, Outcome{Run: NotRun, Reason: reason, RetryAfter: back})
	return rec.outcome, true
}

// Finish records the end of a dispatched request and returns the outcome to tell,
// which may claim less than the result did.
func (own *Owner) Finish(now time.Time, text yuccaid.RequestID, result Result) (Outcome, error) {
	rec, err := own.find(now, text)
	if err != nil {
		return Outcome{}, err
	}
	switch rec.stage {
	case opened, waiting:
		return rec.state(), &StageError{ID: text, Stage: RunWaiting}
	case closed:
		return rec.outcome, &ClosedError{ID: text, Outcome: rec.outcome}
	}
	own.end(rec, result.settled())
	return rec.outcome, nil
}

// Outcome tells the state of the account's request.
//
// An id that was never submitted is closed in the same step. Otherwise a submit that
// is still on its way could run after the caller was told that nothing ran.
func (own *Owner) Outcome(now time.Time, text yuccaid.RequestID, acc yuccaid.Account) (Outcome, error) {
	rec, err := own.findFor(now, text, acc)
	if err != nil {
		return Outcome{}, err
	}
	if rec.stage == opened {
		own.end(rec, Outcome{Run: NotRun, Reason: ReasonNeverSubmitted})
	}
	return rec.state(), nil
}

// Tick forgets ids past their lifetime and returns how many.
func (own *Owner) Tick(now time.Time) (expired int) {
	before := own.held.len() + len(own.overdue)
	own.advance(now)
	return before - own.held.len() - len(own.overdue)
}

// Counts tells how many requests are held, by how far they have come.
type Counts struct {
	Opened     int `json:"opened"`
	Waiting    int `json:"waiting"`
	Dispatched int `json:"dispatched"`
	Closed     int `json:"closed"`
	Overdue    int `json:"overdue"` // of these, past their lifetime and kept since they ended late or not yet
}

// Counts returns the numbers for status and metrics.
func (own *Owner) Counts() Counts {
	return Counts{
		Opened:     own.stages[opened],
		Waiting:    own.stages[waiting],
		Dispatched: own.stages[dispatched],
		Closed:     own.stages[closed],
		Overdue:    len(own.overdue),
	}
}

func (own *Owner) move(rec *record, to stage) {
	if rec.stage == opened {
		own.accounts[rec.account].unsubmitted--
	}
	own.stages[rec.stage]--
	own.stages[to]++
	rec.stage = to
}

func (own *Owner) end(rec *record, out Outcome) {
	own.move(rec, closed)
	rec.close(out)
	if own.expired(own.clock.reading, rec.issued) {
		own.ended = append(own.ended, ending{rec: rec, at: own.clock.reading})
	}
}
