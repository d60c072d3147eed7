package yuccastate

import (
	"crypto/sha256"
	"slices"

	"yuccacleat/core/yuccaid"
)

// PublishedNote is a note as published under a key: parsed, but not yet offered to a
// chain.
//
// Parsing a note of a megabyte takes some hundred milliseconds. On the goroutine that
// owns the chain, the parsing would delay every decision of the daemon by this time.
// ParsePublished may therefore run on any goroutine; only OfferPublished must run on
// the chain's goroutine.
type PublishedNote struct {
	number     yuccaid.ConfigNumber
	raw        []byte
	rawSum     sum
	note       Note
	noteDigest yuccaid.Digest
	err        error
}

// ParsePublished parses a note that was published under a key. An error is kept in the result
// and returned by OfferPublished.
func ParsePublished(key string, raw []byte) PublishedNote {
	number, err := ParseNoteKey(key)
	pub := PublishedNote{number: number, raw: slices.Clone(raw), rawSum: sha256.Sum256(raw)}
	if err != nil {
		pub.err = err
		return pub
	}
	pub.note, pub.err = parseNotePartial(raw)
	if pub.err != nil {
		return pub
	}
	pub.noteDigest = pub.note.Digest()
	if pub.note.Number != number {
		remedy := "publish it as " + NoteKey(pub.note.Number)
		pub.err = pub.note.locate(newRefusal(number, ErrKey, "number", remedy, "is %d under %s", pub.note.Number, key))
	}
	return pub
}
