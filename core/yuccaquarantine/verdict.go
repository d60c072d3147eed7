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
	// suspectedSoon is how long after a crash became known one of its traits may be about to be held: what daemons tell of it later
	// comes within sameCrash.
	suspectedSoon = sameCrash + settleTime
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
	threshold := view.threshold()
	explained := make(map[*crash]bool)
	strong := qua.strongSuspects(threshold)
	scores := qua.scores(now, strong)
	own := maps.Clone(scores)
	var held []group
	for {
		best, score := strongest(strong, scores)
		if score < threshold-roundingError {
			break
		}
		found := group{traits: qua.inseparable(best, scores, explained), crashes: len(qua.suspects[best].evidence)}
		qua.explain(now, best, explained, scores)
		held = append(held, found)
	}
	isHeld := heldSet(held)
	for _, trait := range strong {
		if trait.IsContent() && own[trait] >= threshold-roundingError && !isHeld[trait] {
			held = append(held, group{traits: []Trait{trait}, crashes: len(qua.suspects[trait].evidence)})
		}
	}
	qua.setHeld(now, held)
	qua.explained, qua.stale, qua.threshold, qua.decidedAt = explained, false, threshold, now
}

// scores returns the scores of the traits while no crash is explained.
func (qua *Quarantine) scores(now time.Time, traits []Trait) map[Trait]float64 {
	scores := make(map[Trait]float64, len(traits))
	for _, trait := range traits {
		scores[trait] = qua.score(now, trait, settleTime, nil)
	}
	return scores
}

// explain records that a trait explains its crashes, and changes the scores of the others that were in them.
func (qua *Quarantine) explain(now time.Time, trait Trait, explained map[*crash]bool, scores map[Trait]float64) {
	changed := make(map[Trait]bool)
	for _, ev := range qua.suspects[trait].evidence {
		explained[ev.crash] = true
		for _, other := range ev.crash.Traits {
			changed[other] = true
		}
	}
	for other := range changed {
		if _, counted := scores[other]; counted {
			scores[other] = qua.score(now, other, settleTime, explained)
		}
	}
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
	isHeld := heldSet(held)
	for _, grp := range qua.held {
		for _, trait := range grp.traits {
			if sus := qua.suspects[trait]; sus != nil && !isHeld[trait] {
				sus.heldSince = time.Time{}
			}
		}
	}
	qua.held = held
}

// heldSet returns the traits of groups.
func heldSet(groups []group) map[Trait]bool {
	set := make(map[Trait]bool)
	for _, grp := range groups {
		for _, trait := range grp.traits {
			set[trait] = true
		}
	}
	return set
}

// strongSuspects returns the traits that may have a score of the threshold, in order.
func (qua *Quarantine) strongSuspects(threshold float64) []Trait {
	var list []Trait
	for trait, sus := range qua.suspects {
		if float64(len(sus.evidence)) >= threshold {
			list = append(list, trait)
		}
	}
	slices.Sort(list)
	return list
}

// strongest returns the one of the traits with the highest score, the first one of several.
func strongest(traits []Trait, scores map[Trait]float64) (best Trait, score float64) {
	for _, trait := range traits {
		if sum := scores[trait]; sum > score+roundingError {
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
	for _, other := range cr.near {
		if !slices.Contains(other.Traits, trait) {
			count++
		}
	}
	return count
}

// inseparable returns those of the traits that have the same unexplained crashes as the given one, which is among them.
func (qua *Quarantine) inseparable(trait Trait, scores map[Trait]float64, explained map[*crash]bool) []Trait {
	own := qua.unexplained(trait, explained)
	var list []Trait
	for cr := range own {
		// Such a trait is in each of the crashes.
		for _, other := range cr.Traits {
			if _, counted := scores[other]; counted && maps.Equal(own, qua.unexplained(other, explained)) {
				list = append(list, other)
			}
		}
		break
	}
	slices.Sort(list)
	return list
}

// unexplained returns the crashes that speak against a trait and aren't explained.
func (qua *Quarantine) unexplained(trait Trait, explained map[*crash]bool) map[*crash]bool {
	set := make(map[*crash]bool)
	for _, ev := range qua.suspects[trait].evidence {
		if !explained[ev.crash] {
			set[ev.crash] = true
		}
	}
	return set
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
		if sus == nil || sus.heldSince.IsZero() && len(sus.evidence) < crashesToHold {
			return false
		}
		return !sus.heldSince.IsZero() || qua.score(now, trait, 0, explained) >= crashesToHold-roundingError
	})
}

// IsActive reports whether any trait is held or about to be. The latter are traits of crashes that have just become known.
func (qua *Quarantine) IsActive(now time.Time) bool {
	if len(qua.held) > 0 {
		return true
	}
	for _, cr := range slices.Backward(qua.crashes) {
		if now.Sub(cr.recordedAt) > suspectedSoon {
			break
		}
		if !qua.MayRepeat(now, cr.Traits) {
			return true
		}
	}
	return false
}

// Held returns the traits that are held.
func (qua *Quarantine) Held() []Trait {
	var list []Trait
	for _, grp := range qua.held {
		list = append(list, grp.traits...)
	}
	return list
}
