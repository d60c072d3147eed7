package yuccawire

import (
	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccaonce"
)

// The messages between daemons, by role.
const (
	// KindOffer carries an Offer from an owner to a pool's leader.
	KindOffer Kind = iota + 16
	// KindWithdraw carries a Withdrawal from an owner to a pool's leader.
	KindWithdraw
	// KindProgress carries a Progress from an owner to a pool's leader.
	KindProgress
	// KindFinished carries a Finished from an owner to a pool's leader.
	KindFinished
	// KindHold carries a Hold from an owner to a new leader.
	KindHold
	// KindGrant carries a Grant from a leader to an owner.
	KindGrant
	// KindRefusal carries a Refusal from a leader to an owner.
	KindRefusal
	// KindCancel carries a Cancel from a leader to an owner.
	KindCancel
	// KindNotLeader carries a NotLeader from a daemon that was taken for a leader.
	KindNotLeader
	// KindNotePull carries a NotePull to a peer with a newer configuration.
	KindNotePull
	// KindNotes carries Notes in answer to a NotePull.
	KindNotes
	// KindSnapshot carries a Snapshot in answer to a NotePull that reaches too far back.
	KindSnapshot
	// KindSubmit carries a Submission to a request's owner on a traffic connection.
	KindSubmit
	// KindPiece carries a piece of an answer to a forwarder.
	KindPiece
	// KindEnd carries an End, after which the answer is over.
	KindEnd
	// KindFollow carries a Follow, which asks for an answer or an outcome.
	KindFollow
	// KindAbort carries an Abort, with which a caller gives up a request.
	KindAbort
)

// NotePull asks a peer for accepted release notes, or for its whole configuration.
type NotePull struct {
	Numbers  []yuccaid.Number `msgpack:"numbers"`
	Snapshot bool             `msgpack:"snapshot"`
}

// Notes carries accepted release notes as they were published, in order.
type Notes struct {
	Notes []RawNote `msgpack:"notes"`
}

// RawNote is one published release note.
type RawNote struct {
	Number yuccaid.Number `msgpack:"number"`
	Raw    []byte         `msgpack:"raw"`
}

// Snapshot is part of an encoded configuration.
type Snapshot struct {
	Number yuccaid.Number `msgpack:"number"`
	Digest yuccaid.Digest `msgpack:"digest"`
	Part   int            `msgpack:"part"`
	Parts  int            `msgpack:"parts"`
	Raw    []byte         `msgpack:"raw"`
}

// Submission brings a request to the daemon that opened it.
type Submission struct {
	ID             yuccaid.RequestText `msgpack:"id"`
	Account        yuccaid.Account     `msgpack:"account"`
	Pool           yuccaid.Pool        `msgpack:"pool"`
	Operation      yuccaid.Operation   `msgpack:"operation"`
	Tier           yuccaid.Tier        `msgpack:"tier"`
	DeadlineMillis int64               `msgpack:"deadlineMillis"`
	Prompt         string              `msgpack:"prompt"`
	AnswerTokens   yuccaid.Tokens      `msgpack:"answerTokens"`
}

// Follow asks the owner for an answer from a position on, or only for the outcome.
type Follow struct {
	ID          yuccaid.RequestText `msgpack:"id"`
	Account     yuccaid.Account     `msgpack:"account"`
	From        int                 `msgpack:"from"`
	OutcomeOnly bool                `msgpack:"outcomeOnly"`
}

// Abort asks the owner to end a request.
type Abort struct {
	ID      yuccaid.RequestText `msgpack:"id"`
	Account yuccaid.Account     `msgpack:"account"`
}

// Piece is one part of an answer on its way to a forwarder.
type Piece struct {
	ID       yuccaid.RequestText `msgpack:"id"`
	Position int                 `msgpack:"position"`
	Data     []byte              `msgpack:"data"`
}

// End tells a forwarder how a request ended, or why it was not taken.
type End struct {
	ID      yuccaid.RequestText `msgpack:"id"`
	Outcome yuccaonce.Outcome   `msgpack:"outcome"`
	Problem string              `msgpack:"problem"`
	Detail  string              `msgpack:"detail"`
}
