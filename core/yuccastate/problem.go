package yuccastate

import (
	"errors"
	"fmt"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

var (
	// ErrNumber means that a note's number is not the accepted number plus one.
	ErrNumber = errors.New("number is not the next")
	// ErrBase means that a note was written against a configuration other than the
	// accepted one.
	ErrBase = errors.New("wrong base")
	// ErrReference means that an object refers to another object that does not exist,
	// that a link's region has no data centre, or that an account lists a target whose
	// pool the account doesn't list.
	ErrReference = errors.New("unknown reference")
	// ErrInUse means that a note withdraws an object to which another object still
	// refers.
	ErrInUse = errors.New("still referenced")
	// ErrDuplicate means that a note adds an object that exists already.
	ErrDuplicate = errors.New("exists already")
	// ErrAbsent means that a note changes or withdraws an object that does not exist.
	ErrAbsent = errors.New("does not exist")
	// ErrKey means that the key of a note or baseline part in the platform's store is
	// malformed, or that a note was published under the key of another number.
	ErrKey = errors.New("wrong key")
	// ErrContentChanged means that another content was offered under the key of an
	// accepted note.
	ErrContentChanged = errors.New("content of an accepted note changed")
	// ErrForked means that this daemon and another one accepted different contents
	// under the same number.
	ErrForked = errors.New("two configurations with one number")
	// ErrNotHigher means that a snapshot's number is lower than the accepted number.
	ErrNotHigher = errors.New("snapshot is not higher")
	// ErrDigest means that a snapshot does not have the digest announced for it.
	ErrDigest = errors.New("digest does not match")
	// ErrParts means that the given parts are not a complete baseline with each part
	// exactly once.
	ErrParts = errors.New("baseline is incomplete")
	// ErrUndecodable means that a snapshot can't be decoded or is of another version.
	ErrUndecodable = errors.New("garbled")
)

// kindsByPrecedence lists the kinds of problem. If a refusal has problems of several
// kinds, Reason returns the text of the kind that comes first here.
var kindsByPrecedence = []error{
	ErrContentChanged, ErrForked, ErrKey, ErrNumber, ErrBase, ErrNotHigher, ErrDigest, ErrParts, ErrUndecodable,
	yuccayaml.ErrSyntax, yuccayaml.ErrUnknownKey, yuccayaml.ErrTwice, yuccayaml.ErrUnit,
	ErrDuplicate, ErrAbsent, ErrInUse, ErrReference, yuccayaml.ErrValue,
}

// Reason returns the text of the kind of a refusal's problems, for the audit trail. The
// text is the same on every daemon. Reason returns "" for an error of none of the
// kinds.
func Reason(err error) string {
	for _, kind := range kindsByPrecedence {
		if errors.Is(err, kind) {
			return kind.Error()
		}
	}
	return ""
}

// Refusal is the error for a note or a snapshot that was not accepted; it wraps each
// problem that was found.
type Refusal struct {
	Number   yuccaid.ConfigNumber
	Problems yuccayaml.Problems
}

// Error returns the note's number and its problems, one a line.
func (ref *Refusal) Error() string {
	return fmt.Sprintf("note %d is refused:\n%s", ref.Number, ref.Problems.Error())
}

// Unwrap returns the problems for errors.Is and errors.As.
func (ref *Refusal) Unwrap() []error {
	return ref.Problems.Unwrap()
}

func newRefusal(number yuccaid.ConfigNumber, kind error, key, remedy, detail string, args ...any) *Refusal {
	prob := &yuccayaml.Problem{Kind: kind, Key: key, Detail: fmt.Sprintf(detail, args...), Remedy: remedy}
	return &Refusal{Number: number, Problems: yuccayaml.Problems{prob}}
}
