package yuccatarget

import (
	"errors"
	"fmt"
	"time"

	"yuccacleat/core/yuccaid"
)

// ErrNoRun says that a target has nothing to cancel under an id.
var ErrNoRun = errors.New("target has no such run: it ended, or never came; read its outcome instead of cancelling again")

// UnsentError says that no byte of a request left, so it did not run.
type UnsentError struct {
	Address string
	Cause   error
}

// Error names the address and the remedy.
func (err *UnsentError) Error() string {
	return fmt.Sprintf("nothing was sent to %s, and nothing ran: try another target (%v)", err.Address, err.Cause)
}

// Unwrap returns what kept the request from being sent.
func (err *UnsentError) Unwrap() error { return err.Cause }

// RefusedError says that the target refused a request and did not run it.
type RefusedError struct {
	Target yuccaid.Target
	Back   time.Duration
}

// Error names the target and the remedy.
func (err *RefusedError) Error() string {
	return fmt.Sprintf("target %s refused the request and did not run it: try another target, or this one after %v", err.Target, err.Back)
}

// LeavingError says that the target is leaving and did not run a request.
type LeavingError struct {
	Target yuccaid.Target
}

// Error names the target and the remedy.
func (err *LeavingError) Error() string {
	return fmt.Sprintf("target %s is leaving and did not run the request: send it no more work", err.Target)
}

// LostError says that a request may have run and that its whole answer did not come.
type LostError struct {
	ID         yuccaid.RequestID
	Target     yuccaid.Target
	Pieces     int
	Idempotent bool
	Cause      error
}

// Error names the target, what came of the answer, and the remedy.
func (err *LostError) Error() string {
	remedy := "find out at the target whether it took effect before opening a new request"
	if err.Idempotent {
		remedy = "it is idempotent, so opening a new request is safe"
	}
	return fmt.Sprintf("request may have run at %s, whose answer was lost after %d pieces: %s (%v)",
		err.Target, err.Pieces, remedy, err.Cause)
}

// Unwrap returns what ended the answer.
func (err *LostError) Unwrap() error { return err.Cause }

// Flaw says what is wrong with an answer.
type Flaw string

// Flaws that an answer is checked for.
const (
	FlawForeign Flaw = "foreign"
	FlawGap     Flaw = "gap"
	FlawOverlap Flaw = "overlap"
	FlawCount   Flaw = "count"
	FlawHash    Flaw = "hash"
	FlawGarbled Flaw = "garbled"
	FlawSize    Flaw = "size"
)

// BrokenError says that a request ran and that its answer can't be trusted.
type BrokenError struct {
	ID       yuccaid.RequestID
	Target   yuccaid.Target
	Position int
	Flaw     Flaw
}

// Error names the flaw and the remedy.
func (err *BrokenError) Error() string {
	return fmt.Sprintf("answer of target %s is broken at piece %d (%s): discard what came of it and check the target",
		err.Target, err.Position, err.Flaw)
}

// CancelledError says that the target cancelled a run; what came before is right but
// not whole.
type CancelledError struct {
	Target yuccaid.Target
	End    End
}

// Error names the target and the remedy.
func (err *CancelledError) Error() string {
	return fmt.Sprintf("run was cancelled at target %s after %d pieces: open a new request for the whole answer",
		err.Target, err.End.Pieces)
}

// UnknownOrderError says that an order or a cancel may have been carried out.
type UnknownOrderError struct {
	Address string
	Cause   error
}

// Error names the address and the remedy.
func (err *UnknownOrderError) Error() string {
	return fmt.Sprintf("no answer from %s, which may have obeyed: read its state before the next order (%v)", err.Address, err.Cause)
}

// Unwrap returns what kept the answer from coming.
func (err *UnknownOrderError) Unwrap() error { return err.Cause }

// FencedError says that a target has seen a newer fencing number than an order's.
type FencedError struct {
	Fence yuccaid.ConfigNumber
}

// Error names the number and the remedy.
func (err *FencedError) Error() string {
	return fmt.Sprintf("target has taken orders of configuration %d: catch up to it before giving orders", err.Fence)
}

// ExpiredError says that an order's life was over before it was carried out.
type ExpiredError struct{}

// Error names the remedy.
func (*ExpiredError) Error() string {
	return "order expired and was not carried out: read the target's state and decide anew"
}

// StatusError says that a target answered with a status that proves nothing.
type StatusError struct {
	Status int
}

// Error names the status and the remedy.
func (err *StatusError) Error() string {
	return fmt.Sprintf("target answered with status %d: check the target's version and what stands between", err.Status)
}
