package yuccaplace

import "time"

// typical is what a request of a tier looked like lately.
type typical struct {
	prompt float64
	answer float64
	slack  float64
	seen   time.Time
}

// arrived takes a request into the picture of its tier.
func (fleet *Placer) arrived(now time.Time, shape *Request, uncached float64) {
	if shape.Rank < 0 || shape.Rank >= meterRanks {
		return
	}
	typ := &fleet.typical[shape.Rank]
	if typ.seen.IsZero() {
		*typ = typical{prompt: uncached, answer: float64(shape.AnswerP90), slack: shape.Deadline.Sub(now).Seconds()}
	}
	typ.prompt += typicalWeight * (uncached - typ.prompt)
	typ.answer += typicalWeight * (float64(shape.AnswerP90) - typ.answer)
	typ.slack += typicalWeight * (shape.Deadline.Sub(now).Seconds() - typ.slack)
	typ.seen = now
}

// crowdsOut reports whether the request would close a target to the next request of a
// higher tier.
//
// Made for engines whose answers slow one another: a target that is full of letters
// still has room for a note and yet can't finish it in time. Cancelling letters then
// throws their work away, and a dozen of them for one note wastes most of the fleet.
// So a lower tier stays away from a target that could serve a typical request of a
// higher one, were only its own tier and those above there, and couldn't any more with
// this request; as long as such requests keep coming.
func (fleet *Placer) crowdsOut(now time.Time, node *TargetState, shape *Request, choice *Choice) bool {
	with := node.company(now)
	own := node.prefillBeside(shape.Prompt-choice.Cached, with.decoding)
	for rank := range min(shape.Rank, meterRanks) {
		typ := &fleet.typical[rank]
		if typ.seen.IsZero() || now.Sub(typ.seen) > guardSpan {
			continue
		}
		more := with
		more.wait += own
		more.running++
		more.decoding++
		more.prompts += own.Seconds() / meterSpan.Seconds()
		if !node.fits(typ, more) && node.fits(typ, node.above(now, rank)) {
			return true
		}
	}
	return false
}

func (node *TargetState) fits(typ *typical, with company) bool {
	need := with.wait + seconds(typ.prompt/(node.prefill.recent*node.promptPart(with.decoding)))
	need += node.decodeBeside(typ.answer, with.running, with.prompts)
	return need.Seconds() <= typ.slack
}

// above is the company that the rank and those above it make on the target.
func (node *TargetState) above(now time.Time, rank int) company {
	with := company{prompts: node.meter.promptsTo(rank)}
	for _, run := range node.runs {
		if run.Rank > rank {
			continue
		}
		with.running++
		if run.Prefilling() {
			with.wait += node.left(now, run)
		} else {
			with.decoding++
		}
	}
	return with
}
