package yuccastate

import (
	"errors"
	"fmt"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

var (
	// ErrNumber says that a note's number does not follow the accepted one.
	ErrNumber = errors.New("number is not the next")
	// ErrBase says that a note builds on another configuration than the accepted one.
	ErrBase = errors.New("wrong base")
	// ErrReference says that an object names another that does not exist.
	ErrReference = errors.New("unknown reference")
	// ErrInUse says that a note withdraws what another object still names.
	ErrInUse = errors.New("still referenced")
	// ErrDuplicate says that a note adds what exists.
	ErrDuplicate = errors.New("exists already")
	// ErrAbsent says that a note changes or withdraws what does not exist.
	ErrAbsent = errors.New("does not exist")
	// ErrKey says that a note was published under another number's key.
	ErrKey = errors.New("wrong key")
	// ErrContentChanged says that the content of an accepted note's key was replaced.
	ErrContentChanged = errors.New("content of an accepted note changed")
	// ErrForked says that another daemon accepted another content of the same number.
	ErrForked = errors.New("two configurations with one number")
	// ErrNotHigher says that a snapshot is not newer than what is accepted.
	ErrNotHigher = errors.New("snapshot is not higher")
	// ErrDigest says that a snapshot's content is not what its digest promises.
	ErrDigest = errors.New("digest does not match")
	// ErrParts says that the parts of a baseline don't make up a whole.
	ErrParts = errors.New("baseline is incomplete")
	// ErrGarbled says that bytes don't hold what they should.
	ErrGarbled = errors.New("garbled")
)

// reasons names the kinds of problem in the audit trail, the most telling first.
var reasons = []error{
	ErrContentChanged, ErrForked, ErrKey, ErrNumber, ErrBase, ErrNotHigher, ErrDigest, ErrParts, ErrGarbled,
	yuccayaml.ErrSyntax, yuccayaml.ErrUnknownKey, yuccayaml.ErrTwice, yuccayaml.ErrUnit,
	ErrDuplicate, ErrAbsent, ErrInUse, ErrReference, yuccayaml.ErrValue,
}

// Reason returns the kind of a refusal, the same on every daemon, and "" for errors
// of other packages.
func Reason(err error) string {
	for _, kind := range reasons {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return ""
}

// Refusal is why a note was not accepted; it wraps each problem that was found.
type Refusal struct {
	Number   yuccaid.ConfigNumber
	Problems yuccayaml.Problems
}

// Error names the note and lists its problems.
func (ref *Refusal) Error() string {
	return fmt.Sprintf("note %d is refused:\n%s", ref.Number, ref.Problems.Error())
}

// Unwrap returns the problems for errors.Is and errors.As.
func (ref *Refusal) Unwrap() []error {
	return ref.Problems.Unwrap()
}

func refuse(number yuccaid.ConfigNumber, kind error, key, remedy, detail string, args ...any) *Refusal {
	prob := &yuccayaml.Problem{Kind: kind, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	return &Refusal{Number: number, Problems: yuccayaml.Problems{prob}}
}
