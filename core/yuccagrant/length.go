package yuccagrant

import "slices"

const (
	// maxClasses bounds the number of classes for which lengths are stored.
	maxClasses = 4096
	// lengthDecay is the factor by which earlier answers of a class are weighted down with each
	// new one.
	lengthDecay = 0.95
	// minLengthSamples is the number of answers from which a class's own lengths are used
	// instead of the median of all classes.
	minLengthSamples = 4
	// firstRatioWeight is the weight of one answer in a class's ratio of actual to expected
	// times to the first event.
	firstRatioWeight = 0.15
	// maxPromptError bounds the mean factor by which a class's first events may be later or earlier
	// than expected before its announced prompt lengths are considered wrong.
	maxPromptError = 3.0
)

// lengthModel stores, by class, how long answers are and how far prompts deviate from their
// announced length. Classes are kept apart so that wrong announcements of one class do not
// affect what is expected of another class that has been seen.
type lengthModel struct {
	classes map[Class]*classLengths
	// medianRatio is the median over all classes of the number of events for each announced
	// token. It is used for classes with too few answers. medianStale reports that it must be
	// computed again.
	medianRatio float64
	medianStale bool
}

// classLengths are the decaying sums over the answers of one class.
type classLengths struct {
	// weight counts answers, and events sums their events. Over the answers with an announced
	// length, announcedEvents sums the events and announcedTokens the announced tokens.
	weight, events                   float64
	announcedEvents, announcedTokens float64
	// meanFirstRatio is the mean ratio of actual to expected times to the first event, over
	// firstSamples answers.
	meanFirstRatio float64
	firstSamples   int
}

func newLengthModel() lengthModel {
	return lengthModel{classes: make(map[Class]*classLengths)}
}

// events returns the expected number of events of an answer, or false if it can't be
// estimated.
func (lm *lengthModel) events(req *Request) (float64, bool) {
	cls := lm.classes[req.Class]
	enough := cls != nil && cls.weight >= minLengthSamples
	switch {
	case req.Answer > 0 && enough && cls.announcedTokens > 0:
		return float64(req.Answer) * cls.announcedEvents / cls.announcedTokens, true
	case req.Answer > 0 && lm.medianRatio > 0:
		return float64(req.Answer) * lm.medianRatio, true
	case req.Answer == 0 && enough:
		return cls.events / cls.weight, true
	}
	return 0, false
}

// firstRatio returns the factor by which a class's first events come later than expected from
// its announced prompts. It is 1 while the announcements are reliable.
func (lm *lengthModel) firstRatio(class Class) float64 {
	cls := lm.classes[class]
	if cls == nil || cls.reliable() {
		return 1
	}
	return cls.meanFirstRatio
}

// learnAnswer includes the length of a complete answer.
func (lm *lengthModel) learnAnswer(req *Request, events int) {
	cls := lm.forClass(req.Class)
	cls.weight = cls.weight*lengthDecay + 1
	cls.events = cls.events*lengthDecay + float64(events)
	if req.Answer > 0 {
		cls.announcedEvents = cls.announcedEvents*lengthDecay + float64(events)
		cls.announcedTokens = cls.announcedTokens*lengthDecay + float64(req.Answer)
		lm.medianStale = true
	}
}

// learnFirst includes the ratio of the actual to the expected time to a first event, and
// reports whether the class announces its prompts reliably enough for the latency model to
// learn from them.
func (lm *lengthModel) learnFirst(class Class, ratio float64) bool {
	cls := lm.forClass(class)
	cls.firstSamples++
	cls.meanFirstRatio += max(firstRatioWeight, 1/float64(cls.firstSamples)) * (min(ratio, maxPace) - cls.meanFirstRatio)
	return cls.reliable()
}

// updateMedian computes medianRatio if it is stale.
func (lm *lengthModel) updateMedian() {
	if !lm.medianStale {
		return
	}
	lm.medianStale = false
	var ratios []float64
	for _, cls := range lm.classes {
		if cls.announcedTokens > 0 {
			ratios = append(ratios, cls.announcedEvents/cls.announcedTokens)
		}
	}
	slices.Sort(ratios)
	lm.medianRatio = ratios[len(ratios)/2]
}

// forClass returns the lengths of a class for updating. If there are too many classes, an
// arbitrary one is deleted to make space.
func (lm *lengthModel) forClass(class Class) *classLengths {
	if cls := lm.classes[class]; cls != nil {
		return cls
	}
	if len(lm.classes) >= maxClasses {
		for other := range lm.classes {
			delete(lm.classes, other)
			break
		}
	}
	cls := &classLengths{meanFirstRatio: 1}
	lm.classes[class] = cls
	return cls
}

func (cls *classLengths) reliable() bool {
	return cls.firstSamples < minLengthSamples || cls.meanFirstRatio > 1/maxPromptError && cls.meanFirstRatio < maxPromptError
}
