package yuccaquarantine

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// firstTrialAfter is how long after a part was held it is tried for the first time, in case that it is held by
	// mistake. The next trial is secondTrialAfter after that, and each further one after twice the time, up to maxTrialInterval.
	firstTrialAfter  = 2 * time.Second
	secondTrialAfter = time.Minute
	maxTrialInterval = 30 * time.Minute
	// trialSpread is the share of the time between trials over which daemons spread them, so that two don't try at once.
	trialSpread = 0.3
	// separatingInterval is the time between two trials that separate parts which have the same crashes.
	separatingInterval = time.Second
	// repeatedTrialAfter is how long after the first trial another one begins if no target has crashed and no run has cleared the
	// part: the trial's request may not have run.
	repeatedTrialAfter = 5 * time.Second
	// strongSuspicion is the fewest crashes for which a part is held.
	strongSuspicion = 2
	// roundingError is what sums of weights may be off by.
	roundingError = 1e-9
)

// group is parts that explain the same crashes, so that each of them may have caused them.
type group struct {
	parts   []yuccaid.PromptPart
	crashes int
}

// decide determines what is held: the fewest parts that explain the crashes, those with most crashes first.
func (qua *Quarantine) decide(now time.Time, view View) {
	threshold := float64(crashesToHold)
	if !view.Whole || !view.Experienced {
		threshold = fewerCrashesToHold
	}
	explained := make(map[*crash]bool)
	strong := qua.strongSuspects()
	var held []group
	for {
		best, score := qua.strongest(now, strong, explained)
		if score < threshold-roundingError {
			break
		}
		found := group{parts: qua.inseparable(best, strong, explained), crashes: len(qua.suspects[best].evidence)}
		for _, part := range found.parts {
			if sus := qua.suspects[part]; sus.heldSince.IsZero() {
				sus.heldSince = now
			}
		}
		for _, ev := range qua.suspects[best].evidence {
			explained[ev.crash] = true
		}
		held = append(held, found)
	}
	for _, grp := range qua.held {
		for _, part := range grp.parts {
			if sus := qua.suspects[part]; sus != nil && !isHeld(held, part) {
				sus.heldSince = time.Time{}
			}
		}
	}
	qua.held, qua.explained, qua.stale = held, explained, false
}

func isHeld(held []group, part yuccaid.PromptPart) bool {
	return slices.ContainsFunc(held, func(grp group) bool { return slices.Contains(grp.parts, part) })
}

// strongSuspects returns the parts that several crashes speak against, in order.
func (qua *Quarantine) strongSuspects() []yuccaid.PromptPart {
	var list []yuccaid.PromptPart
	for part, sus := range qua.suspects {
		if len(sus.evidence) >= strongSuspicion {
			list = append(list, part)
		}
	}
	slices.Sort(list)
	return list
}

// strongest returns the one of the parts that most of the crashes speak against which aren't explained yet.
func (qua *Quarantine) strongest(now time.Time, parts []yuccaid.PromptPart, explained map[*crash]bool) (best yuccaid.PromptPart, score float64) {
	for _, part := range parts {
		if sum := qua.score(now, part, settleTime, explained); sum > score+roundingError {
			best, score = part, sum
		}
	}
	return best, score
}

// score returns the sum of the weights of a part's crashes that aren't explained yet and have been known for some time.
func (qua *Quarantine) score(now time.Time, part yuccaid.PromptPart, known time.Duration, explained map[*crash]bool) float64 {
	sus := qua.suspects[part]
	if len(sus.evidence) < strongSuspicion {
		return 0
	}
	sum := 0.0
	for index := range sus.evidence {
		ev := &sus.evidence[index]
		if explained[ev.crash] || now.Sub(ev.crash.recordedAt) < known {
			continue
		}
		if now.Sub(ev.crash.recordedAt) < weighedFor {
			ev.weight = 1 / float64(1+qua.crashesWithout(part, ev.crash))
		}
		sum += ev.weight
	}
	return sum
}

// crashesWithout returns how many other processes crashed at the same time without the part. Those have another reason, and
// this process may have it too.
func (qua *Quarantine) crashesWithout(part yuccaid.PromptPart, cr *crash) int {
	count := 0
	for _, other := range qua.crashes {
		if other != cr && other.At.Sub(cr.At).Abs() <= collective && !slices.Contains(other.Parts, part) {
			count++
		}
	}
	return count
}

// inseparable returns those of the parts that have the same crashes as the given one, which is among them.
func (qua *Quarantine) inseparable(part yuccaid.PromptPart, parts []yuccaid.PromptPart, explained map[*crash]bool) []yuccaid.PromptPart {
	unexplained := func(of yuccaid.PromptPart) map[*crash]bool {
		set := make(map[*crash]bool)
		for _, ev := range qua.suspects[of].evidence {
			if !explained[ev.crash] {
				set[ev.crash] = true
			}
		}
		return set
	}
	own := unexplained(part)
	var list []yuccaid.PromptPart
	for _, other := range parts {
		if maps.Equal(own, unexplained(other)) {
			list = append(list, other)
		}
	}
	return list
}

// Decision is what happens to a request.
type Decision struct {
	// Held reports whether the request is held back. Parts are its held parts, and Crashes the crashes that speak against them.
	Held    bool
	Parts   []yuccaid.PromptPart
	Crashes int
	// RetryAfter is the time until the parts are going to be tried again.
	RetryAfter time.Duration
	// Pending reports whether it is about to be decided that the request is held back. That takes settleTime at most.
	Pending bool
	// Trial reports whether the request tries held parts. It may be sent to one target only, once StartTrial was called.
	Trial bool
}

// Decide decides on a request with the parts, of which none is the last one of its prompt. If it has parts that are held for different
// crashes, those that may be tried last decide.
func (qua *Quarantine) Decide(now time.Time, view View, parts []yuccaid.PromptPart) Decision {
	if qua.stale {
		qua.decide(now, view)
	}
	var dec Decision
	var last time.Time
	for _, grp := range qua.held {
		common := slices.DeleteFunc(slices.Clone(grp.parts), func(part yuccaid.PromptPart) bool { return !slices.Contains(parts, part) })
		if len(common) == 0 {
			continue
		}
		if next := qua.nextTrial(view, grp, common); next.After(last) {
			last = next
			dec = Decision{Parts: common, Crashes: grp.crashes}
		}
	}
	if last.IsZero() {
		return Decision{Pending: !qua.MayRepeat(now, parts)}
	}
	dec.Held = now.Before(last)
	dec.Trial = !dec.Held
	dec.RetryAfter = max(last.Sub(now), separatingInterval)
	return dec
}

// nextTrial returns when the parts of a request that are in a group may be tried next.
func (qua *Quarantine) nextTrial(view View, grp group, common []yuccaid.PromptPart) time.Time {
	var triedAt, heldSince, crashedAt time.Time
	trials := 0
	for _, part := range grp.parts {
		sus := qua.suspects[part]
		trials = max(trials, sus.trials)
		triedAt = later(triedAt, sus.triedAt)
		heldSince = later(heldSince, sus.heldSince)
		crashedAt = later(crashedAt, sus.evidence[len(sus.evidence)-1].crash.At)
	}
	toldNothing := trials == 1 && crashedAt.Before(triedAt)
	interval := firstTrialAfter
	switch {
	case len(common) < len(grp.parts):
		interval = separatingInterval
	case toldNothing:
		interval = repeatedTrialAfter
	case trials > 0 || !view.Whole:
		interval = min(secondTrialAfter<<min(max(trials-1, 0), 8), maxTrialInterval)
	}
	return later(heldSince, triedAt).Add(interval + qua.stagger(common[0], time.Duration(trialSpread*float64(interval))))
}

// later returns the later one of two times.
func later(one, other time.Time) time.Time {
	if other.After(one) {
		return other
	}
	return one
}

// StartTrial records that a request is sent that tries the parts, and has other daemons told.
func (qua *Quarantine) StartTrial(now time.Time, parts []yuccaid.PromptPart) {
	trial := Trial{Parts: parts, At: now}
	for _, part := range parts {
		if sus := qua.suspects[part]; sus != nil {
			trial.Number = max(trial.Number, sus.trials+1)
		}
	}
	qua.addTrial(trial)
	qua.news.Trials = append(qua.news.Trials, trial)
}

// MayRepeat reports whether a request with the parts may be sent to another target after a run of it has ended with its
// target. It may not if a part is about to be held.
func (qua *Quarantine) MayRepeat(now time.Time, parts []yuccaid.PromptPart) bool {
	return !slices.ContainsFunc(parts, func(part yuccaid.PromptPart) bool {
		sus := qua.suspects[part]
		return sus != nil && (!sus.heldSince.IsZero() || qua.score(now, part, 0, qua.explained) >= crashesToHold-roundingError)
	})
}

// IsActive reports whether any part is held or about to be.
func (qua *Quarantine) IsActive(now time.Time) bool {
	for part := range qua.suspects {
		if !qua.MayRepeat(now, []yuccaid.PromptPart{part}) {
			return true
		}
	}
	return len(qua.held) > 0
}

// Held returns the parts that are held.
func (qua *Quarantine) Held() []yuccaid.PromptPart {
	var list []yuccaid.PromptPart
	for _, grp := range qua.held {
		list = append(list, grp.parts...)
	}
	return list
}
