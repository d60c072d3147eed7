package yuccaid

import "time"

// Tokens counts tokens of a prompt or an answer.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// TokenRate is in tokens per second.
type TokenRate float64

// Duration returns how long n tokens take at the rate, and zero for a rate of zero.
func (r TokenRate) Duration(n Tokens) time.Duration {
	if r <= 0 {
		return 0
	}
	return time.Duration(float64(n) / float64(r) * float64(time.Second))
}
