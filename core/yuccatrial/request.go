package yuccatrial

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// fate is how a request ended for its caller.
type fate int

const (
	pending   fate = iota
	served         // whole and within the deadline
	late           // whole, after the deadline
	refused        // told before the deadline that it won't be served
	expired        // not told anything before the deadline
	preempted      // cancelled for a higher tier
)

// Request is one request of a workload. A policy knows Estimate; Answer is the truth.
type Request struct {
	ID         yuccaid.RequestID
	Account    yuccaid.Account
	Tier       yuccaid.Tier
	Rank       int
	Operation  yuccaid.Operation
	Idempotent bool
	Prompt     yuccaid.Tokens
	Shared     yuccaid.Tokens // of Prompt, the part that others share
	Answer     yuccaid.Tokens
	Estimate   yuccaid.Tokens
	Prefixes   []uint64
	Arrived    time.Time
	Deadline   time.Time
	Daemon     int

	home     *Pool
	engine   *Engine // set once it was dispatched
	job      *job
	fate     fate
	ended    time.Time
	back     time.Duration // the least that any refusal said
	comeback bool          // sent again after a refusal; not counted as offered
	asked    []*seat       // leaders that have not refused
	granted  *seat
	tried    int // other data centres that were asked
}

func (req *Request) ask(now time.Time) yuccaqueue.Request {
	return yuccaqueue.Request{
		ID: req.ID, Owner: req.home.daemons[req.Daemon], Account: req.Account, Tier: req.Tier, Rank: req.Rank,
		Pool: req.home.Name, Operation: req.Operation, Idempotent: req.Idempotent, Remaining: req.Deadline.Sub(now),
		Prompt: req.Prompt, Answer: req.Estimate, Prefixes: req.Prefixes, Centre: req.home.Centre,
	}
}

// waiting reports whether the request has neither been dispatched nor ended.
func (req *Request) waiting() bool {
	return req.fate == pending && req.engine == nil
}
