package yuccaquarantine

import (
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
)

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
