package yuccaonce

import (
	"crypto/sha256"

	"yuccacleat/core/yuccaid"
)

// stage is how far a request has come; it only ever grows.
type stage uint8

const (
	opened stage = iota
	waiting
	dispatched
	closed
)

// fingerprint stands for what was submitted, in less memory than the parts.
type fingerprint [16]byte

// record is what the owner keeps of one request.
type record struct {
	account yuccaid.Account
	issued  int64  // Unix milliseconds on the owner's clock
	counter uint64 // set once the record is overdue
	next    uint64 // the same account's following record
	claim   fingerprint
	target  yuccaid.Target
	outcome Outcome
	stage   stage
	known   bool // claim is set
}

func (rec *record) close(out Outcome) {
	rec.outcome = out
	rec.target = ""
}

// state returns what a caller may be told at present.
func (rec *record) state() Outcome {
	switch rec.stage {
	case opened, waiting:
		return Outcome{Run: RunWaiting}
	case dispatched:
		return Outcome{Run: RunRunning}
	default:
		return rec.outcome
	}
}

// Submission is what a submit says of a request; Tier and Idempotent of the first submit
// stand, since a second may come by a daemon with another configuration.
type Submission struct {
	Account    yuccaid.Account
	Pool       yuccaid.Pool
	Operation  yuccaid.Operation
	Tier       yuccaid.Tier
	Body       yuccaid.Digest
	Idempotent bool
}

// fingerprint digests what must be the same in each submit under one id.
func (claim Submission) fingerprint() fingerprint {
	// The names hold no zero byte, so no two claims join to the same text.
	joined := string(claim.Pool) + "\x00" + string(claim.Operation) + "\x00" + string(claim.Body)
	sum := sha256.Sum256([]byte(joined))
	return fingerprint(sum[:len(fingerprint{})])
}
