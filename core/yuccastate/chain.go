package yuccastate

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// maxHeldNotes and maxHeldBytes bound the notes that wait for an earlier note. A
	// watch on the platform's store delivers at most some dozens of notes out of order.
	// If more notes wait, a snapshot is cheaper.
	maxHeldNotes               = 64
	maxHeldBytes yuccaid.Bytes = 2 * NoteLimit
	// maxKeptNotes and maxKeptBytes bound the texts of accepted notes that are kept for
	// peers that were disconnected; a peer that lacks more notes than these fetches a
	// snapshot.
	maxKeptNotes yuccaid.ConfigNumber = 64
	maxKeptBytes yuccaid.Bytes        = 4 * NoteLimit
	// maxKeptDigests bounds the number of accepted notes whose digests are kept in
	// order to detect that the content published under a note's key has changed.
	maxKeptDigests yuccaid.ConfigNumber = 4096
	// maxAuditKeys bounds the number of audit keys in Chain.audited. When the bound is
	// reached, all audit keys are dropped, and a refusal or alarm may be recorded once
	// more.
	maxAuditKeys = 1024
)

// VerdictKind is the outcome of offering a note or a snapshot to a chain.
type VerdictKind string

const (
	// VerdictAccepted means that the new configuration is in force.
	VerdictAccepted VerdictKind = "accepted"
	// VerdictRepeated means that the same content was accepted before.
	VerdictRepeated VerdictKind = "repeated"
	// VerdictHeld means that the note waits for an earlier note that is missing.
	VerdictHeld VerdictKind = "held"
	// VerdictRefused means that nothing changed; the error gives the reason.
	VerdictRefused VerdictKind = "refused"
	// VerdictOld means that the offered note's number is not above the number of the
	// configuration in force, and that the chain keeps no digest of the note that was
	// accepted under the offered note's number. So the contents of the offered and the
	// accepted note can't be compared.
	VerdictOld VerdictKind = "old"
	// VerdictAlarm means that the content differs from the content accepted under the
	// same number; nothing changed.
	VerdictAlarm VerdictKind = "alarm"
)

// Verdict is the outcome of offering a note or a snapshot, with the entries for the
// audit trail. There may be several entries, because an accepted note is followed by the
// held notes that waited for it.
type Verdict struct {
	Kind    VerdictKind
	Number  yuccaid.ConfigNumber
	Entries []Entry
}

// Chain holds the configuration and the notes that one daemon has accepted. The number
// of its configuration never decreases, whatever the platform's service or a peer sends
// later. A Chain must be used by one goroutine only.
//
// Forks: if an operator overwrites a note's key while data centres are disconnected, some
// daemons may have accepted the first content and some the second. Neither has precedence,
// and adopting the other content would revert an accepted configuration. So each daemon
// keeps the content that it accepted and raises an alarm. The operators resolve the fork
// with the next note, which is written against one of the two contents: daemons that hold
// the other content refuse the note because of its base, and then adopt the higher
// configuration as a snapshot.
type Chain struct {
	state       *State
	digest      yuccaid.Digest
	accepted    map[yuccaid.ConfigNumber]acceptedNote
	held        map[yuccaid.ConfigNumber]PublishedNote
	plannedNext yuccaid.ConfigNumber // number that followed the current one when PlanFetch last listed notes
	refusedNext yuccaid.ConfigNumber // number of the last refused note that was plannedNext
	audited     map[auditKey]bool
}

// acceptedNote is what is kept of an accepted note. raw is the note's text, kept for
// peers that lack the note. The digests detect another content under the note's number:
// rawSum is of the text, noteDigest of the note's canonical form, and configDigest of
// the configuration after the note.
type acceptedNote struct {
	raw          []byte
	rawSum       sum
	noteDigest   yuccaid.Digest
	configDigest yuccaid.Digest
}

// auditKey identifies a recorded refusal or alarm, so that the same one is not recorded
// again. Otherwise the audit trail would fill up, because the platform's service may
// return the same invalid note on every poll. A refusal is recorded again once the
// chain's number (current) has changed.
type auditKey struct {
	reason  string
	number  yuccaid.ConfigNumber
	content sum
	current yuccaid.ConfigNumber
}

// NewChain returns a chain at the empty configuration.
func NewChain() *Chain {
	empty := Empty()
	return &Chain{
		state:    empty,
		digest:   empty.Digest(),
		accepted: map[yuccaid.ConfigNumber]acceptedNote{},
		held:     map[yuccaid.ConfigNumber]PublishedNote{},
		audited:  map[auditKey]bool{},
	}
}

// State returns the configuration in force.
func (chain *Chain) State() *State {
	return chain.state
}

// Number returns the number of the configuration in force.
func (chain *Chain) Number() yuccaid.ConfigNumber {
	return chain.state.Number
}

// Digest returns the digest of the configuration in force.
func (chain *Chain) Digest() yuccaid.Digest {
	return chain.digest
}

// Held returns the number of notes that wait for an earlier note.
func (chain *Chain) Held() int {
	return len(chain.held)
}

// Note returns the text of an accepted note and whether it is still kept. A peer that
// requests a note that is no longer kept needs a snapshot.
func (chain *Chain) Note(number yuccaid.ConfigNumber) ([]byte, bool) {
	kept := chain.accepted[number]
	return kept.raw, kept.raw != nil
}

// Offer processes a note from the platform or a peer, with the key under which it was
// published. Notes may arrive late, repeatedly or out of order. The error gives the
// reason why a note was refused.
func (chain *Chain) Offer(now time.Time, key string, raw []byte) (Verdict, error) {
	return chain.OfferPublished(now, ParsePublished(key, raw))
}

// OfferPublished is like Offer, for a note that ParsePublished has parsed.
func (chain *Chain) OfferPublished(now time.Time, pub PublishedNote) (Verdict, error) {
	switch {
	case pub.number == 0:
		return chain.recordRefusal(now, pub, pub.err)
	case pub.number <= chain.Number():
		return chain.offerPast(now, pub)
	case pub.number > chain.Number()+1:
		chain.hold(pub)
		return Verdict{Kind: VerdictHeld, Number: pub.number}, nil
	}
	verdict, err := chain.offerNext(now, pub)
	if err == nil {
		verdict.Entries = append(verdict.Entries, chain.releaseHeld(now)...)
	}
	return verdict, err
}

// offerNext applies the note whose number follows the number of the configuration in
// force.
func (chain *Chain) offerNext(now time.Time, pub PublishedNote) (Verdict, error) {
	if pub.err != nil {
		return chain.recordRefusal(now, pub, pub.err)
	}
	after, err := chain.state.Apply(pub.note)
	if err != nil {
		return chain.recordRefusal(now, pub, err)
	}
	entry := chain.advance(now, EntryAccepted, pub.note.Author, after)
	chain.accepted[pub.number] = acceptedNote{raw: pub.raw, rawSum: pub.rawSum, noteDigest: pub.noteDigest, configDigest: chain.digest}
	chain.dropOld()
	return Verdict{Kind: VerdictAccepted, Number: pub.number, Entries: []Entry{entry}}, nil
}

// offerPast compares a note with the note accepted under its number. A difference in
// layout only is harmless. A difference in content raises an alarm, because daemons
// that start now would read the changed note instead of the note that the fleet has
// accepted.
func (chain *Chain) offerPast(now time.Time, pub PublishedNote) (Verdict, error) {
	kept := chain.accepted[pub.number]
	if kept.noteDigest == "" {
		return Verdict{Kind: VerdictOld, Number: pub.number}, nil
	}
	if pub.rawSum == kept.rawSum || pub.noteDigest == kept.noteDigest {
		return Verdict{Kind: VerdictRepeated, Number: pub.number}, nil
	}
	remedy := "publish the accepted content again and the change as a new note"
	alarm := newRefusal(pub.number, ErrContentChanged, NoteKey(pub.number), remedy, "holds another note than the accepted one")
	entries := chain.auditOnce(now, EntryAlarm, pub.number, pub.note.Author, pub.rawSum, alarm)
	return Verdict{Kind: VerdictAlarm, Number: pub.number, Entries: entries}, alarm
}

// recordRefusal returns the verdict for a note that was refused with err. If the note
// has the number that was next when PlanFetch last listed notes, the next plan is a
// snapshot.
func (chain *Chain) recordRefusal(now time.Time, pub PublishedNote, err error) (Verdict, error) {
	if pub.number > 0 && pub.number == chain.plannedNext {
		chain.refusedNext = pub.number
	}
	entries := chain.auditOnce(now, EntryRefused, pub.number, pub.note.Author, pub.rawSum, err)
	return Verdict{Kind: VerdictRefused, Number: pub.number, Entries: entries}, err
}

// releaseHeld applies the held notes in the order of their numbers, until the next note
// is missing or refused.
func (chain *Chain) releaseHeld(now time.Time) []Entry {
	var entries []Entry
	for {
		number := chain.Number() + 1
		waiting, found := chain.held[number]
		maps.DeleteFunc(chain.held, func(held yuccaid.ConfigNumber, _ PublishedNote) bool { return held <= number })
		if !found {
			return entries
		}
		verdict, err := chain.offerNext(now, waiting)
		entries = append(entries, verdict.Entries...)
		if err != nil {
			return entries
		}
	}
}

// hold keeps a note until the notes before it have arrived. Above the limits the notes
// with the highest numbers are dropped; PlanFetch lists the dropped notes again.
func (chain *Chain) hold(pub PublishedNote) {
	chain.held[pub.number] = pub
	for len(chain.held) > maxHeldNotes || chain.heldSize() > maxHeldBytes {
		delete(chain.held, slices.Max(slices.Collect(maps.Keys(chain.held))))
	}
}

func (chain *Chain) heldSize() yuccaid.Bytes {
	size := yuccaid.Bytes(0)
	for _, pub := range chain.held {
		size += yuccaid.Bytes(len(pub.raw))
	}
	return size
}

// advance puts a configuration with a higher number in force and returns the audit
// entry for this change.
func (chain *Chain) advance(now time.Time, kind EntryKind, by string, after *State) Entry {
	before := chain.digest
	chain.state = after
	chain.digest = after.Digest()
	return Entry{At: now, Kind: kind, By: by, Number: after.Number, Before: before, After: chain.digest}
}

// auditOnce returns an audit entry for a refusal or an alarm, or none if the same
// refusal or alarm was recorded before. content identifies what was refused.
func (chain *Chain) auditOnce(now time.Time, kind EntryKind, number yuccaid.ConfigNumber, by string, content sum, err error) []Entry {
	key := auditKey{reason: Reason(err), number: number, content: content}
	if kind == EntryRefused {
		key.current = chain.Number()
	}
	if chain.audited[key] {
		return nil
	}
	if len(chain.audited) >= maxAuditKeys {
		clear(chain.audited)
	}
	chain.audited[key] = true
	return []Entry{{
		At: now, Kind: kind, By: by, Number: number, Before: chain.digest, After: chain.digest,
		Reason: key.reason, Detail: err.Error(),
	}}
}

// dropOld drops the texts, and later the digests, of old notes, so that the memory of a
// daemon that runs for years does not grow with every note. It visits only the
// notes that may have exceeded a limit since the previous call; age is how many numbers a
// note is behind the newest.
func (chain *Chain) dropOld() {
	newest := chain.Number()
	size := yuccaid.Bytes(0)
	for age := range min(maxKeptNotes+1, newest) {
		kept := chain.accepted[newest-age]
		size += yuccaid.Bytes(len(kept.raw))
		if kept.raw != nil && (age == maxKeptNotes || size > maxKeptBytes) {
			kept.raw = nil
			chain.accepted[newest-age] = kept
		}
	}
	if newest > maxKeptDigests {
		delete(chain.accepted, newest-maxKeptDigests)
	}
}
