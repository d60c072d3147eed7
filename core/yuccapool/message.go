package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// Ask is a request that waits for a grant.
type Ask = yuccaqueue.Request

// Grant allows an owner to dispatch one request to one target.
//
// Expires counts from when the leader sent it. A grant that is used later would run
// on a slot which the leader may have given to somebody else.
type Grant struct {
	ID           yuccaid.RequestID    `msgpack:"id"`
	Owner        yuccaid.Incarnation  `msgpack:"owner"`
	Target       yuccaid.Target       `msgpack:"target"`
	ValidFor     time.Duration        `msgpack:"expires"`
	ConfigNumber yuccaid.ConfigNumber `msgpack:"number"`
	Leader       yuccaid.Incarnation  `msgpack:"leader"`
}

// Refusal is the final answer to an ask that gets no grant.
//
// Back is the time after which coming back makes sense; zero says that waiting won't
// help, since the deadline couldn't be met by an idle pool either.
type Refusal struct {
	ID         yuccaid.RequestID   `msgpack:"id"`
	Owner      yuccaid.Incarnation `msgpack:"owner"`
	Reason     yuccaqueue.Reason   `msgpack:"reason"`
	RetryAfter time.Duration       `msgpack:"back"`
}

// Cancel tells an owner to stop a running request.
type Cancel struct {
	ID         yuccaid.RequestID   `msgpack:"id"`
	Owner      yuccaid.Incarnation `msgpack:"owner"`
	Target     yuccaid.Target      `msgpack:"target"`
	Reason     yuccaqueue.Reason   `msgpack:"reason"`
	RetryAfter time.Duration       `msgpack:"back"`
}

// Decisions is what one event led to.
type Decisions struct {
	Grants   []Grant   `msgpack:"grants"`
	Refusals []Refusal `msgpack:"refusals"`
	Cancels  []Cancel  `msgpack:"cancels"`
}

// Empty reports whether there is nothing to send.
func (dec Decisions) Empty() bool {
	return len(dec.Grants)+len(dec.Refusals)+len(dec.Cancels) == 0
}

// Running is a run that an owner reports to a new leader.
type Running struct {
	Request  Ask            `msgpack:"ask"`
	Target   yuccaid.Target `msgpack:"target"`
	Answered yuccaid.Tokens `msgpack:"answered"`
}

// Progress is what an owner saw of a run: the first token ends its prefill.
//
// An owner sends one without tokens when it dispatches, one at the first token and
// some on the way; the more often, the sooner a straggler is found.
type Progress struct {
	ID         yuccaid.RequestID `msgpack:"id"`
	FirstToken bool              `msgpack:"firstToken"`
	Answered   yuccaid.Tokens    `msgpack:"answered"`
}

// Finished gives back a grant: the run has ended, or never began.
//
// Partial says that the answer was cut short, so that its length says nothing.
// Ran is false for a grant that was not used and for a refusal by the target
// (Refused), which says Leaving when it takes no more work at all.
type Finished struct {
	ID      yuccaid.RequestID `msgpack:"id"`
	Target  yuccaid.Target    `msgpack:"target"`
	Ran     bool              `msgpack:"ran"`
	Partial bool              `msgpack:"partial"`
	Refused bool              `msgpack:"refused"`
	Leaving bool              `msgpack:"leaving"`
	// Failed says that the target could not be reached or broke off.
	Failed  bool           `msgpack:"failed"`
	Prompt  yuccaid.Tokens `msgpack:"prompt"`
	Cached  yuccaid.Tokens `msgpack:"cached"`
	Answer  yuccaid.Tokens `msgpack:"answer"`
	Prefill time.Duration  `msgpack:"prefill"`
	Decode  time.Duration  `msgpack:"decode"`
}

// LoadReport is a target's own word on its load, Age ago.
type LoadReport struct {
	Target  yuccaid.Target `msgpack:"target"`
	Age     time.Duration  `msgpack:"age"`
	Waiting int            `msgpack:"waiting"`
	Running int            `msgpack:"running"`
	Queued  yuccaid.Tokens `msgpack:"queued"`
	Leaving bool           `msgpack:"leaving"`
}

// CacheEvent is a target's word on its prefix cache; Gap says that some were lost.
type CacheEvent struct {
	Target     yuccaid.Target `msgpack:"target"`
	Stored     []uint64       `msgpack:"stored"`
	Evicted    []uint64       `msgpack:"evicted"`
	EventsLost bool           `msgpack:"gap"`
}
