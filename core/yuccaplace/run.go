package yuccaplace

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// Run is one granted request on its target. Lengths are in tokens: Cached is the part
// of the prompt that the target was expected to hold, Answer the expected length of the
// answer, AnswerP90 the 90th percentile of that length, and Answered the number of
// tokens received so far.
type Run struct {
	ID           yuccaid.RequestID
	Operation    yuccaid.Operation
	Rank         int  // of the tier; 0 is the top tier
	Cancellable  bool // may be cancelled for a request of a higher tier
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

// Prefilling reports whether the first token of the answer hasn't been received yet.
func (run *Run) Prefilling() bool {
	return run.FirstTokenAt.IsZero()
}

// uncached returns how many prompt tokens the target has to compute, at least one.
func (run *Run) uncached() yuccaid.Tokens {
	return max(run.Prompt-run.Cached, 1)
}

// tokensLeft returns how many tokens are still to be decoded if the answer has the
// length AnswerP90, at least one. The tokens already decoded are taken to be the larger
// of two numbers: the tokens received, and the tokens that the time since the first
// token predicts.
func (run *Run) tokensLeft(now time.Time) float64 {
	done := float64(run.Answered)
	if !run.Prefilling() {
		done = max(done, float64(run.Answer)*min(run.decodeProgress(now), 1))
	}
	return max(float64(run.AnswerP90)-done, 1)
}

// decodeProgress returns the time since the first token as a fraction of the expected
// decoding time; it may exceed 1.
func (run *Run) decodeProgress(now time.Time) float64 {
	expected := run.state.decodeTime(float64(run.Answer), float64(len(run.state.runs)-1))
	return float64(now.Sub(run.FirstTokenAt)) / float64(max(expected, time.Millisecond))
}
