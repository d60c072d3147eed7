package yuccaplace

import "yuccacleat/core/yuccaid"

// answerLength is the ratio of actual to estimated answer lengths of one operation: its
// mean and its 90th percentile.
//
// The length of an answer is unknown in advance. Placing requests by the mean makes a
// quarter of those late that barely fit, so they are placed by the length that nine of
// ten answers stay below.
type answerLength struct {
	mean, p90 float64
}

func (placer *Placer) answerLength(op yuccaid.Operation) *answerLength {
	stats, found := placer.answerLengths[op]
	if !found {
		stats = &answerLength{mean: 1, p90: initialP90}
		placer.answerLengths[op] = stats
	}
	return stats
}

// observe adds one answer's ratio. The percentile moves by steps that balance when one
// answer in ten is longer.
func (stats *answerLength) observe(ratio float64) {
	ratio = min(ratio, maxAnswerRatio)
	stats.mean += answerMeanWeight * (ratio - stats.mean)
	if ratio > stats.p90 {
		stats.p90 += p90Step * p90Quantile
	} else {
		stats.p90 -= p90Step * (1 - p90Quantile)
	}
	stats.p90 = max(stats.p90, stats.mean)
}

// FillAnswerP90 sets the request's AnswerP90 from the answers of the operation so far.
func (placer *Placer) FillAnswerP90(op yuccaid.Operation, req *Request) {
	stats := placer.answerLength(op)
	req.AnswerP90 = yuccaid.Tokens(float64(req.Answer) * stats.p90)
}
