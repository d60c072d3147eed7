package yuccaid

import "time"

// Tokens is a number of tokens of a prompt or an answer.
type Tokens int64

// Bytes is a size in bytes.
type Bytes int64

// TokenRate is a rate in tokens per second.
type TokenRate float64

// Duration returns how long count tokens take at the rate, and zero if the rate isn't
// positive.
func (rate TokenRate) Duration(count Tokens) time.Duration {
	if rate <= 0 {
		return 0
	}
	return time.Duration(float64(count) / float64(rate) * float64(time.Second))
}
