package yuccagrant

import (
	"testing"

	"pgregory.net/rapid"

	"yuccacleat/core/yuccaid"
)

// An account announces wrong lengths. If that moved what is expected of others, their short
// requests would be taken for long ones and refused.
func TestOneClassNeverMovesWhatIsExpectedOfAnother(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		alone, beside := newLengths(), newLengths()
		for range rapid.IntRange(lengthsEnough+1, 40).Draw(rt, "honest answers") {
			ask := Request{Class: 1, Prompt: 1000, Answer: yuccaid.Tokens(rapid.IntRange(0, 2000).Draw(rt, "announced"))}
			events := rapid.IntRange(1, 400).Draw(rt, "events")
			ratio := rapid.Float64Range(0.5, 2).Draw(rt, "first")
			for _, known := range []*lengths{&alone, &beside} {
				known.learnAnswer(&ask, events)
				known.learnFirst(1, ratio)
			}
			lie := Request{Class: 2, Answer: yuccaid.Tokens(rapid.IntRange(0, 1_000_000).Draw(rt, "lie"))}
			beside.learnAnswer(&lie, rapid.IntRange(1, 10_000).Draw(rt, "its events"))
			beside.learnFirst(2, rapid.Float64Range(0, 1000).Draw(rt, "its first"))
			alone.settle()
			beside.settle()
		}
		ask := Request{Class: 1, Prompt: 1000, Answer: yuccaid.Tokens(rapid.IntRange(0, 2000).Draw(rt, "asked"))}
		want, _ := alone.events(&ask)
		if got, _ := beside.events(&ask); got != want && !(ask.Answer > 0 && alone.classes[1].announced == 0) {
			rt.Fatalf("expected %v events, and %v beside a liar", want, got)
		}
		if got := beside.firstRatio(1); got != alone.firstRatio(1) {
			rt.Fatalf("expected a first event after %v times its prompt's, not %v", alone.firstRatio(1), got)
		}
	})
}

// A caller makes up routes or keys without end. What is learned of them must not fill the
// machine's memory.
func TestClassesAreBounded(t *testing.T) {
	known := newLengths()
	for class := range Class(3 * mostClasses) {
		known.learnAnswer(&Request{Class: class, Answer: 10}, 5)
		known.learnFirst(class, 1)
	}
	if len(known.classes) > mostClasses {
		t.Fatalf("%d classes are remembered", len(known.classes))
	}
}
