package yuccagate

import (
	"time"

	"yuccacleat/core/yuccaid"
)

// answerRepeatAfter is how long a configuration or a list of targets that was sent to a peer counts as
// under way. A connection that has gone silent is replaced sooner.
const answerRepeatAfter = 1500 * time.Millisecond

// sentAnswers holds the last answer to each connected peer that has requested a configuration or the
// targets.
//
// A peer that gets no answer repeats its request after pullInterval, and on a slow link a large answer
// takes longer. If each request were answered, the link would fill with copies, and what is queued
// behind them, such as heartbeats, would arrive late.
type sentAnswers map[yuccaid.Incarnation]sentAnswer

// sentAnswer is the number of the configuration or the revision of the targets that was sent, and when.
type sentAnswer struct {
	number uint64
	at     time.Time
}

// underWay reports whether a peer that has everything up to a number is still to receive an answer.
func (sent sentAnswers) underWay(now time.Time, peer yuccaid.Incarnation, have uint64) bool {
	last, found := sent[peer]
	return found && have < last.number && now.Sub(last.at) < answerRepeatAfter
}
