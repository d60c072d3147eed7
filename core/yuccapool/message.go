package yuccapool

import (
	"time"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaqueue"
)

// Request is a request that waits for a grant.
type Request = yuccaqueue.Request

// Grant allows an owner to dispatch one request to one target.
//
// ValidFor counts from when the leader sent the grant. The owner must not use the grant
// after that time, because the leader may have granted the slot to another request.
type Grant struct {
	ID           yuccaid.RequestID    `msgpack:"id"`
	Owner        yuccaid.Incarnation  `msgpack:"owner"`
	Target       yuccaid.Target       `msgpack:"target"`
	ValidFor     time.Duration        `msgpack:"expires"`
	ConfigNumber yuccaid.ConfigNumber `msgpack:"number"`
	Leader       yuccaid.Incarnation  `msgpack:"leader"`
}

// Refusal is the final answer to a request that gets no grant.
//
// RetryAfter is the time after which a retry makes sense. Zero means that waiting does
// not help: even an idle pool could not meet the deadline, or the account may use no
// target.
type Refusal struct {
	ID         yuccaid.RequestID   `msgpack:"id"`
	Owner      yuccaid.Incarnation `msgpack:"owner"`
	Reason     yuccaqueue.Reason   `msgpack:"reason"`
	RetryAfter time.Duration       `msgpack:"back"`
}

// Cancel asks an owner to stop a running request. RetryAfter is the time after which a
// retry makes sense.
type Cancel struct {
	ID         yuccaid.RequestID   `msgpack:"id"`
	Owner      yuccaid.Incarnation `msgpack:"owner"`
	Target     yuccaid.Target      `msgpack:"target"`
	Reason     yuccaqueue.Reason   `msgpack:"reason"`
	RetryAfter time.Duration       `msgpack:"back"`
}

// Decisions holds the messages that follow from one event.
type Decisions struct {
	Grants   []Grant   `msgpack:"grants"`
	Refusals []Refusal `msgpack:"refusals"`
	Cancels  []Cancel  `msgpack:"cancels"`
}

// Empty reports whether there is nothing to send.
func (dec Decisions) Empty() bool {
	return len(dec.Grants)+len(dec.Refusals)+len(dec.Cancels) == 0
}

// Running is a run that an owner reports to a new leader; Answered is the number of
// answer tokens received so far.
type Running struct {
	Request  Request        `msgpack:"ask"`
	Target   yuccaid.Target `msgpack:"target"`
	Answered yuccaid.Tokens `msgpack:"answered"`
}

// Progress is an owner's report on a run: FirstToken says that the prefill has ended,
// Answered how many answer tokens have been received.
//
// An owner sends a report without tokens when it dispatches the request, a second report at
// the first token, and further reports during the answer. The more often owners report, the
// sooner the leader detects a target that is a straggler.
type Progress struct {
	ID         yuccaid.RequestID `msgpack:"id"`
	FirstToken bool              `msgpack:"firstToken"`
	Answered   yuccaid.Tokens    `msgpack:"answered"`
}

// Finished gives back the slot of a grant because the run has finished or never started.
//
// Ran is false for a grant that was not used and for a request that the target refused
// (Refused). Leaving says that the target refused the request because it takes no more
// requests. Partial says that the answer was cut short, so that its length must not
// enter the estimates. Prefill and Decode are the times that these phases took. Prompt,
// Cached and Answer are numbers of tokens; Cached is the part of the prompt that the
// target's prefix cache held.
type Finished struct {
	ID      yuccaid.RequestID `msgpack:"id"`
	Target  yuccaid.Target    `msgpack:"target"`
	Ran     bool              `msgpack:"ran"`
	Partial bool              `msgpack:"partial"`
	Refused bool              `msgpack:"refused"`
	Leaving bool              `msgpack:"leaving"`
	// Failed says that the target could not be reached or broke the connection.
	Failed  bool           `msgpack:"failed"`
	Prompt  yuccaid.Tokens `msgpack:"prompt"`
	Cached  yuccaid.Tokens `msgpack:"cached"`
	Answer  yuccaid.Tokens `msgpack:"answer"`
	Prefill time.Duration  `msgpack:"prefill"`
	Decode  time.Duration  `msgpack:"decode"`
}

// LoadReport is a target's report on its load. Age is the time since the report was made.
//
// Waiting and Running are the numbers of requests that wait and run inside the target,
// whichever leader granted them; Queued is the number of tokens of the waiting ones.
// Leaving says that the target takes no more requests.
type LoadReport struct {
	Target  yuccaid.Target `msgpack:"target"`
	Age     time.Duration  `msgpack:"age"`
	Waiting int            `msgpack:"waiting"`
	Running int            `msgpack:"running"`
	Queued  yuccaid.Tokens `msgpack:"queued"`
	Leaving bool           `msgpack:"leaving"`
}

// CacheEvent reports blocks that a target's prefix cache stored and evicted, by hash.
// EventsLost says that earlier events were lost.
type CacheEvent struct {
	Target     yuccaid.Target `msgpack:"target"`
	Stored     []uint64       `msgpack:"stored"`
	Evicted    []uint64       `msgpack:"evicted"`
	EventsLost bool           `msgpack:"gap"`
}
