package yuccagrant

import (
	"testing"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
)

// One account announces wrong lengths. If its announcements affected the lengths that are expected
// of other accounts' requests, short requests of those accounts would be treated as long requests
// and refused. The model undisturbed sees only class 1; the model disturbed also sees class 2,
// which announces wrong lengths.
func TestOneClassNeverMovesWhatIsExpectedOfAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		undisturbed, disturbed := newLengthModel(), newLengthModel()
		for range rapid.IntRange(minLengthSamples+1, 40).Draw(rt, "honest answers") {
			req := Request{Class: 1, Prompt: 1000, Answer: yuccaid.Tokens(rapid.IntRange(0, 2000).Draw(rt, "announced"))}
			events := rapid.IntRange(1, 400).Draw(rt, "events")
			ratio := rapid.Float64Range(0.5, 2).Draw(rt, "first")
			for _, model := range []*lengthModel{&undisturbed, &disturbed} {
				model.learnAnswer(&req, events)
				model.learnTimeToFirst(1, ratio)
			}
			wrong := Request{Class: 2, Answer: yuccaid.Tokens(rapid.IntRange(0, 1_000_000).Draw(rt, "lie"))}
			disturbed.learnAnswer(&wrong, rapid.IntRange(1, 10_000).Draw(rt, "events of the other class"))
			disturbed.learnTimeToFirst(2, rapid.Float64Range(0, 1000).Draw(rt, "time to first ratio of the other class"))
			undisturbed.updateMedian()
			disturbed.updateMedian()
		}
		req := Request{Class: 1, Prompt: 1000, Answer: yuccaid.Tokens(rapid.IntRange(0, 2000).Draw(rt, "asked"))}
		want, _ := undisturbed.expectedEvents(&req)
		// If a class has never announced an answer length before, the estimate for its first
		// announced length uses the median over all classes, which class 2 affects.
		if got, _ := disturbed.expectedEvents(&req); got != want && !(req.Answer > 0 && undisturbed.classes[1].announcedTokens == 0) {
			rt.Fatalf("expected %v events, and %v beside a class with wrong announcements", want, got)
		}
		if got := disturbed.timeToFirstRatio(1); got != undisturbed.timeToFirstRatio(1) {
			rt.Fatalf("expected a first event after %v times the estimate, got %v", undisturbed.timeToFirstRatio(1), got)
		}
	})
}

// A caller makes up an unlimited number of routes or accounts, and each new pair of account and
// route is a new class. The lengths stored for the classes must not exhaust memory.
func TestClassesAreBounded(t *testing.T) {
	model := newLengthModel()
	for class := range Class(3 * maxClasses) {
		model.learnAnswer(&Request{Class: class, Answer: 10}, 5)
		model.learnTimeToFirst(class, 1)
	}
	if len(model.classes) > maxClasses {
		t.Fatalf("%d classes are stored", len(model.classes))
	}
}
