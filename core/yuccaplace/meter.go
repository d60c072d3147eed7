package yuccaplace

import (
	"math"
	"time"
)

// reading is what a target's meter shows at one time: the seconds that answers have
// been decoded, summed over answers, and the seconds that a prompt was there.
type reading struct {
	at      time.Time
	answers float64
	prompts float64
}

// since returns the mean number of answers and the part of the time with a prompt
// between two readings.
func (rd reading) since(before reading) (answers, prompts float64) {
	span := rd.at.Sub(before.at).Seconds()
	if span <= 0 {
		return 0, 0
	}
	return (rd.answers - before.answers) / span, (rd.prompts - before.prompts) / span
}

// meter knows how busy a target was while a run was there. Without it a target that is
// merely full would pass for one that has become slow.
type meter struct {
	reading
	// lately is the part of the time that a prompt of each rank was there lately, the
	// last one standing for all ranks that follow.
	lately [meterRanks]float64
}

// promptsTo is the part of the time that prompts of the rank and above take. Those of
// lower tiers don't count: they are kept off a target where they would make an answer
// of a higher tier late.
func (mt *meter) promptsTo(rank int) float64 {
	sum := 0.0
	for _, part := range mt.lately[:meterRank(rank)+1] {
		sum += part
	}
	return sum
}

func meterRank(rank int) int {
	return min(max(rank, 0), meterRanks-1)
}

func (mt *meter) advance(now time.Time, node *TargetState) {
	span := now.Sub(mt.at).Seconds()
	if mt.at.IsZero() || span < 0 {
		span = 0
	}
	mt.at = now
	mt.answers += span * float64(node.decoding())
	gone := math.Exp(-span / meterSpan.Seconds())
	for at := range mt.lately {
		mt.lately[at] *= gone
	}
	if len(node.prefilling) > 0 {
		mt.prompts += span
		mt.lately[meterRank(node.prefilling[0].Rank)] += 1 - gone
	}
}
