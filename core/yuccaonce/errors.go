package yuccaonce

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaid"
)

// WrongOwnerError means that another incarnation owns the request.
type WrongOwnerError struct{ Owner yuccaid.Incarnation }

// Error names the owner to which the request has to be forwarded.
func (err *WrongOwnerError) Error() string {
	return fmt.Sprintf("request is owned by %s: forward it to that daemon, and report it as unknown if the daemon has ended", err.Owner)
}

// ConflictError means that another body, pool or operation was submitted under the id
// before.
type ConflictError struct{ ID yuccaid.RequestID }

// Error tells the caller to open a new request for each body.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("request %s was submitted with another body, pool or operation: open a new request for this one", err.ID)
}

// ExpiredError means that the id is past its lifetime, so its outcome is no longer
// stored.
type ExpiredError struct {
	ID       yuccaid.RequestID
	Lifetime time.Duration
}

// Error states that the request can't run under this id any more.
func (err *ExpiredError) Error() string {
	return fmt.Sprintf("request %s is older than %s and can't run any more: open a new request", err.ID, err.Lifetime)
}

// UnknownIDError means that the account has no request with the id. The error is the
// same whether or not another account has a request with that id.
type UnknownIDError struct{ ID yuccaid.RequestID }

// Error tells the caller to use an id of its own account.
func (err *UnknownIDError) Error() string {
	return fmt.Sprintf("request %s does not exist for this account: use an id that was opened for the account", err.ID)
}

// ClosedError means that the request has been closed already.
type ClosedError struct {
	ID      yuccaid.RequestID
	Outcome Outcome
}

// Error states how the request was closed, and that the target reserved for it has to
// be released.
func (err *ClosedError) Error() string {
	return fmt.Sprintf("request %s is closed already (%s): release its target and report the recorded outcome", err.ID, err.Outcome.Run)
}

// DispatchedError means that the request was dispatched before.
type DispatchedError struct {
	ID     yuccaid.RequestID
	Target yuccaid.Target
}

// Error names the target to which the request was dispatched.
func (err *DispatchedError) Error() string {
	return fmt.Sprintf("request %s was dispatched to %s already: return the second grant without using it", err.ID, err.Target)
}

// StageError means that a request was dispatched before it was submitted, or finished
// before it was dispatched. State is the state of the request that callers see at that
// time. It is RunWaiting in both cases, because callers see RunWaiting until a request is
// dispatched, whether or not it has been submitted.
type StageError struct {
	ID    yuccaid.RequestID
	State Run
}

// Error states the order in which a request is submitted, dispatched and finished.
func (err *StageError) Error() string {
	return fmt.Sprintf("request %s has not reached the required stage: submit it, then dispatch it, then finish it", err.ID)
}

// LimitError means that the owner already stores as many ids as one of its limits
// allows. Limit is the limit's name and Value its number of ids. RetryAfter is the time
// until the oldest stored id expires, of all accounts for the total and otherwise of
// the account.
type LimitError struct {
	Account    yuccaid.Account
	Limit      string
	Value      int
	RetryAfter time.Duration
}

// Error names the limit and the time after which to retry.
func (err *LimitError) Error() string {
	return fmt.Sprintf("account %s can't open a request because the limit %s of %d ids is reached: retry after %s or use another daemon",
		err.Account, err.Limit, err.Value, err.RetryAfter)
}
