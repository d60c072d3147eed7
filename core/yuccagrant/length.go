package yuccagrant

import "slices"

const (
	// mostClasses bounds how many classes lengths are remembered of.
	mostClasses = 4096
	// lengthKept is the part of what is known of a class that stays after one more answer.
	lengthKept = 0.95
	// lengthsEnough is how many answers of a class say more than what is usual.
	lengthsEnough = 4
	// firstWeight is the weight of one answer in how far a class's first events are from
	// what its prompts let expect.
	firstWeight = 0.15
	// honest is how many times longer or shorter than expected the first events of a class
	// may take on average before its prompts are taken to be announced wrongly.
	honest = 3.0
)

// lengths holds what is learned of how long answers are, and how far prompts are from what
// is announced, by class: what one class announces wrongly doesn't move what is expected of
// another that has been seen.
type lengths struct {
	classes map[Class]*length
	// usual is the events for each announced token of the class in the middle, for classes
	// that haven't been seen, and stale says that it has to be worked out again.
	usual float64
	stale bool
}

// length is what is learned of one class, in sums that forget.
type length struct {
	// weight counts answers, and events sums their events. Of those that announced a length,
	// told sums the events and announced the tokens.
	weight, events  float64
	told, announced float64
	// late is how many times longer than expected of its prompt a first event took, and
	// firsts counts them.
	late   float64
	firsts int
}

func newLengths() lengths {
	return lengths{classes: make(map[Class]*length)}
}

// events returns how many events an answer is expected to have, or false if nothing like it
// has been seen.
func (known *lengths) events(ask *Request) (float64, bool) {
	past := known.classes[ask.Class]
	enough := past != nil && past.weight >= lengthsEnough
	switch {
	case ask.Answer > 0 && enough && past.announced > 0:
		return float64(ask.Answer) * past.told / past.announced, true
	case ask.Answer > 0 && known.usual > 0:
		return float64(ask.Answer) * known.usual, true
	case ask.Answer == 0 && enough:
		return past.events / past.weight, true
	}
	return 0, false
}

// firstRatio returns how many times longer than its prompt lets expect a first event takes.
func (known *lengths) firstRatio(class Class) float64 {
	past := known.classes[class]
	if past == nil || past.honest() {
		return 1
	}
	return past.late
}

// learnAnswer takes a whole answer in.
func (known *lengths) learnAnswer(ask *Request, events int) {
	past := known.of(ask.Class)
	past.weight = past.weight*lengthKept + 1
	past.events = past.events*lengthKept + float64(events)
	if ask.Answer > 0 {
		past.told = past.told*lengthKept + float64(events)
		past.announced = past.announced*lengthKept + float64(ask.Answer)
		known.stale = true
	}
}

// learnFirst takes in how many times longer than expected a first event took, and reports
// whether the class announces its prompts well enough for others to learn from it.
func (known *lengths) learnFirst(class Class, ratio float64) bool {
	past := known.of(class)
	past.firsts++
	past.late += max(firstWeight, 1/float64(past.firsts)) * (min(ratio, mostPace) - past.late)
	return past.honest()
}

// settle works out what is usual.
func (known *lengths) settle() {
	if !known.stale {
		return
	}
	known.stale = false
	var ratios []float64
	for _, past := range known.classes {
		if past.announced > 0 {
			ratios = append(ratios, past.told/past.announced)
		}
	}
	slices.Sort(ratios)
	known.usual = ratios[len(ratios)/2]
}

// of returns what is learned of a class, to learn more. Where there are too many classes,
// any one of them is forgotten.
func (known *lengths) of(class Class) *length {
	if past := known.classes[class]; past != nil {
		return past
	}
	if len(known.classes) >= mostClasses {
		for other := range known.classes {
			delete(known.classes, other)
			break
		}
	}
	past := &length{late: 1}
	known.classes[class] = past
	return past
}

func (past *length) honest() bool {
	return past.firsts < lengthsEnough || past.late > 1/honest && past.late < honest
}
