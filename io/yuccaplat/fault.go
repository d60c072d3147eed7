package yuccaplat

import (
	"errors"
	"fmt"
)

var (
	// ErrUnreachable says that no answer came.
	ErrUnreachable = errors.New("unreachable")
	// ErrLimited says that the service refused the call for its rate.
	ErrLimited = errors.New("rate limited")
	// ErrNotFound says that the key has no value.
	ErrNotFound = errors.New("not found")
	// ErrRefused says that the service answered with another status than 200.
	ErrRefused = errors.New("refused")
	// ErrGarbled says that the answer can't be read.
	ErrGarbled = errors.New("garbled")
)

// Fault is a failed call; Kind is one of the package's errors.
type Fault struct {
	Kind   error
	Path   string
	Status int
	Detail string
	Remedy string
}

// Error tells which call failed, how, and what to do.
func (fault *Fault) Error() string {
	return fmt.Sprintf("platform %s: %v: %s: %s", fault.Path, fault.Kind, fault.Detail, fault.Remedy)
}

// Unwrap returns the kind.
func (fault *Fault) Unwrap() error {
	return fault.Kind
}

// remedies tells operators what to look at for each kind of fault.
var remedies = map[error]string{
	ErrUnreachable: "check the platform setting and the service; the daemon goes on with what it has",
	ErrLimited:     "the daemon backs off by itself; look for other readers if it stays",
	ErrNotFound:    "publish the key",
	ErrRefused:     "check the service's own log",
	ErrGarbled:     "check that the platform setting names the platform's service",
}

func newFault(kind error, path string, status int, detail string) *Fault {
	return &Fault{Kind: kind, Path: path, Status: status, Detail: detail, Remedy: remedies[kind]}
}
