package yuccaquarantine

import (
	"maps"
	"slices"
	"time"
)

const (
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
