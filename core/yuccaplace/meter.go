package yuccaplace

import (
	"math"
	"time"
)

// meterReading is the state of a target's meter at one time: the sum of the decoding
// times of all answers, in seconds, and the time in seconds during which the target
// held at least one prompt whose prefill wasn't complete.
type meterReading struct {
	at            time.Time
	answerSeconds float64
	promptSeconds float64
}

// since returns, for the time between an earlier reading and this one, the mean number
// of answers that were decoded and the share of the time during which a prompt was
// present.
func (rd meterReading) since(before meterReading) (answers, promptShare float64) {
	span := rd.at.Sub(before.at).Seconds()
	if span <= 0 {
		return 0, 0
	}
	return (rd.answerSeconds - before.answerSeconds) / span, (rd.promptSeconds - before.promptSeconds) / span
}

// meter measures how busy a target was while a run was on it. Without the meter, a
// target that is merely full would be taken for a target that has become slow.
type meter struct {
	meterReading
	// recentShare is the share of recent time during which the target worked on a
	// prompt of each rank; the last entry counts all further ranks.
	recentShare [trackedRanks]float64
}

// promptShareUpTo returns the share of recent time that prompts of the rank and of
// higher tiers took. Prompts of lower tiers don't count, because they are kept off a
// target where they would make an answer of a higher tier late.
func (mt *meter) promptShareUpTo(rank int) float64 {
	sum := 0.0
	for _, share := range mt.recentShare[:meterIndex(rank)+1] {
		sum += share
	}
	return sum
}

// meterIndex returns the entry of recentShare that counts the rank.
func meterIndex(rank int) int {
	return min(max(rank, 0), trackedRanks-1)
}

// advance brings the meter up to the given time. It must be called before the target's
// runs change.
func (mt *meter) advance(now time.Time, state *TargetState) {
	elapsed := now.Sub(mt.at).Seconds()
	if mt.at.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	mt.at = now
	mt.answerSeconds += elapsed * float64(state.decoding())
	decay := math.Exp(-elapsed / meterSpan.Seconds())
	for at := range mt.recentShare {
		mt.recentShare[at] *= decay
	}
	if len(state.prefilling) > 0 {
		mt.promptSeconds += elapsed
		mt.recentShare[meterIndex(state.prefilling[0].Rank)] += 1 - decay
	}
}
