package yuccayaml

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

var (
	// ErrSyntax means that a file is not valid YAML or uses parts of YAML that are not
	// supported, such as aliases.
	ErrSyntax = errors.New("syntax")
	// ErrUnknownKey means that a mapping has a key that is not defined for it.
	ErrUnknownKey = errors.New("unknown key")
	// ErrTwice means that a key, an item or a unique value is given twice.
	ErrTwice = errors.New("given twice")
	// ErrUnit means that a quantity lacks its unit, has a wrong unit, or has a unit
	// where no unit belongs.
	ErrUnit = errors.New("unit")
	// ErrValue means that a value is of the wrong type or out of range.
	ErrValue = errors.New("value")
)

// maxShownProblems bounds the number of problems in an error's text, because without a
// bound a file of another format would add a line to the log for each of its keys.
const maxShownProblems = 50

// Problem is one mistake in a file. Kind is one of the sentinel errors, Key is dotted as
// in "listen.peer", Line is 0 if it is unknown, Detail says what is wrong, and Remedy what
// to write instead.
type Problem struct {
	Kind   error
	Line   int
	Key    string
	Detail string
	Remedy string
}

// Error returns the line, the key, the mistake and the remedy.
func (prob *Problem) Error() string {
	var text strings.Builder
	if prob.Line > 0 {
		fmt.Fprintf(&text, "line %d: ", prob.Line)
	}
	if prob.Key != "" {
		text.WriteString(prob.Key + ": ")
	}
	text.WriteString(prob.Detail)
	if prob.Remedy != "" {
		text.WriteString(": " + prob.Remedy)
	}
	return text.String()
}

// Unwrap returns the problem's kind.
func (prob *Problem) Unwrap() error {
	return prob.Kind
}

// Problems holds all mistakes that were found in one file.
type Problems []*Problem

// Error returns the problems, one a line, up to maxShownProblems.
func (probs Problems) Error() string {
	var lines []string
	for _, prob := range probs[:min(len(probs), maxShownProblems)] {
		lines = append(lines, prob.Error())
	}
	if more := len(probs) - maxShownProblems; more > 0 {
		lines = append(lines, fmt.Sprintf("and %d more: mend these first", more))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems for errors.Is and errors.As.
func (probs Problems) Unwrap() []error {
	all := make([]error, len(probs))
	for i, prob := range probs {
		all[i] = prob
	}
	return all
}

// Sort sorts the problems by line and key, so that the error for the same mistakes is the
// same on every daemon, independent of Go's order of map iteration.
func (probs Problems) Sort() {
	slices.SortFunc(probs, func(a, b *Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Key, b.Key),
			cmp.Compare(a.Detail, b.Detail),
			cmp.Compare(a.Remedy, b.Remedy),
		)
	})
}

// Err returns the problems, sorted, as an error, or nil if there are none.
func (probs Problems) Err() error {
	if len(probs) == 0 {
		return nil
	}
	probs.Sort()
	return probs
}

// Lines holds the line of each dotted key, such as "listen.peer".
type Lines map[string]int

// Of returns the line of the key or, if this line is unknown, the line of the nearest
// enclosing key whose line is known. It returns 0 if there is no such key.
func (lines Lines) Of(key string) int {
	for key != "" {
		if line, ok := lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}
	return 0
}
