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
	// ErrNoLink says that there is no control connection to a daemon.
	ErrNoLink = errors.New("no connection to that daemon: wait until it is up or send through another")
	// ErrBacklog says that too much already waits for a daemon.
	ErrBacklog = errors.New("too much is queued for that daemon: drop the message or send it later")
	// ErrClosed says that the hub or the connection was closed by this daemon.
	ErrClosed = errors.New("this daemon has closed the connection: use no closed hub or connection")
	// ErrCut says that a traffic connection ended without the peer's goodbye.
	ErrCut = errors.New("connection ended without a goodbye: dial again and ask the peer what it received")
)

// errContested says inside the hub that an address has to be dialled to see whose it is.
var errContested = errors.New("another daemon is connected under that address: see who answers there")

// SilentError says that a connection brought nothing for longer than its limit.
type SilentError struct {
	Address string
	Limit   time.Duration
}

// Error names the peer, the limit and the remedy.
func (err *SilentError) Error() string {
	return fmt.Sprintf("nothing came from %s for %s: dial a new connection", err.Address, err.Limit)
}

// StuckError says that a peer takes nothing off a connection.
type StuckError struct {
	Address string
	Limit   time.Duration
}

// Error names the peer, the limit and the remedy.
func (err *StuckError) Error() string {
	return fmt.Sprintf("%s took nothing for %s: dial a new connection", err.Address, err.Limit)
}

// explain returns the typed error for a deadline that passed, else the cause itself.
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

// SelfError says that an address leads back to this daemon.
type SelfError struct {
	Address string
}

// Error names the address and the remedy.
func (err *SelfError) Error() string {
	return fmt.Sprintf("%s is this daemon itself: take it out of the seeds", err.Address)
}

// ReplacedError says that a peer's address has since been taken over by a successor.
type ReplacedError struct {
	Incarnation yuccaid.Incarnation
}

// Error names the peer and the remedy.
func (err *ReplacedError) Error() string {
	return fmt.Sprintf("%s was replaced at its address: end the old process", err.Incarnation)
}
