package yuccaplace

import "yuccacleat/core/yuccaid"

// answerRatio describes the ratio of actual to estimated answer lengths of one
// operation by its mean and its 90th percentile.
//
// The length of an answer is unknown in advance. If requests were placed by the mean, a
// quarter of the requests that only just fit would be late. Requests are therefore
// placed by the 90th percentile, the length that nine of ten answers stay below.
type answerRatio struct {
	mean, p90 float64
}

func (placer *Placer) answerRatio(op yuccaid.Operation) *answerRatio {
	stats, found := placer.answerRatios[op]
	if !found {
		stats = &answerRatio{mean: 1, p90: initialP90}
		placer.answerRatios[op] = stats
	}
	return stats
}

// observe adds one answer's ratio. The percentile moves up by a large step if the ratio
// is above it, and otherwise down by a small step. The steps balance when one answer in
// ten has a ratio above the percentile.
func (stats *answerRatio) observe(ratio float64) {
	ratio = min(ratio, maxAnswerRatio)
	stats.mean += answerMeanWeight * (ratio - stats.mean)
	if ratio > stats.p90 {
		stats.p90 += p90Step * p90Quantile
	} else {
		stats.p90 -= p90Step * (1 - p90Quantile)
	}
	stats.p90 = max(stats.p90, stats.mean)
}

// FillAnswerP90 sets the request's AnswerP90 from its Answer and from the ratios of the
// operation's answers observed so far.
func (placer *Placer) FillAnswerP90(op yuccaid.Operation, req *Request) {
	stats := placer.answerRatio(op)
	req.AnswerP90 = yuccaid.Tokens(float64(req.Answer) * stats.p90)
}
