package yuccayaml

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

var (
	// ErrSyntax says that a file is not the kind of YAML that is read here.
	ErrSyntax = errors.New("syntax")
	// ErrUnknownKey says that a key has no meaning where it stands.
	ErrUnknownKey = errors.New("unknown key")
	// ErrTwice says that a key or an item stands twice.
	ErrTwice = errors.New("given twice")
	// ErrUnit says that a quantity has no unit or a wrong one.
	ErrUnit = errors.New("unit")
	// ErrValue says that a value is of the wrong form or out of its range.
	ErrValue = errors.New("value")
)

// shownProblems bounds an error's text; a file of another kind altogether would
// otherwise fill the log with one line for each of its keys.
const shownProblems = 50

// Problem is one mistake in a file, with the place and the remedy.
type Problem struct {
	Kind   error
	Line   int
	Key    string
	Detail string
	Remedy string
}

// Error tells the place, what is wrong and what to do.
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

// Problems is every mistake that was found in one file.
type Problems []*Problem

// Error lists the problems, one a line.
func (probs Problems) Error() string {
	var lines []string
	for _, prob := range probs[:min(len(probs), shownProblems)] {
		lines = append(lines, prob.Error())
	}
	if more := len(probs) - shownProblems; more > 0 {
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

// Sort orders the problems by place, so that the same mistakes read the same on every
// daemon whatever the order in which its maps were walked.
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

// Err returns the problems in order as an error, or nil if there are none.
func (probs Problems) Err() error {
	if len(probs) == 0 {
		return nil
	}
	probs.Sort()
	return probs
}

// Lines maps a dotted key such as "listen.peer" to the line on which it stands.
type Lines map[string]int

// Of returns the line of the key or of the nearest key around it, and 0 if neither
// is known.
func (lines Lines) Of(key string) int {
	for key != "" {
		if line, ok := lines[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexByte(key, '.'), 0)]
	}
	return 0
}
