package yuccastate

import (
	"crypto/sha256"
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

// PeerRelation is how the local configuration relates to a peer's.
type PeerRelation string

const (
	// RelationSame means that both configurations are the same.
	RelationSame PeerRelation = "same"
	// RelationLocalBehind means that the peer holds a higher number; PlanFetch returns
	// what to fetch from the peer.
	RelationLocalBehind PeerRelation = "behind"
	// RelationLocalAhead means that the peer holds a lower number; the peer fetches the
	// missing notes or a snapshot from this daemon.
	RelationLocalAhead PeerRelation = "ahead"
	// RelationForked means that the peer and this daemon accepted different contents
	// under the same number.
	RelationForked PeerRelation = "forked"
)

// ComparePeer compares the local configuration with the number and digest in a heartbeat
// of the peer named from. On a fork it returns an alarm entry, once for each peer and
// digest.
func (chain *Chain) ComparePeer(now time.Time, from string, number yuccaid.ConfigNumber, digest yuccaid.Digest) (PeerRelation, []Entry) {
	if number > chain.Number() {
		return RelationLocalBehind, nil
	}
	localDigest := chain.accepted[number].configDigest
	if number == chain.Number() {
		localDigest = chain.digest
	}
	switch {
	case localDigest != "" && localDigest != digest:
		err := forkRefusal(number, digest, localDigest)
		return RelationForked, chain.auditOnce(now, EntryAlarm, number, from, sha256.Sum256([]byte(from+" "+string(digest))), err)
	case number < chain.Number():
		return RelationLocalAhead, nil
	}
	return RelationSame, nil
}

// forkRefusal returns the refusal for a number under which the peer and this daemon have
// accepted different contents.
func forkRefusal(number yuccaid.ConfigNumber, peerDigest, localDigest yuccaid.Digest) *Refusal {
	return newRefusal(number, ErrForked, "", "publish the next note against the one that shall hold", "is %s there and %s here", peerDigest, localDigest)
}

// FetchPlan is what to fetch from a peer in order to reach the peer's number: the notes
// with the numbers in Notes, or a snapshot. It is empty if the peer's number is not
// higher.
type FetchPlan struct {
	Notes    []yuccaid.ConfigNumber
	Snapshot bool
}

// PlanFetch returns what to fetch from a peer whose configuration has the given number:
// the missing notes, or a snapshot if there are too many of them.
//
// If the next note is refused after a plan listed it, the next plan is a snapshot as
// well. The reason is that after a fork the peer's later notes are based on the content
// that the peer accepted, so this daemon can never apply them. A refused note that no
// plan listed does not cause a snapshot. Such a note came from the platform and is
// invalid for all daemons; if it caused a snapshot, every daemon would fetch one once
// the note is corrected. A peer that no longer keeps a note's text sends a snapshot.
func (chain *Chain) PlanFetch(number yuccaid.ConfigNumber) FetchPlan {
	next := chain.Number() + 1
	if number < next {
		return FetchPlan{}
	}
	if number-chain.Number() > maxKeptNotes || chain.refusedNext == next {
		return FetchPlan{Snapshot: true}
	}
	chain.plannedNext = next
	return FetchPlan{Notes: chain.missingUpTo(number)}
}

// missingUpTo returns the numbers after the current one, up to highest, whose notes are
// not held. It returns at most maxKeptNotes numbers.
func (chain *Chain) missingUpTo(highest yuccaid.ConfigNumber) []yuccaid.ConfigNumber {
	var missing []yuccaid.ConfigNumber
	for number := chain.Number() + 1; number <= highest && len(missing) < int(maxKeptNotes); number++ {
		if _, held := chain.held[number]; !held {
			missing = append(missing, number)
		}
	}
	return missing
}

// Missing returns the numbers of the missing notes without which the held notes can't be
// applied.
func (chain *Chain) Missing() []yuccaid.ConfigNumber {
	if len(chain.held) == 0 {
		return nil
	}
	return chain.missingUpTo(slices.Max(slices.Collect(maps.Keys(chain.held))))
}

// Adopt puts a complete configuration from a peer or a baseline in force if its number
// is higher than the current one and its digest is the one that was announced (digest). An
// empty digest is not checked.
//
// The texts of earlier notes and the digests of the configurations after them are
// dropped, because after a fork they may belong to another branch than the snapshot. A
// peer that fetched the texts would apply notes of the other branch.
func (chain *Chain) Adopt(now time.Time, from string, state *State, digest yuccaid.Digest) (Verdict, error) {
	number, actual := state.Number, state.Digest()
	verdict := Verdict{Kind: VerdictRefused, Number: number}
	content := sha256.Sum256([]byte(from + " " + string(actual)))
	switch {
	case digest != "" && digest != actual:
		err := newRefusal(number, ErrDigest, "", "fetch it again from another peer", "snapshot has %s instead of %s", actual, digest)
		verdict.Entries = chain.auditOnce(now, EntryRefused, number, from, content, err)
		return verdict, err
	case number == chain.Number() && actual == chain.digest:
		verdict.Kind = VerdictRepeated
		return verdict, nil
	case number == chain.Number():
		err := forkRefusal(number, actual, chain.digest)
		verdict.Kind = VerdictAlarm
		verdict.Entries = chain.auditOnce(now, EntryAlarm, number, from, content, err)
		return verdict, err
	case number < chain.Number():
		return verdict, newRefusal(number, ErrNotHigher, "", "keep the accepted one", "snapshot is %d after %d", number, chain.Number())
	}
	verdict.Kind = VerdictAccepted
	verdict.Entries = []Entry{chain.advance(now, EntryAdopted, from, state)}
	maps.DeleteFunc(chain.accepted, func(acceptedNumber yuccaid.ConfigNumber, _ acceptedNote) bool {
		return acceptedNumber+maxKeptDigests <= number
	})
	for acceptedNumber, kept := range chain.accepted {
		chain.accepted[acceptedNumber] = acceptedNote{rawSum: kept.rawSum, noteDigest: kept.noteDigest}
	}
	chain.accepted[number] = acceptedNote{configDigest: actual}
	chain.dropOld()
	verdict.Entries = append(verdict.Entries, chain.releaseHeld(now)...)
	return verdict, nil
}
