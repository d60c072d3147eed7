package yuccaplace

import "yuccacleat/core/yuccaid"

// length is how the answers of one operation turn out against their owners' estimates.
//
// Nobody knows how long an answer gets. Placing by the mean makes a quarter of the
// requests late that barely fit; the high value is what nine of ten stay below.
type length struct {
	mean, high float64
}

func (fleet *Placer) length(op yuccaid.Operation) *length {
	len, found := fleet.lengths[op]
	if !found {
		len = &length{mean: 1, high: firstHigh}
		fleet.lengths[op] = len
	}
	return len
}

// observe moves the mean by a weight and the high value by steps that balance when
// one answer in ten is longer.
func (len *length) observe(ratio float64) {
	ratio = min(ratio, longestRatio)
	len.mean += lengthWeight * (ratio - len.mean)
	if ratio > len.high {
		len.high += highStep * highPart
	} else {
		len.high -= highStep * (1 - highPart)
	}
	len.high = max(len.high, len.mean)
}

// FillAnswerP90 fills in how long the answer of a request of the operation may get.
func (fleet *Placer) FillAnswerP90(op yuccaid.Operation, shape *Request) {
	len := fleet.length(op)
	shape.AnswerP90 = yuccaid.Tokens(float64(shape.Answer) * len.high)
}
