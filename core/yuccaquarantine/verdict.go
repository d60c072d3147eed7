package yuccaquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
	// firstTrialAfter is how long after a trait was held it is tried for the first time, in case that it is held by
	// mistake. The next trial is secondTrialAfter after that, and each further one after twice the time, up to maxTrialInterval.
	firstTrialAfter  = 2 * time.Second
	secondTrialAfter = time.Minute
	maxTrialInterval = 30 * time.Minute
	// trialSpread is the share of the time between trials over which daemons spread them, so that two don't try at once.
	trialSpread = 0.3
	// separatingInterval is the time between two trials that separate traits which have the same crashes.
	separatingInterval = time.Second
	// repeatedTrialAfter is how long after the first trial another one begins if no target has crashed and no run has cleared the
	// trait: the trial's request may not have run.
	repeatedTrialAfter = 5 * time.Second
	// strongSuspicion is the fewest crashes for which a trait is held.
	strongSuspicion = 2
	// leastContentWeight is how much a crash speaks at least against a content. Unlike a part of prompts, a content is on several
	// targets that crash only where it has been sent again.
	leastContentWeight = 0.75
	// roundingError is what sums of weights may be off by.
	roundingError = 1e-9
)

// group is traits that explain the same crashes, so that each of them may have caused them.
type group struct {
	traits  []Trait
	crashes int
}

// decide determines what is held: the fewest traits that explain the crashes, those with most crashes first, and the contents with
// as many crashes whatever explains them.
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
		found := group{traits: qua.inseparable(best, strong, explained), crashes: len(qua.suspects[best].evidence)}
		for _, ev := range qua.suspects[best].evidence {
			explained[ev.crash] = true
		}
		held = append(held, found)
	}
	for _, trait := range strong {
		if trait.IsContent() && !isHeld(held, trait) && qua.score(now, trait, settleTime, nil) >= threshold-roundingError {
			held = append(held, group{traits: []Trait{trait}, crashes: len(qua.suspects[trait].evidence)})
		}
	}
	qua.setHeld(now, held)
	qua.explained, qua.stale = explained, false
}

// setHeld sets what is held, and since when.
func (qua *Quarantine) setHeld(now time.Time, held []group) {
	for _, grp := range held {
		for _, trait := range grp.traits {
			if sus := qua.suspects[trait]; sus.heldSince.IsZero() {
				sus.heldSince = now
			}
		}
	}
	for _, grp := range qua.held {
		for _, trait := range grp.traits {
			if sus := qua.suspects[trait]; sus != nil && !isHeld(held, trait) {
				sus.heldSince = time.Time{}
			}
		}
	}
	qua.held = held
}

func isHeld(held []group, trait Trait) bool {
	return slices.ContainsFunc(held, func(grp group) bool { return slices.Contains(grp.traits, trait) })
}

// strongSuspects returns the traits that several crashes speak against, in order.
func (qua *Quarantine) strongSuspects() []Trait {
	var list []Trait
	for trait, sus := range qua.suspects {
		if len(sus.evidence) >= strongSuspicion {
			list = append(list, trait)
		}
	}
	slices.Sort(list)
	return list
}

// strongest returns the one of the traits that most of the crashes speak against which aren't explained yet.
func (qua *Quarantine) strongest(now time.Time, traits []Trait, explained map[*crash]bool) (best Trait, score float64) {
	for _, trait := range traits {
		if sum := qua.score(now, trait, settleTime, explained); sum > score+roundingError {
			best, score = trait, sum
		}
	}
	return best, score
}

// score returns the sum of the weights of a trait's crashes that aren't explained yet and have been known for some time.
func (qua *Quarantine) score(now time.Time, trait Trait, known time.Duration, explained map[*crash]bool) float64 {
	sus := qua.suspects[trait]
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
			ev.weight = qua.weight(trait, ev.crash)
		}
		sum += ev.weight
	}
	return sum
}

// weight returns how much a crash speaks against a trait.
func (qua *Quarantine) weight(trait Trait, cr *crash) float64 {
	weight := 1 / float64(1+qua.crashesWithout(trait, cr))
	if trait.IsContent() {
		return max(weight, leastContentWeight)
	}
	return weight
}

// crashesWithout returns how many other processes crashed at the same time without the trait. Those have another reason, and
// this process may have it too.
func (qua *Quarantine) crashesWithout(trait Trait, cr *crash) int {
	count := 0
	for _, other := range qua.crashes {
		if other != cr && other.At.Sub(cr.At).Abs() <= collective && !slices.Contains(other.Traits, trait) {
			count++
		}
	}
	return count
}

// inseparable returns those of the traits that have the same crashes as the given one, which is among them.
func (qua *Quarantine) inseparable(trait Trait, traits []Trait, explained map[*crash]bool) []Trait {
	unexplained := func(of Trait) map[*crash]bool {
		set := make(map[*crash]bool)
		for _, ev := range qua.suspects[of].evidence {
			if !explained[ev.crash] {
				set[ev.crash] = true
			}
		}
		return set
	}
	own := unexplained(trait)
	var list []Trait
	for _, other := range traits {
		if maps.Equal(own, unexplained(other)) {
			list = append(list, other)
		}
	}
	return list
}

// Decision is what happens to a request.
type Decision struct {
	// Held reports whether the request is held back. Traits are its held traits, and Crashes the crashes that speak against them.
	Held    bool
	Traits  []Trait
	Crashes int
	// RetryAfter is the time until the traits are going to be tried again.
	RetryAfter time.Duration
	// Pending reports whether it is about to be decided that the request is held back. That takes settleTime at most.
	Pending bool
	// Trial reports whether the request tries held traits. It may be sent to one target only, once StartTrial was called.
	Trial bool
}

// Decide decides on a request with the traits. If it has traits that are held for different crashes, those that may be tried last
// decide.
func (qua *Quarantine) Decide(now time.Time, view View, traits []Trait) Decision {
	if qua.stale {
		qua.decide(now, view)
	}
	var dec Decision
	var last time.Time
	for _, grp := range qua.held {
		common := slices.DeleteFunc(slices.Clone(grp.traits), func(trait Trait) bool { return !slices.Contains(traits, trait) })
		if len(common) == 0 {
			continue
		}
		if next := qua.nextTrial(view, grp, common); next.After(last) {
			last = next
			dec = Decision{Traits: common, Crashes: grp.crashes}
		}
	}
	if last.IsZero() {
		return Decision{Pending: !qua.MayRepeat(now, traits)}
	}
	dec.Held = now.Before(last)
	dec.Trial = !dec.Held
	dec.RetryAfter = max(last.Sub(now), separatingInterval)
	return dec
}

// nextTrial returns when the traits of a request that are in a group may be tried next.
func (qua *Quarantine) nextTrial(view View, grp group, common []Trait) time.Time {
	var triedAt, heldSince, crashedAt time.Time
	trials := 0
	for _, trait := range grp.traits {
		sus := qua.suspects[trait]
		trials = max(trials, sus.trials)
		triedAt = later(triedAt, sus.triedAt)
		heldSince = later(heldSince, sus.heldSince)
		crashedAt = later(crashedAt, sus.evidence[len(sus.evidence)-1].crash.At)
	}
	toldNothing := trials == 1 && crashedAt.Before(triedAt)
	interval := firstTrialAfter
	switch {
	case len(common) < len(grp.traits):
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

// StartTrial records that a request is sent that tries the traits, and has other daemons told.
func (qua *Quarantine) StartTrial(now time.Time, traits []Trait) {
	trial := Trial{Traits: traits, At: now}
	for _, trait := range traits {
		if sus := qua.suspects[trait]; sus != nil {
			trial.Number = max(trial.Number, sus.trials+1)
		}
	}
	qua.addTrial(trial)
	qua.news.Trials = append(qua.news.Trials, trial)
}

// MayRepeat reports whether a request with the traits may be sent to another target after a run of it has ended with its
// target. It may not if a trait is about to be held.
func (qua *Quarantine) MayRepeat(now time.Time, traits []Trait) bool {
	return !slices.ContainsFunc(traits, func(trait Trait) bool {
		sus := qua.suspects[trait]
		explained := qua.explained
		if trait.IsContent() {
			explained = nil
		}
		return sus != nil && (!sus.heldSince.IsZero() || qua.score(now, trait, 0, explained) >= crashesToHold-roundingError)
	})
}

// IsActive reports whether any trait is held or about to be.
func (qua *Quarantine) IsActive(now time.Time) bool {
	for trait := range qua.suspects {
		if !qua.MayRepeat(now, []Trait{trait}) {
			return true
		}
	}
	return len(qua.held) > 0
}

// Held returns the traits that are held.
func (qua *Quarantine) Held() []Trait {
	var list []Trait
	for _, grp := range qua.held {
		list = append(list, grp.traits...)
	}
	return list
}
