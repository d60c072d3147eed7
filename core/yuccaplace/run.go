package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Run is one granted request on its target. High is how long its answer may well get.
type Run struct {
	ID           yuccaid.RequestID
	Operation    yuccaid.Operation
	Rank         int
	Cancellable  bool
	LongPrompt   bool
	Prompt       yuccaid.Tokens
	Cached       yuccaid.Tokens
	Answer       yuccaid.Tokens
	Answered     yuccaid.Tokens
	AnswerP90    yuccaid.Tokens
	Deadline     time.Time
	StartedAt    time.Time
	FirstTokenAt time.Time

	node    *TargetState
	atBegin reading
	atFirst reading
}

// Target returns where the run is.
func (run *Run) Target() yuccaid.Target {
	return run.node.Target.Name
}

// Prefilling reports whether the target still works on the prompt or hasn't begun.
func (run *Run) Prefilling() bool {
	return run.FirstTokenAt.IsZero()
}

func (run *Run) uncached() yuccaid.Tokens {
	return max(run.Prompt-run.Cached, 1)
}

// left is how many tokens of the answer may still have to come, at least one.
func (run *Run) left(now time.Time) float64 {
	done := float64(run.Answered)
	if !run.Prefilling() {
		done = max(done, float64(run.Answer)*min(run.pace(now), 1))
	}
	return max(float64(run.AnswerP90)-done, 1)
}

// pace is the part of the expected decoding time that has passed.
func (run *Run) pace(now time.Time) float64 {
	expected := run.node.decodeTime(float64(run.Answer), float64(len(run.node.runs)-1))
	return float64(now.Sub(run.FirstTokenAt)) / float64(max(expected, time.Millisecond))
}
