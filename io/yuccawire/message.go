package yuccawire

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// NotePull asks a peer for accepted release notes, or for its whole configuration.
type NotePull struct {
	Numbers  []yuccaid.ConfigNumber `msgpack:"numbers"`
	Snapshot bool                   `msgpack:"snapshot"`
}

// Notes carries accepted release notes as they were published, in order.
type Notes struct {
	Notes []RawNote `msgpack:"notes"`
}

// RawNote is one published release note.
type RawNote struct {
	Number yuccaid.ConfigNumber `msgpack:"number"`
	Raw    []byte               `msgpack:"raw"`
}

// Snapshot is part of an encoded configuration.
type Snapshot struct {
	Number yuccaid.ConfigNumber `msgpack:"number"`
	Digest yuccaid.Digest       `msgpack:"digest"`
	Part   int                  `msgpack:"part"`
	Parts  int                  `msgpack:"parts"`
	Raw    []byte               `msgpack:"raw"`
}

// Submission brings a request to the daemon that opened it.
type Submission struct {
	ID             yuccaid.RequestID `msgpack:"id"`
	Account        yuccaid.Account   `msgpack:"account"`
	Pool           yuccaid.Pool      `msgpack:"pool"`
	Operation      yuccaid.Operation `msgpack:"operation"`
	Tier           yuccaid.Tier      `msgpack:"tier"`
	DeadlineMillis int64             `msgpack:"deadlineMillis"`
	Prompt         string            `msgpack:"prompt"`
	AnswerTokens   yuccaid.Tokens    `msgpack:"answerTokens"`
}

// Follow asks the owner for an answer from a position on, or only for the outcome.
type Follow struct {
	ID          yuccaid.RequestID `msgpack:"id"`
	Account     yuccaid.Account   `msgpack:"account"`
	From        int               `msgpack:"from"`
	OutcomeOnly bool              `msgpack:"outcomeOnly"`
}

// Abort asks the owner to end a request.
type Abort struct {
	ID      yuccaid.RequestID `msgpack:"id"`
	Account yuccaid.Account   `msgpack:"account"`
}

// Piece is one part of an answer on its way to a forwarder.
type Piece struct {
	ID       yuccaid.RequestID `msgpack:"id"`
	Position int               `msgpack:"position"`
	Data     []byte            `msgpack:"data"`
}

// End tells a forwarder how a request ended, or why it was not taken.
type End struct {
	ID      yuccaid.RequestID `msgpack:"id"`
	Outcome yuccaonce.Outcome `msgpack:"outcome"`
	Problem string            `msgpack:"problem"`
	Detail  string            `msgpack:"detail"`
}
