package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Run is one granted request on its target. Answer is the expected length of its
// answer, AnswerP90 the 90th percentile, and Answered the number of tokens that have
// come so far.
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

	state             *TargetState
	meterAtStart      meterReading
	meterAtFirstToken meterReading
}

// Target returns the name of the target that the run is on.
func (run *Run) Target() yuccaid.Target {
	return run.state.Target.Name
}

// Prefilling reports whether the first token of the answer hasn't come yet.
func (run *Run) Prefilling() bool {
	return run.FirstTokenAt.IsZero()
}

func (run *Run) uncached() yuccaid.Tokens {
	return max(run.Prompt-run.Cached, 1)
}

// tokensLeft returns how many tokens of the answer may still have to come, at least
// one.
func (run *Run) tokensLeft(now time.Time) float64 {
	done := float64(run.Answered)
	if !run.Prefilling() {
		done = max(done, float64(run.Answer)*min(run.decodeProgress(now), 1))
	}
	return max(float64(run.AnswerP90)-done, 1)
}

// decodeProgress returns the fraction of the expected decoding time that has passed.
func (run *Run) decodeProgress(now time.Time) float64 {
	expected := run.state.decodeTime(float64(run.Answer), float64(len(run.state.runs)-1))
	return float64(now.Sub(run.FirstTokenAt)) / float64(max(expected, time.Millisecond))
}
