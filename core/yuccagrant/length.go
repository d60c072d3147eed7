package yuccagrant

import "slices"

const (
	// maxClasses bounds the number of classes for which lengths are stored, because callers can
	// make up any number of them.
	maxClasses = 4096
	// lengthDecay is the factor by which the weight of all earlier answers of a class is reduced
	// with each new answer.
	lengthDecay = 0.95
	// minLengthSamples is the number of answers that a class must have for its own lengths to be
	// used instead of the median over all classes.
	minLengthSamples = 4
	// timeToFirstRatioWeight is the weight of one answer in a class's mean ratio of actual to
	// expected times to the first event.
	timeToFirstRatioWeight = 0.15
	// maxPromptError is the factor by which the mean time to a class's first events may be longer
	// or shorter than expected before its announced prompt lengths are considered wrong.
	maxPromptError = 3.0
)

// lengthModel stores, by class, how long answers are and how far prompts deviate from their
// announced length. Classes are kept apart so that wrong announcements of one class do not
// affect what is expected of another class that has enough answers of its own.
type lengthModel struct {
	classes map[Class]*classLengths
	// medianRatio is the median over all classes of the number of events for each announced
	// token. It is used for classes with too few answers. medianStale reports that medianRatio
	// must be computed again.
	medianRatio float64
	medianStale bool
}

// classLengths are the decaying sums over the answers of one class.
type classLengths struct {
	// weight is the decaying number of answers, and events the sum of their events. announcedEvents
	// and announcedTokens include only the answers whose length was announced: the sum of their
	// events, and the sum of their announced tokens.
	weight, events                   float64
	announcedEvents, announcedTokens float64
	// meanTimeToFirstRatio is the mean ratio of actual to expected times to the first event, over
	// firstSamples answers.
	meanTimeToFirstRatio float64
	firstSamples         int
}

func newLengthModel() lengthModel {
	return lengthModel{classes: make(map[Class]*classLengths)}
}

// expectedEvents returns the expected number of events of a request's answer, or false if it
// can't be estimated.
func (lm *lengthModel) expectedEvents(req *Request) (float64, bool) {
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

// timeToFirstRatio returns the factor by which the time to a class's first events differs from the
// time expected for its announced prompt lengths. The factor is 1 while the announced prompt
// lengths of the class are reliable.
func (lm *lengthModel) timeToFirstRatio(class Class) float64 {
	cls := lm.classes[class]
	if cls == nil || cls.promptsReliable() {
		return 1
	}
	return cls.meanTimeToFirstRatio
}

// learnAnswer includes the number of events of a complete answer.
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

// learnTimeToFirst includes the ratio of the actual to the expected time to a first event, and
// reports whether the class announces its prompt lengths reliably enough for the latency model
// to learn from them.
func (lm *lengthModel) learnTimeToFirst(class Class, ratio float64) bool {
	cls := lm.forClass(class)
	cls.firstSamples++
	cls.meanTimeToFirstRatio += max(timeToFirstRatioWeight, 1/float64(cls.firstSamples)) * (min(ratio, maxPace) - cls.meanTimeToFirstRatio)
	return cls.promptsReliable()
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

// forClass returns the lengths of a class for updating, and stores new ones if the class is
// unknown. If maxClasses classes are stored already, an arbitrary class is deleted to make space
// for a new one.
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
	cls := &classLengths{meanTimeToFirstRatio: 1}
	lm.classes[class] = cls
	return cls
}

// promptsReliable reports whether the announced prompt lengths of the class are correct to within
// maxPromptError, judging by its times to the first event. A class with fewer than minLengthSamples
// such times counts as reliable.
func (cls *classLengths) promptsReliable() bool {
	return cls.firstSamples < minLengthSamples || cls.meanTimeToFirstRatio > 1/maxPromptError && cls.meanTimeToFirstRatio < maxPromptError
}
