package yuccaquarantine

import (
	"slices"
	"time"
)

const (
	// sameCrash is the time within which reports of the end of one process mean the same crash.
	sameCrash = time.Second
	// collective is the time within which processes that crash are taken to crash for one reason.
	collective = 300 * time.Millisecond
	// settleTime is how long a crash is known before a trait is held for it, so that other daemons can tell of other
	// crashes at the same time and of runs that clear the trait.
	settleTime = 250 * time.Millisecond
	// weighedFor is how long after a crash other crashes at the same time are counted. Later some may be forgotten.
	weighedFor = 10 * time.Second
	// clearedGrace is how long a run that came far clears its traits of later crashes. Runs that begin with a bad trait never
	// come far, so it delays only the finding of a trait that turns bad.
	clearedGrace = 2 * time.Second
	// suspectFor is how long a suspect is remembered after its last crash.
	suspectFor = time.Hour
	// maxCrashes bounds the crashes that are remembered, maxSuspects the traits, and maxEvidence the crashes of one trait.
	maxCrashes  = 512
	maxSuspects = 2048
	maxEvidence = 8
)

// crash is a crash that is remembered.
type crash struct {
	Crash
	// recordedAt is when it became known here, and near are the other crashes at the same time, as long as they may change weights.
	recordedAt time.Time
	near       []*crash
}

// isSame reports whether a report means this crash.
func (cr *crash) isSame(report Crash) bool {
	return cr.Process == report.Process && cr.At.Sub(report.At).Abs() < sameCrash
}

// evidence is a crash that a trait may have caused.
type evidence struct {
	crash *crash
	// weight is how much it counts: less if other processes crashed at the same time without the trait.
	weight float64
}

// suspect is a trait that may have caused crashes.
type suspect struct {
	evidence []evidence
	// lastCrash is when the trait was last reported, and clearedAt when a run last cleared it.
	lastCrash, clearedAt time.Time
	// unannounced reports whether the trait was cleared here, which other daemons weren't told. announceAt is when they are
	// going to be, zero if not.
	unannounced bool
	announceAt  time.Time
	// trials counts the trials, and triedAt is when the last one began.
	trials  int
	triedAt time.Time
	// heldSince is when the trait was first held, zero if it isn't held.
	heldSince time.Time
}

// counts reports whether the suspect may have been decided on.
func (sus *suspect) counts() bool {
	return len(sus.evidence) >= strongSuspicion || !sus.heldSince.IsZero()
}

// has reports whether the crash is evidence already.
func (sus *suspect) has(cr *crash) bool {
	return slices.ContainsFunc(sus.evidence, func(ev evidence) bool { return ev.crash.isSame(cr.Crash) })
}

// clear drops the evidence that a run at a time disproves. It reports whether there was any.
func (sus *suspect) clear(at time.Time) bool {
	if at.After(sus.clearedAt) {
		sus.clearedAt = at
	}
	before := len(sus.evidence)
	sus.evidence = slices.DeleteFunc(sus.evidence, func(ev evidence) bool { return sus.disproved(ev.crash) })
	if len(sus.evidence) == 0 {
		sus.trials, sus.heldSince = 0, time.Time{}
	}
	return len(sus.evidence) < before
}

// disproved reports whether a run has cleared the trait of a crash.
func (sus *suspect) disproved(cr *crash) bool {
	return !sus.clearedAt.IsZero() && !cr.At.After(sus.clearedAt.Add(clearedGrace))
}
