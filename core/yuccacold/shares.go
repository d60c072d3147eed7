package yuccacold

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

// Limit is what the operators state of a pool's targets.
type Limit struct {
	// Duration is how long a target is cold after its process started, and Rate how many requests a second it bears
	// meanwhile.
	Duration time.Duration
	Rate     float64
}

// Applies reports whether the pool's targets are ever cold.
func (lim Limit) Applies() bool { return lim.Duration > 0 && lim.Rate > 0 }

// Bound is by how much all daemons together may exceed the rate of a Limit in any second: by a factor and by a number of
// requests.
type Bound struct {
	Factor    float64
	Allowance float64
}

// PerSecond returns how many requests a cold target may get in any second.
func (bound Bound) PerSecond(lim Limit) int {
	factor := bound.Factor
	if factor <= 0 {
		factor = 1
	}
	return max(int(lim.Rate*factor+max(bound.Allowance, 0)), 1)
}

// othersDivisor is how small a part of the bound the leaders of other data centres get together, and aloneDivisor how small
// a part the daemons that decide without the leader. The former need little, since a data centre whose own targets are busy
// spreads the rest of its requests over the targets of all others.
const (
	othersDivisor = 6
	aloneDivisor  = 4
)

// Shares is how a bound is divided among those that may send a target requests in the same second.
type Shares struct {
	// Leader is how many requests the leader of the target's own data centre may send it in any second.
	Leader int
	// Others and Alone are how many leaders of other data centres, and how many daemons of the target's data centre that
	// decide without the leader, may send it one request in any second each.
	Others int
	Alone  int
}

// Divide divides a bound in a fleet with the given number of data centres besides the target's own.
func Divide(perSecond, otherCentres int) Shares {
	others, alone := min(perSecond/othersDivisor, otherCentres), perSecond/aloneDivisor
	return Shares{Leader: perSecond - others - alone, Others: others, Alone: alone}
}

// Minority returns how many requests a leader may send a target of its data centre in any second if it sees no more than half
// of the daemons there: those of the others may have a leader of their own, whom it can't reach. The parts of all such
// leaders add up to no more than that of the daemons that decide alone.
func (shares Shares) Minority(live, expected int) int {
	if expected <= 0 || 2*live > expected {
		return shares.Alone
	}
	return 2 * shares.Alone * live / expected
}

// AmongFirst reports whether a name is among the first of the names in the order that hashing with the target gives. The
// order is the same for all daemons, and names that are missing or too many change it little.
func AmongFirst(count int, target yuccaid.Target, name string, names []string) bool {
	own := weight(target, name)
	before := 0
	for _, other := range names {
		if other != name && weight(target, other) > own {
			before++
		}
	}
	return before < count && slices.Contains(names, name)
}

// AmongFirstOf does what AmongFirst does for groups of names: those of an earlier group come before those of a later
// one.
func AmongFirstOf(count int, target yuccaid.Target, name string, groups ...[]string) bool {
	for _, names := range groups {
		if slices.Contains(names, name) {
			return AmongFirst(count, target, name, names)
		}
		count -= len(names)
	}
	return false
}

func weight(target yuccaid.Target, name string) uint64 {
	return xxhash.Sum64String("cold\x00" + string(target) + "\x00" + name)
}
