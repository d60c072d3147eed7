package yuccaonce

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Owner stores the requests of one incarnation and decides whether each may run. It is
// not safe for concurrent use.
type Owner struct {
	inc      yuccaid.Incarnation
	key      yuccaid.Key
	lifetime time.Duration
	limits   Limits
	clock    clock

	records    recordStore
	overdue    map[uint64]*record // open past their lifetime or closed late, by counter
	lateCloses []lateClose        // in order of closing
	accounts   map[yuccaid.Account]*accountIDs
	stages     [closed + 1]int // number of records by stage
}

// New returns an owner without requests, for the given incarnation. The owner signs its
// ids with the key.
func New(inc yuccaid.Incarnation, key yuccaid.Key, options ...Option) *Owner {
	own := &Owner{
		inc:      inc,
		key:      key,
		lifetime: defaultLifetime,
		limits:   Limits{}.withDefaults(),
		overdue:  make(map[uint64]*record),
		accounts: make(map[yuccaid.Account]*accountIDs),
	}
	for _, option := range options {
		option(own)
	}
	return own
}

// Open issues an id for the account; nothing runs before the id is submitted.
func (own *Owner) Open(now time.Time, acc yuccaid.Account) (yuccaid.RequestID, error) {
	reading := own.advance(now)
	if err := own.checkLimits(reading, acc); err != nil {
		return "", err
	}
	counter := own.records.add(record{account: acc, issued: reading.UnixMilli()})
	own.stages[opened]++
	own.accountIDs(acc).add(own, counter)
	return yuccaid.RequestIDFields{Owner: own.inc, Counter: counter, Issued: reading}.Sign(own.key), nil
}

// SubmitAction is what the daemon has to do with a submission.
type SubmitAction string

// The actions on a submission: admit the request, join the request that was admitted
// before under the same id, or report the recorded outcome of a closed request.
const (
	SubmitAdmit  SubmitAction = "admit"
	SubmitJoin   SubmitAction = "join"
	SubmitClosed SubmitAction = "closed"
)

// SubmitResult is the result of Submit: the action, and the request's state or recorded
// outcome.
type SubmitResult struct {
	Action  SubmitAction
	Outcome Outcome
}

// Submit admits the first submission under an id. A later submission with the same
// fingerprint joins the admitted request; a later submission with another fingerprint
// gets a ConflictError. If the request is closed, a submission without such a conflict
// gets the recorded outcome.
func (own *Owner) Submit(now time.Time, id yuccaid.RequestID, submission Submission) (SubmitResult, error) {
	rec, err := own.findFor(now, id, submission.Account)
	if err != nil {
		return SubmitResult{}, err
	}
	digest := submission.fingerprint()
	if rec.hasSubmission && rec.submission != digest {
		return SubmitResult{}, &ConflictError{ID: id}
	}
	switch rec.stage {
	case opened:
		rec.submission = digest
		rec.hasSubmission = true
		own.setStage(rec, waiting)
		return SubmitResult{Action: SubmitAdmit, Outcome: rec.currentOutcome()}, nil
	case closed:
		return SubmitResult{Action: SubmitClosed, Outcome: rec.outcome}, nil
	default:
		return SubmitResult{Action: SubmitJoin, Outcome: rec.currentOutcome()}, nil
	}
}

// Dispatch records that the request goes to the target. It must be called before the
// first byte is sent.
//
// If it were called afterwards, the request could be closed as displaced in between,
// and the caller would be told that the request did not run while the target runs it.
func (own *Owner) Dispatch(now time.Time, id yuccaid.RequestID, tgt yuccaid.Target) error {
	rec, err := own.find(now, id)
	if err != nil {
		return err
	}
	switch rec.stage {
	case opened:
		return &StageError{ID: id, State: RunWaiting}
	case dispatched:
		return &DispatchedError{ID: id, Target: rec.target}
	case closed:
		return &ClosedError{ID: id, Outcome: rec.outcome}
	}
	rec.target = tgt
	own.setStage(rec, dispatched)
	return nil
}

// CloseNotRun closes a request that was not dispatched as not run. It reports false if
// the request is already dispatched or closed, or if its id is not stored.
func (own *Owner) CloseNotRun(now time.Time, id yuccaid.RequestID, reason Reason, retryAfter time.Duration) (Outcome, bool) {
	rec, err := own.find(now, id)
	if err != nil {
		return Outcome{Run: Unknown, Reason: ReasonOwnerLost}, false
	}
	if rec.stage >= dispatched {
		return rec.currentOutcome(), false
	}
	own.closeRecord(rec, Outcome{Run: NotRun, Reason: reason, RetryAfter: retryAfter})
	return rec.outcome, true
}

// Finish records the end of a dispatched request and returns the outcome to report,
// which is Unknown or Ran where the result claims NotRun without proof.
func (own *Owner) Finish(now time.Time, id yuccaid.RequestID, result Result) (Outcome, error) {
	rec, err := own.find(now, id)
	if err != nil {
		return Outcome{}, err
	}
	switch rec.stage {
	case opened, waiting:
		return rec.currentOutcome(), &StageError{ID: id, State: RunWaiting}
	case closed:
		return rec.outcome, &ClosedError{ID: id, Outcome: rec.outcome}
	}
	own.closeRecord(rec, result.provenOutcome())
	return rec.outcome, nil
}

// Outcome returns the state of the account's request.
//
// An id that was never submitted is closed in the same call. If the id stayed open, a
// submission still on its way could run after the caller was told that nothing ran.
func (own *Owner) Outcome(now time.Time, id yuccaid.RequestID, acc yuccaid.Account) (Outcome, error) {
	rec, err := own.findFor(now, id, acc)
	if err != nil {
		return Outcome{}, err
	}
	if rec.stage == opened {
		own.closeRecord(rec, Outcome{Run: NotRun, Reason: ReasonNeverSubmitted})
	}
	return rec.currentOutcome(), nil
}

// Tick removes the ids whose outcome need not be kept any longer and returns how many
// were removed. An id that is past its lifetime while its request is waiting or
// dispatched stays until overdueGrace after the request is closed.
func (own *Owner) Tick(now time.Time) (expired int) {
	before := own.records.len() + len(own.overdue)
	own.advance(now)
	return before - own.records.len() - len(own.overdue)
}

// Counts is the number of stored requests by stage.
type Counts struct {
	Opened     int `json:"opened"`
	Waiting    int `json:"waiting"`
	Dispatched int `json:"dispatched"`
	Closed     int `json:"closed"`
	Overdue    int `json:"overdue"` // also counted by stage: open past their lifetime or closed late
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

func (own *Owner) setStage(rec *record, to stage) {
	if rec.stage == opened {
		own.accounts[rec.account].unsubmitted--
	}
	own.stages[rec.stage]--
	own.stages[to]++
	rec.stage = to
}

// closeRecord closes a record, and keeps it for overdueGrace if its id has expired.
func (own *Owner) closeRecord(rec *record, out Outcome) {
	own.setStage(rec, closed)
	rec.close(out)
	if own.expired(own.clock.reading, rec.issued) {
		own.lateCloses = append(own.lateCloses, lateClose{rec: rec, at: own.clock.reading})
	}
}
