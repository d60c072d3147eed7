package yuccaquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// crashesToHold is the number of crashes, each explained by nothing else, for which a trait is held. Daemons that see only
	// a part of the fleet, or have lost what they knew, hold it for fewerCrashesToHold: each such part of the fleet learns for itself.
	crashesToHold      = 3
	fewerCrashesToHold = 2
	// announceSpread is the time over which daemons spread what they tell of a trait that all of them have cleared.
	announceSpread = 80 * time.Millisecond
	// soundFor is how long a trait counts as sound after a run came far with it.
	soundFor = 10 * time.Second
	// maxSound bounds the traits whose last good run is remembered.
	maxSound = 1 << 13
)

// View is what a daemon sees of its fleet.
type View struct {
	// Whole reports whether it sees all data centres, and Experienced whether it, or a daemon that told it, has run
	// for long enough to know of earlier crashes.
	Whole, Experienced bool
}

// threshold is the sum of the weights of crashes for which a trait is held.
func (view View) threshold() float64 {
	if view.Whole && view.Experienced {
		return crashesToHold
	}
	return fewerCrashesToHold
}

// Quarantine is what one daemon knows of the traits on which targets crash. It isn't safe for concurrent use.
type Quarantine struct {
	vm       yuccaid.VM
	crashes  []*crash
	suspects map[Trait]*suspect
	// sound and soundBefore have when a run last came far with a trait, in the present and the former span of soundFor.
	sound, soundBefore map[Trait]time.Time
	soundSince         time.Time
	// held is what is held, and explained are the crashes that it explains, decided at decidedAt with a threshold. If stale is set,
	// suspects that count have been cleared or forgotten since. ChangedAt is when something of a crash last became known. News is
	// what other daemons are to be told.
	held                 []group
	explained            map[*crash]bool
	threshold            float64
	decidedAt, changedAt time.Time
	stale                bool
	news                 News
}

// New returns what the daemon on a VM knows at first.
func New(vm yuccaid.VM) *Quarantine {
	return &Quarantine{vm: vm, suspects: make(map[Trait]*suspect), sound: make(map[Trait]time.Time)}
}

// RecordCrash records a crash that this daemon has noticed, and has other daemons told.
func (qua *Quarantine) RecordCrash(now time.Time, report Crash) {
	report.Traits = slices.DeleteFunc(slices.Clone(report.Traits), func(trait Trait) bool { return qua.clearedOf(trait, report.At) })
	qua.addCrash(now, report)
	qua.news.Crashes = append(qua.news.Crashes, report)
}

// clearedOf reports whether a run here has cleared the trait of a crash at a time.
func (qua *Quarantine) clearedOf(trait Trait, at time.Time) bool {
	last := qua.lastSound(trait)
	return !last.IsZero() && !at.After(last.Add(clearedGrace))
}

func (qua *Quarantine) lastSound(trait Trait) time.Time {
	if at, found := qua.sound[trait]; found {
		return at
	}
	return qua.soundBefore[trait]
}

// RecordSound records that a run with the traits came far in its answer at this daemon.
func (qua *Quarantine) RecordSound(now time.Time, traits []Trait) {
	if now.Sub(qua.soundSince) >= soundFor || len(qua.sound) >= maxSound {
		qua.sound, qua.soundBefore, qua.soundSince = make(map[Trait]time.Time), qua.sound, now
	}
	for _, trait := range traits {
		qua.sound[trait] = now
		sus := qua.suspects[trait]
		if sus == nil {
			continue
		}
		counts := sus.counts()
		if sus.clear(now) {
			sus.unannounced = true
			qua.stale = qua.stale || counts
		}
		if counts {
			qua.announce(sus, trait)
		}
	}
}

// announce has other daemons told that a trait is cleared.
func (qua *Quarantine) announce(sus *suspect, trait Trait) {
	sus.unannounced, sus.announceAt = false, time.Time{}
	qua.news.Cleared = append(qua.news.Cleared, Cleared{Trait: trait, At: sus.clearedAt})
}

// Merge records what another daemon tells. It reports whether anything of it wasn't known.
func (qua *Quarantine) Merge(now time.Time, news News) (isNew bool) {
	for _, report := range news.Crashes {
		isNew = qua.addCrash(now, report) || isNew
	}
	for _, cleared := range news.Cleared {
		if sus := qua.suspects[cleared.Trait]; sus != nil {
			counts := sus.counts()
			if sus.clear(cleared.At) {
				isNew = true
				qua.stale = qua.stale || counts
			}
			sus.unannounced, sus.announceAt = false, time.Time{}
		}
	}
	for _, trial := range news.Trials {
		isNew = qua.addTrial(trial) || isNew
	}
	return isNew
}

// addCrash records a crash, and reports whether it or one of its traits wasn't known.
func (qua *Quarantine) addCrash(now time.Time, report Crash) (isNew bool) {
	index := slices.IndexFunc(qua.crashes, func(cr *crash) bool { return cr.isSame(report) })
	var known *crash
	if index >= 0 {
		known = qua.crashes[index]
	} else {
		known = &crash{Crash: Crash{Process: report.Process, At: report.At}, recordedAt: now}
		qua.addNear(known)
		qua.crashes = append(qua.crashes, known)
		if len(qua.crashes) > maxCrashes {
			qua.crashes[0].near = nil
			qua.crashes = slices.Delete(qua.crashes, 0, 1)
		}
		isNew = true
	}
	for _, trait := range report.Traits {
		if slices.Contains(known.Traits, trait) || len(known.Traits) >= maxTraitsPerCrash {
			continue
		}
		isNew = true
		known.Traits = append(known.Traits, trait)
		qua.addEvidence(now, trait, known)
	}
	if isNew {
		qua.changedAt = now
	}
	return isNew
}

// addNear records which of the other crashes were at the same time as a new one.
func (qua *Quarantine) addNear(cr *crash) {
	for _, other := range qua.crashes {
		if other.At.Sub(cr.At).Abs() <= collective && cr.recordedAt.Sub(other.recordedAt) < weighedFor {
			cr.near = append(cr.near, other)
			other.near = append(other.near, cr)
		}
	}
}

// addEvidence records that a trait may have caused a crash, unless a run here has cleared it.
func (qua *Quarantine) addEvidence(now time.Time, trait Trait, cr *crash) {
	sus := qua.suspects[trait]
	if sus == nil {
		qua.makeRoom()
		sus = &suspect{}
		qua.suspects[trait] = sus
	}
	sus.lastCrash = now
	if last := qua.lastSound(trait); last.After(sus.clearedAt) {
		sus.clearedAt = last
	}
	// Others don't know that the trait was cleared. At its second crash they have to.
	if sus.unannounced && sus.announceAt.IsZero() {
		sus.announceAt = now.Add(qua.stagger(trait, announceSpread))
	}
	if sus.disproved(cr) {
		sus.unannounced = true
		return
	}
	if sus.has(cr) {
		return
	}
	sus.evidence = append(sus.evidence, evidence{crash: cr, weight: 1})
	if len(sus.evidence) > maxEvidence {
		sus.evidence = slices.Delete(sus.evidence, 0, 1)
	}
}

// makeRoom forgets the suspect with the fewest crashes, of those the one of longest ago, if there are too many.
func (qua *Quarantine) makeRoom() {
	if len(qua.suspects) < maxSuspects {
		return
	}
	var least Trait
	var found *suspect
	for trait, sus := range qua.suspects {
		if found == nil || cmp.Or(cmp.Compare(len(sus.evidence), len(found.evidence)), sus.lastCrash.Compare(found.lastCrash)) < 0 {
			least, found = trait, sus
		}
	}
	delete(qua.suspects, least)
	qua.stale = qua.stale || found.counts()
}

// addTrial records a trial, and reports whether it wasn't known.
func (qua *Quarantine) addTrial(trial Trial) (isNew bool) {
	for _, trait := range trial.Traits {
		sus := qua.suspects[trait]
		if sus == nil {
			continue
		}
		if trial.Number > sus.trials {
			sus.trials = trial.Number
			isNew = true
		}
		if trial.At.After(sus.triedAt) {
			sus.triedAt = trial.At
		}
	}
	return isNew
}

// stagger returns a time between zero and the spread that differs between daemons.
func (qua *Quarantine) stagger(trait Trait, spread time.Duration) time.Duration {
	return time.Duration(xxhash.Sum64String(string(trait)+"\x00"+string(qua.vm)) % uint64(spread))
}

// Tick decides anew what is held, and returns what other daemons are to be told.
func (qua *Quarantine) Tick(now time.Time, view View) News {
	qua.expire(now)
	for trait, sus := range qua.suspects {
		if !sus.announceAt.IsZero() && !now.Before(sus.announceAt) {
			qua.announce(sus, trait)
		}
	}
	settled := !qua.decidedAt.Before(qua.changedAt.Add(settleTime))
	if qua.stale || !settled || view.threshold() != qua.threshold {
		qua.decide(now, view)
	}
	news := qua.news
	qua.news = News{}
	return news
}

func (qua *Quarantine) expire(now time.Time) {
	for trait, sus := range qua.suspects {
		if now.Sub(sus.lastCrash) >= suspectFor {
			qua.stale = qua.stale || sus.counts()
			delete(qua.suspects, trait)
		}
	}
	qua.crashes = slices.DeleteFunc(qua.crashes, func(cr *crash) bool { return now.Sub(cr.recordedAt) >= suspectFor })
	for _, cr := range qua.crashes {
		if now.Sub(cr.recordedAt) >= weighedFor {
			cr.near = nil
		}
	}
}

// State returns all that a daemon needs to know which has just been reached: the crashes of the suspects that have several,
// and their trials.
func (qua *Quarantine) State() News {
	var news News
	told := make(map[*crash]bool)
	for trait, sus := range qua.suspects {
		if len(sus.evidence) < strongSuspicion {
			continue
		}
		for _, ev := range sus.evidence {
			if !told[ev.crash] {
				told[ev.crash] = true
				news.Crashes = append(news.Crashes, qua.suspected(ev.crash))
			}
		}
		if sus.trials > 0 {
			news.Trials = append(news.Trials, Trial{Traits: []Trait{trait}, At: sus.triedAt, Number: sus.trials})
		}
	}
	return news
}

// suspected returns a crash without the traits that have been cleared of it.
func (qua *Quarantine) suspected(cr *crash) Crash {
	report := cr.Crash
	report.Traits = slices.DeleteFunc(slices.Clone(cr.Traits), func(trait Trait) bool {
		sus := qua.suspects[trait]
		return sus == nil || !sus.has(cr)
	})
	return report
}

// Suspects returns how many traits are remembered as suspects.
func (qua *Quarantine) Suspects() int { return len(qua.suspects) }
