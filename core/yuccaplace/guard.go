package yuccaplace

import "time"

// typicalRequest is the moving average of the requests of one tier: uncached prompt
// tokens, 90th percentile of the answer in tokens, and seconds until the deadline.
type typicalRequest struct {
	prompt    float64
	answerP90 float64
	slack     float64
	lastSeen  time.Time
}

// updateTypical adds an arrival to the typical request of its tier. Tiers below the
// first trackedRanks ones need no typical request, because blocksHigherTier doesn't
// protect these tiers.
func (placer *Placer) updateTypical(now time.Time, req *Request, uncached float64) {
	if req.Rank < 0 || req.Rank >= trackedRanks {
		return
	}
	typical := &placer.typicalRequest[req.Rank]
	if typical.lastSeen.IsZero() {
		*typical = typicalRequest{prompt: uncached, answerP90: float64(req.AnswerP90), slack: req.Deadline.Sub(now).Seconds()}
	}
	typical.prompt += typicalWeight * (uncached - typical.prompt)
	typical.answerP90 += typicalWeight * (float64(req.AnswerP90) - typical.answerP90)
	typical.slack += typicalWeight * (req.Deadline.Sub(now).Seconds() - typical.slack)
	typical.lastSeen = now
}

// blocksHigherTier reports whether the request would leave a target unable to serve the
// next request of a higher tier.
//
// Answers on one engine slow each other. A target full of long answers of a low tier
// may have a free slot for a short urgent request and yet be too slow for its deadline.
// Cancelling the long answers wastes their work, and cancelling a dozen of them for one
// request wastes most of the pool's work. The request is therefore kept off a target if
// both of these hold for some higher tier. Beside the target's runs of that tier and of
// the tiers above it, a typical request of the tier would meet its deadline. Beside all
// runs of the target and this request, it would not. Tiers without an arrival within
// typicalSpan aren't considered.
func (placer *Placer) blocksHigherTier(now time.Time, state *TargetState, req *Request, choice *Choice) bool {
	load := state.targetLoad(now)
	ownPrefill := state.prefillTimeBeside(req.Prompt-choice.Cached, load.decoding)
	for rank := range min(req.Rank, trackedRanks) {
		typical := &placer.typicalRequest[rank]
		if typical.lastSeen.IsZero() || now.Sub(typical.lastSeen) > typicalSpan {
			continue
		}
		loadAfter := load
		loadAfter.prefillWait += ownPrefill
		loadAfter.running++
		loadAfter.decoding++
		// The request's prompt adds its part to the average over meterSpan.
		loadAfter.promptShare += ownPrefill.Seconds() / meterSpan.Seconds()
		if !state.canServe(typical, loadAfter) && state.canServe(typical, state.loadUpToRank(now, rank)) {
			return true
		}
	}
	return false
}

// canServe reports whether the target could serve the typical request within its
// deadline under the given load.
func (state *TargetState) canServe(typical *typicalRequest, load targetLoad) bool {
	duration := load.prefillWait + seconds(typical.prompt/(state.prefill.recent*state.prefillShare(load.decoding)))
	duration += state.decodeTimeBeside(typical.answerP90, load.running, load.promptShare)
	return duration.Seconds() <= typical.slack
}

// loadUpToRank returns the load that runs of the rank and of higher tiers put on the
// target.
func (state *TargetState) loadUpToRank(now time.Time, rank int) targetLoad {
	load := targetLoad{promptShare: state.meter.promptShareUpTo(rank)}
	for _, run := range state.runs {
		if run.Rank > rank {
			continue
		}
		load.running++
		if run.Prefilling() {
			load.prefillWait += state.prefillLeft(now, run)
		} else {
			load.decoding++
		}
	}
	return load
}
