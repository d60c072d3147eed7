package yuccaonce

import (
	"crypto/sha256"

	"yuccacleat/core/yuccaid"
)

// stage is a request's progress; it only increases.
type stage uint8

const (
	opened     stage = iota // issued, not submitted
	waiting                 // submitted, not dispatched
	dispatched              // sent to a target, or about to be
	closed                  // outcome recorded
)

// fingerprint is a digest of a submission; it takes less memory than the submission.
type fingerprint [16]byte

// record is the stored state of one request.
type record struct {
	account       yuccaid.Account
	issued        int64  // Unix milliseconds on the owner's clock
	counter       uint64 // set once the record is overdue
	next          uint64 // counter of the same account's next record
	submission    fingerprint
	target        yuccaid.Target
	outcome       Outcome
	stage         stage
	hasSubmission bool // whether submission is set
}

// close stores the outcome and clears the target, which isn't needed any more.
func (rec *record) close(out Outcome) {
	rec.outcome = out
	rec.target = ""
}

// currentOutcome returns what may be reported to a caller at present.
func (rec *record) currentOutcome() Outcome {
	switch rec.stage {
	case opened, waiting:
		return Outcome{Run: RunWaiting}
	case dispatched:
		return Outcome{Run: RunRunning}
	default:
		return rec.outcome
	}
}

// Submission is a request as its caller submits it. Tier and Idempotent of the first
// submission apply, even if a later submission under the same id differs in these
// fields. Such a difference is no conflict, because the later submission may come
// through a daemon with another configuration.
type Submission struct {
	Account    yuccaid.Account
	Pool       yuccaid.Pool
	Operation  yuccaid.Operation
	Tier       yuccaid.Tier
	Body       yuccaid.Digest
	Idempotent bool
}

// fingerprint returns a digest of the pool, operation and body, which must be equal in
// all submissions under one id.
func (submission Submission) fingerprint() fingerprint {
	// The names contain no zero byte, so different submissions give different texts.
	joined := string(submission.Pool) + "\x00" + string(submission.Operation) + "\x00" + string(submission.Body)
	sum := sha256.Sum256([]byte(joined))
	return fingerprint(sum[:len(fingerprint{})])
}
