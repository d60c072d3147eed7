package yuccastate

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// PeerRelation is how a peer's configuration relates to one's own.
type PeerRelation string

const (
	// RelationSame says that both hold the same.
	RelationSame PeerRelation = "same"
	// RelationLocalBehind says that the peer holds a higher number: fetch what Plan says.
	RelationLocalBehind PeerRelation = "behind"
	// RelationLocalAhead says that the peer holds a lower number and will fetch.
	RelationLocalAhead PeerRelation = "ahead"
	// RelationForked says that the peer accepted another content of the same number.
	RelationForked PeerRelation = "forked"
)

// ComparePeer compares with the number and digest in a peer's heartbeat. A fork is an alarm,
// told once for each peer and digest.
func (chain *Chain) ComparePeer(now time.Time, from string, number yuccaid.ConfigNumber, digest yuccaid.Digest) (PeerRelation, []Entry) {
	if number > chain.Number() {
		return RelationLocalBehind, nil
	}
	own := chain.accepted[number].after
	if number == chain.Number() {
		own = chain.digest
	}
	switch {
	case own != "" && own != digest:
		err := forked(number, digest, own)
		return RelationForked, chain.told(now, EntryAlarm, number, from, sha256.Sum256([]byte(from+" "+string(digest))), err)
	case number < chain.Number():
		return RelationLocalAhead, nil
	}
	return RelationSame, nil
}

func forked(number yuccaid.ConfigNumber, theirs, own yuccaid.Digest) *Refusal {
	return refuse(number, ErrForked, "", "publish the next note against the one that shall hold", "is %s there and %s here", theirs, own)
}

// FetchPlan is what to fetch in order to reach a peer's number.
type FetchPlan struct {
	Notes    []yuccaid.ConfigNumber
	Snapshot bool
}

// PlanFetch says what to fetch from a peer that holds the number: the missing notes, or a
// snapshot if they are too many. If a note that was planned is refused, the plan after
// it is a snapshot too: after a fork the peer's chain went on from another content, so
// its notes can never fit here. A note that the platform alone published and that is
// wrong for everybody doesn't count: mending it would else cost each daemon of the
// fleet a snapshot. A peer that no longer has a note's text sends its snapshot.
func (chain *Chain) PlanFetch(number yuccaid.ConfigNumber) FetchPlan {
	next := chain.Number() + 1
	if number < next {
		return FetchPlan{}
	}
	if number-chain.Number() > keptNotes || chain.barred == next {
		return FetchPlan{Snapshot: true}
	}
	chain.asked = next
	return FetchPlan{Notes: chain.missingUpTo(number)}
}

func (chain *Chain) missingUpTo(highest yuccaid.ConfigNumber) []yuccaid.ConfigNumber {
	var missing []yuccaid.ConfigNumber
	for number := chain.Number() + 1; number <= highest && len(missing) < int(keptNotes); number++ {
		if _, held := chain.held[number]; !held {
			missing = append(missing, number)
		}
	}
	return missing
}

// Missing returns the numbers of notes that held ones wait for.
func (chain *Chain) Missing() []yuccaid.ConfigNumber {
	if len(chain.held) == 0 {
		return nil
	}
	return chain.missingUpTo(slices.Max(slices.Collect(maps.Keys(chain.held))))
}

// Adopt puts a whole configuration in force, from a peer or a baseline, if it has the
// digest that was announced and its number is higher than the accepted one. An empty
// digest announces nothing.
//
// Texts of earlier notes are dropped: they may be of another branch than the
// snapshot, and a peer that fetched them would follow the wrong one.
func (chain *Chain) Adopt(now time.Time, from string, state *State, digest yuccaid.Digest) (Verdict, error) {
	number, found := state.Number, state.Digest()
	verdict := Verdict{Kind: VerdictRefused, Number: number}
	content := sha256.Sum256([]byte(from + " " + string(found)))
	switch {
	case digest != "" && digest != found:
		err := refuse(number, ErrDigest, "", "fetch it again from another peer", "snapshot has %s instead of %s", found, digest)
		verdict.Entries = chain.told(now, EntryRefused, number, from, content, err)
		return verdict, err
	case number == chain.Number() && found == chain.digest:
		verdict.Kind = VerdictRepeated
		return verdict, nil
	case number == chain.Number():
		err := forked(number, found, chain.digest)
		verdict.Kind = VerdictAlarm
		verdict.Entries = chain.told(now, EntryAlarm, number, from, content, err)
		return verdict, err
	case number < chain.Number():
		return verdict, refuse(number, ErrNotHigher, "", "keep the accepted one", "snapshot is %d after %d", number, chain.Number())
	}
	verdict.Kind = VerdictAccepted
	verdict.Entries = []Entry{chain.move(now, EntryAdopted, from, state)}
	maps.DeleteFunc(chain.accepted, func(earlier yuccaid.ConfigNumber, _ link) bool { return earlier+keptProofs <= number })
	for earlier, kept := range chain.accepted {
		chain.accepted[earlier] = link{content: kept.content, meaning: kept.meaning}
	}
	chain.accepted[number] = link{after: found}
	chain.forget()
	verdict.Entries = append(verdict.Entries, chain.release(now)...)
	return verdict, nil
}
