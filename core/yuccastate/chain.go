package yuccastate

import (
	"maps"
	"slices"
	"time"

	"yuccacleat/core/yuccaid"
)

const (
	// heldNotes and heldBytes bound notes that wait for an earlier one. A watch
	// delivers some dozens out of order at worst; beyond that a snapshot is cheaper.
	heldNotes               = 64
	heldBytes yuccaid.Bytes = 2 * NoteLimit
	// keptNotes and keptBytes bound the texts kept for peers that were cut off for a
	// while; one that lacks more fetches a snapshot.
	keptNotes yuccaid.ConfigNumber = 64
	keptBytes yuccaid.Bytes        = 4 * NoteLimit
	// keptProofs bounds by how many notes a changed key is still recognised.
	keptProofs yuccaid.ConfigNumber = 4096
	// reportedLimit bounds what is remembered in order not to repeat audit entries.
	reportedLimit = 1024
)

// VerdictKind says what became of an offer.
type VerdictKind string

const (
	// VerdictAccepted says that the configuration moved on.
	VerdictAccepted VerdictKind = "accepted"
	// VerdictRepeated says that the same content had been accepted before.
	VerdictRepeated VerdictKind = "repeated"
	// VerdictHeld says that an earlier note is missing.
	VerdictHeld VerdictKind = "held"
	// VerdictRefused says that nothing changed and why is in the error.
	VerdictRefused VerdictKind = "refused"
	// VerdictOld says that the number is passed and its content no longer known.
	VerdictOld VerdictKind = "old"
	// VerdictAlarm says that history was rewritten; nothing was taken of it.
	VerdictAlarm VerdictKind = "alarm"
)

// Verdict is what became of an offer, with the entries for the audit trail. One offer
// may make several: an accepted note releases those that waited for it.
type Verdict struct {
	Kind    VerdictKind
	Number  yuccaid.ConfigNumber
	Entries []Entry
}

// Chain is what one daemon has accepted. Its number only ever grows, whatever the
// platform's service or a peer says later, and it is used by one goroutine.
//
// Two contents of one number. When an operator overwrites a key while data centres
// are cut off, some daemons may have accepted the first content and some the second.
// Neither is more right, and taking the other's would revert an accepted
// configuration. So each keeps what it accepted and raises an alarm. The operators
// settle it forward: the next note builds on one of the two, the daemons of the other
// refuse it for its base, and adopt the higher configuration as a snapshot.
type Chain struct {
	state    *State
	digest   yuccaid.Digest
	accepted map[yuccaid.ConfigNumber]link
	held     map[yuccaid.ConfigNumber]PublishedNote
	asked    yuccaid.ConfigNumber // the next note, once Plan asked for it
	barred   yuccaid.ConfigNumber // the next note, once it came as asked for and was refused
	reported map[report]bool
}

// link is what remains of an accepted note: its text while peers may ask for it, and
// digests to recognise another content by.
type link struct {
	raw     []byte
	content sum
	meaning yuccaid.Digest
	after   yuccaid.Digest
}

// report identifies what was told already. A service that shows the same wrong note
// at every poll must not fill the audit trail.
type report struct {
	reason  string
	number  yuccaid.ConfigNumber
	content sum
	at      yuccaid.ConfigNumber
}

// NewChain starts at the empty configuration.
func NewChain() *Chain {
	empty := Empty()
	return &Chain{
		state:    empty,
		digest:   empty.Digest(),
		accepted: map[yuccaid.ConfigNumber]link{},
		held:     map[yuccaid.ConfigNumber]PublishedNote{},
		reported: map[report]bool{},
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

// Held returns how many notes wait for an earlier one.
func (chain *Chain) Held() int {
	return len(chain.held)
}

// Note returns the text of an accepted note while it is kept, for a peer that lacks
// it; a peer that asks too late needs a snapshot.
func (chain *Chain) Note(number yuccaid.ConfigNumber) ([]byte, bool) {
	kept := chain.accepted[number]
	return kept.raw, kept.raw != nil
}

// Offer takes a note from the platform or a peer, under the platform's key. It may
// come late, twice or out of order. The error says why the note was not accepted.
func (chain *Chain) Offer(now time.Time, key string, raw []byte) (Verdict, error) {
	return chain.OfferPublished(now, ReadNote(key, raw))
}

// OfferPublished is Offer for a note that was read before.
func (chain *Chain) OfferPublished(now time.Time, pub PublishedNote) (Verdict, error) {
	switch {
	case pub.number == 0:
		return chain.refused(now, pub, pub.err)
	case pub.number <= chain.Number():
		return chain.past(now, pub)
	case pub.number > chain.Number()+1:
		chain.hold(pub)
		return Verdict{Kind: VerdictHeld, Number: pub.number}, nil
	}
	verdict, err := chain.next(now, pub)
	if err == nil {
		verdict.Entries = append(verdict.Entries, chain.release(now)...)
	}
	return verdict, err
}

// next judges the note that follows the accepted one.
func (chain *Chain) next(now time.Time, pub PublishedNote) (Verdict, error) {
	if pub.err != nil {
		return chain.refused(now, pub, pub.err)
	}
	after, err := chain.state.Apply(pub.note)
	if err != nil {
		return chain.refused(now, pub, err)
	}
	entry := chain.move(now, EntryAccepted, pub.note.Author, after)
	chain.accepted[pub.number] = link{raw: pub.raw, content: pub.content, meaning: pub.meaning, after: chain.digest}
	chain.forget()
	return Verdict{Kind: VerdictAccepted, Number: pub.number, Entries: []Entry{entry}}, nil
}

// past judges a note whose number is accepted already. Another layout of the same
// meaning is harmless. Another meaning is an alarm: daemons that start now would read
// it in place of what the fleet runs on.
func (chain *Chain) past(now time.Time, pub PublishedNote) (Verdict, error) {
	kept := chain.accepted[pub.number]
	if kept.meaning == "" {
		return Verdict{Kind: VerdictOld, Number: pub.number}, nil
	}
	if pub.content == kept.content || pub.meaning == kept.meaning {
		return Verdict{Kind: VerdictRepeated, Number: pub.number}, nil
	}
	remedy := "publish the accepted content again and the change as a new note"
	alarm := refuse(pub.number, ErrContentChanged, NoteKey(pub.number), remedy, "holds another note than the accepted one")
	entries := chain.told(now, EntryAlarm, pub.number, pub.note.Author, pub.content, alarm)
	return Verdict{Kind: VerdictAlarm, Number: pub.number, Entries: entries}, alarm
}

func (chain *Chain) refused(now time.Time, pub PublishedNote, err error) (Verdict, error) {
	if pub.number > 0 && pub.number == chain.asked {
		chain.barred = pub.number
	}
	entries := chain.told(now, EntryRefused, pub.number, pub.note.Author, pub.content, err)
	return Verdict{Kind: VerdictRefused, Number: pub.number, Entries: entries}, err
}

// release judges the notes that waited, as long as the next one is there.
func (chain *Chain) release(now time.Time) []Entry {
	var entries []Entry
	for {
		number := chain.Number() + 1
		waiting, found := chain.held[number]
		maps.DeleteFunc(chain.held, func(held yuccaid.ConfigNumber, _ PublishedNote) bool { return held <= number })
		if !found {
			return entries
		}
		verdict, err := chain.next(now, waiting)
		entries = append(entries, verdict.Entries...)
		if err != nil {
			return entries
		}
	}
}

// hold keeps a note for later, the lowest numbers first if there is not room for all.
// What is dropped can be fetched again: Plan asks for it.
func (chain *Chain) hold(pub PublishedNote) {
	chain.held[pub.number] = pub
	for len(chain.held) > heldNotes || chain.heldSize() > heldBytes {
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

// move puts a higher configuration in force.
func (chain *Chain) move(now time.Time, kind EntryKind, by string, after *State) Entry {
	before := chain.digest
	chain.state = after
	chain.digest = after.Digest()
	return Entry{At: now, Kind: kind, By: by, Number: after.Number, Before: before, After: chain.digest}
}

// told makes an audit entry for what changed nothing, once.
func (chain *Chain) told(now time.Time, kind EntryKind, number yuccaid.ConfigNumber, by string, content sum, err error) []Entry {
	key := report{reason: Reason(err), number: number, content: content}
	if kind == EntryRefused {
		key.at = chain.Number()
	}
	if chain.reported[key] {
		return nil
	}
	if len(chain.reported) >= reportedLimit {
		clear(chain.reported)
	}
	chain.reported[key] = true
	return []Entry{{
		At: now, Kind: kind, By: by, Number: number, Before: chain.digest, After: chain.digest,
		Reason: key.reason, Detail: err.Error(),
	}}
}

// forget drops the texts and later the digests of old notes, so that a daemon that
// runs for years doesn't grow with every note. It looks at the numbers that may have
// come to their limit, not at all of them.
func (chain *Chain) forget() {
	newest := chain.Number()
	size := yuccaid.Bytes(0)
	for age := range min(keptNotes+1, newest) {
		kept := chain.accepted[newest-age]
		size += yuccaid.Bytes(len(kept.raw))
		if kept.raw != nil && (age == keptNotes || size > keptBytes) {
			kept.raw = nil
			chain.accepted[newest-age] = kept
		}
	}
	if newest > keptProofs {
		delete(chain.accepted, newest-keptProofs)
	}
}
