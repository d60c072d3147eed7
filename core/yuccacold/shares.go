package yuccacold

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"yuccacleat/core/yuccaid"
)

const (
	// othersDivisor gives the leaders of other data centres a sixth of the bound. They need little, since a data centre
	// whose own targets are busy spreads the rest of its requests over the targets of all others.
	othersDivisor = 6
	// aloneDivisor gives the daemons that decide without the leader a quarter of the bound.
	aloneDivisor = 4
)

// Shares is how a bound is divided among those that may send a target requests in the same second.
type Shares struct {
	// Leader is how many requests the leader of the target's own data centre may send it in any second.
	Leader int
	// Others is how many requests the leaders of other data centres may send it together in any second.
	Others int
	// Alone is how many daemons of the target's data centre may send it one request in any second without their leader.
	Alone int
}

// Divide divides a bound in a fleet with the given number of data centres besides the target's own.
func Divide(perSecond, otherCentres int) Shares {
	others, alone := min(perSecond/othersDivisor, otherCentres), perSecond/aloneDivisor
	return Shares{Leader: perSecond - others - alone, Others: others, Alone: alone}
}

// Minority returns how many requests a leader may send a target of its data centre in any second if it sees no more than half
// of the daemons there: the others may have a leader of their own, which it can't reach. All such leaders together send no
// more than the daemons that decide alone may.
func (shares Shares) Minority(live, expected int) int {
	if expected <= 0 || 2*live > expected {
		return shares.Alone
	}
	return 2 * shares.Alone * live / expected
}

// OtherLeader returns how many requests the leader of another data centre than the target's may send it in any second. The
// leaders of evacuated data centres divide Others among themselves. If there are none, each leader gets one request at
// most: first those of near data centres, then those of far ones.
func (shares Shares) OtherLeader(target yuccaid.Target, centre yuccaid.Centre, evacuated, near, far []yuccaid.Centre) int {
	switch {
	case slices.Contains(evacuated, centre):
		return shares.Others/len(evacuated) + oneIf(AmongFirst(shares.Others%len(evacuated), target, centre, evacuated))
	case len(evacuated) > 0:
		return 0
	case slices.Contains(near, centre):
		return oneIf(AmongFirst(shares.Others, target, centre, near))
	}
	return oneIf(AmongFirst(shares.Others-len(near), target, centre, far))
}

func oneIf(chosen bool) int {
	if chosen {
		return 1
	}
	return 0
}

// AmongFirst reports whether a name is among the first count names in the order that rendezvous hashing gives for the
// target. All daemons find the same order, and names that some of them lack change it little.
func AmongFirst[Name ~string](count int, target yuccaid.Target, name Name, names []Name) bool {
	own := weight(target, string(name))
	before := 0
	for _, other := range names {
		if other != name && weight(target, string(other)) > own {
			before++
		}
	}
	return before < count && slices.Contains(names, name)
}

// weight is the rendezvous weight of a name for a target.
func weight(target yuccaid.Target, name string) uint64 {
	return xxhash.Sum64String("cold\x00" + string(target) + "\x00" + name)
}
