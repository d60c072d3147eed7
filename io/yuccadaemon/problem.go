package yuccadaemon

import (
	"fmt"
	"time"

	"yuccacleat/core/yuccaonce"
)

// Kind names what is wrong with a caller's request.
type Kind string

// The kinds of problems that callers are told.
const (
	KindMalformed    Kind = "malformed"
	KindTooLarge     Kind = "tooLarge"
	KindCredential   Kind = "credential"
	KindUnknownID    Kind = "unknownRequest"
	KindUnknownPool  Kind = "unknownPool"
	KindUnknownTier  Kind = "unknownTier"
	KindUnknownOp    Kind = "unknownOperation"
	KindDeadline     Kind = "deadline"
	KindConflict     Kind = "conflict"
	KindExpired      Kind = "expired"
	KindNotReady     Kind = "notReady"
	KindLeaving      Kind = "leaving"
	KindOwnerLost    Kind = "ownerLost"
	KindBusy         Kind = "busy"
	KindRefused      Kind = "refused"
	KindAnswerGone   Kind = "answerGone"
	KindUnknownState Kind = "unknownOutcome"
)

// remedies tell a caller what to do about each kind.
var remedies = map[Kind]string{
	KindMalformed:    "send JSON with pool, operation, tier and deadlineMillis, as the README shows",
	KindTooLarge:     "send a body below the limit that the daemon's settings name",
	KindCredential:   "send the client account's secret as a bearer token",
	KindUnknownID:    "use the id that opening returned, with the account that opened it",
	KindUnknownPool:  "name a pool that the account may use",
	KindUnknownTier:  "name a tier that the account may use",
	KindUnknownOp:    "name an operation that the pool serves",
	KindDeadline:     "give a deadline in the future, in milliseconds from now",
	KindConflict:     "submit an id only with the body, pool and operation it was first submitted with",
	KindExpired:      "open a new request, this id's lifetime is over",
	KindNotReady:     "ask another daemon, this one has just started or was paused and does not serve yet",
	KindLeaving:      "ask another daemon, this one is shutting down",
	KindOwnerLost:    "the daemon that owned the request is gone: open a new one only if running twice does no harm",
	KindBusy:         "come back after the time given",
	KindRefused:      "come back after the time given",
	KindAnswerGone:   "the request ran and its answer is no longer kept: open a new one if its text is needed",
	KindUnknownState: "the request may have run: open a new one only if running twice does no harm",
}

// Problem is an error that a caller is told, with what became of the request.
type Problem struct {
	Kind   Kind
	Detail string
	Run    yuccaonce.Run
	Back   time.Duration
}

// Error names the problem and its remedy.
func (prob *Problem) Error() string {
	if prob.Detail == "" {
		return fmt.Sprintf("%s: %s", prob.Kind, prob.Remedy())
	}
	return fmt.Sprintf("%s: %s: %s", prob.Kind, prob.Detail, prob.Remedy())
}

// Remedy says what a caller can do.
func (prob *Problem) Remedy() string {
	return remedies[prob.Kind]
}

// notRun is a problem with a request of which no byte went to any target.
func notRun(kind Kind, detail string) *Problem {
	return &Problem{Kind: kind, Detail: detail, Run: yuccaonce.NotRun}
}
