package yuccalink

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"yuccacleat/core/yuccaid"
)

var (
	// ErrNoLink is returned if there is no control connection to a daemon.
	ErrNoLink = errors.New("no connection to that daemon: wait until it is up or send through another")
	// ErrBacklog is returned if the queue of messages to a daemon is full.
	ErrBacklog = errors.New("too much is queued for that daemon: drop the message or send it later")
	// ErrClosed is returned if this daemon has closed the hub or the connection.
	ErrClosed = errors.New("this daemon has closed the connection: use no closed hub or connection")
	// ErrCut is returned if a traffic connection ended without the peer's closing message.
	ErrCut = errors.New("connection ended without a goodbye: dial again and ask the peer what it received")
)

// errContested is returned if two incarnations claim one address, which then has to be dialled to find
// out which of them answers.
var errContested = errors.New("another daemon is connected under that address: see who answers there")

// SilentError is returned if a peer has sent nothing on a connection for longer than the limit.
type SilentError struct {
	Address string
	Limit   time.Duration
}

// Error names the peer, the limit and the remedy.
func (err *SilentError) Error() string {
	return fmt.Sprintf("nothing came from %s for %s: dial a new connection", err.Address, err.Limit)
}

// StuckError is returned if a peer has accepted no data on a connection for the limit.
type StuckError struct {
	Address string
	Limit   time.Duration
}

// Error names the peer, the limit and the remedy.
func (err *StuckError) Error() string {
	return fmt.Sprintf("%s took nothing for %s: dial a new connection", err.Address, err.Limit)
}

// explain returns a typed error if the cause is a deadline that has passed, and otherwise the cause
// itself.
func explain(cause error, address string, limits Limits) error {
	var failed *net.OpError
	if !errors.Is(cause, os.ErrDeadlineExceeded) || !errors.As(cause, &failed) {
		return cause
	}
	if failed.Op == "write" {
		return &StuckError{Address: address, Limit: limits.Write}
	}
	return &SilentError{Address: address, Limit: limits.Silence}
}

// SelfError is returned if an address leads to this daemon itself.
type SelfError struct {
	Address string
}

// Error names the address and the remedy.
func (err *SelfError) Error() string {
	return fmt.Sprintf("%s is this daemon itself: take it out of the seeds", err.Address)
}

// ReplacedError is returned if another incarnation has taken over a peer's address.
type ReplacedError struct {
	Incarnation yuccaid.Incarnation
}

// Error names the peer and the remedy.
func (err *ReplacedError) Error() string {
	return fmt.Sprintf("%s was replaced at its address: end the old process", err.Incarnation)
}
