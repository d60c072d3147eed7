package yuccaonce

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaid"
)

// WrongOwnerError says that another incarnation owns the request.
type WrongOwnerError struct{ Owner yuccaid.Incarnation }

// Error names the owner to forward to.
func (err *WrongOwnerError) Error() string {
	return fmt.Sprintf("request is owned by %s: forward it there, and report it as unknown if that daemon is gone", err.Owner)
}

// ConflictError says that the id stands for another request already.
type ConflictError struct{ ID yuccaid.RequestID }

// Error tells to open a request for each body.
func (err *ConflictError) Error() string {
	return fmt.Sprintf("request %s was submitted with another body, pool or operation: open a new request for this one", err.ID)
}

// ExpiredError says that the id is past its lifetime, so its outcome is forgotten.
type ExpiredError struct {
	ID       yuccaid.RequestID
	Lifetime time.Duration
}

// Error tells that the request won't run under this id any more.
func (err *ExpiredError) Error() string {
	return fmt.Sprintf("request %s is older than %s and can't run any more: open a new request", err.ID, err.Lifetime)
}

// UnknownIDError says that the account has no such request; it is the same whether
// or not another account has.
type UnknownIDError struct{ ID yuccaid.RequestID }

// Error tells to use an id of one's own.
func (err *UnknownIDError) Error() string {
	return fmt.Sprintf("request %s is not one of this account: use an id that open returned to it", err.ID)
}

// ClosedError says that the request has ended already.
type ClosedError struct {
	ID      yuccaid.RequestID
	Outcome Outcome
}

// Error tells how the request ended and to give back what was meant for it.
func (err *ClosedError) Error() string {
	return fmt.Sprintf("request %s has ended (%s): release its target and report the recorded outcome", err.ID, err.Outcome.Run)
}

// DispatchedError says that the request went out before.
type DispatchedError struct {
	ID     yuccaid.RequestID
	Target yuccaid.Target
}

// Error names the target that has the request.
func (err *DispatchedError) Error() string {
	return fmt.Sprintf("request %s was dispatched to %s already: return the second grant unused", err.ID, err.Target)
}

// StageError says that a step came before the one that it needs.
type StageError struct {
	ID    yuccaid.RequestID
	Stage Run
}

// Error names the order of the steps.
func (err *StageError) Error() string {
	return fmt.Sprintf("request %s is not that far: submit it, then dispatch it, then finish it", err.ID)
}

// LimitError says that the owner holds as many ids as it may.
type LimitError struct {
	Account    yuccaid.Account
	Limit      string
	Value      int
	RetryAfter time.Duration
}

// Error names the limit and the time to come back.
func (err *LimitError) Error() string {
	return fmt.Sprintf("account %s can't open a request, %s of %d is reached: come back after %s or use another daemon",
		err.Account, err.Limit, err.Value, err.RetryAfter)
}
