package yuccastate

import (
	"crypto/sha256"
	"slices"

	"yuccacleat/core/yuccaid"
)

// PublishedNote is a note as it was found under a key, read but not yet judged.
//
// Reading a note of a megabyte takes some hundred milliseconds. Done where the chain
// is, it would hold up every decision of the daemon for as long, so ReadNote can run
// on another goroutine and only Take needs the chain.
type PublishedNote struct {
	number  yuccaid.ConfigNumber
	raw     []byte
	content sum
	note    Note
	meaning yuccaid.Digest
	err     error
}

// ReadNote reads a note; what is wrong with it comes out when a chain takes it.
func ReadNote(key string, raw []byte) PublishedNote {
	number, err := ParseNoteKey(key)
	pub := PublishedNote{number: number, raw: slices.Clone(raw), content: sha256.Sum256(raw)}
	if err != nil {
		pub.err = err
		return pub
	}
	pub.note, pub.err = readNote(raw)
	if pub.err != nil {
		return pub
	}
	pub.meaning = pub.note.Digest()
	if pub.note.Number != number {
		remedy := "publish it as " + NoteKey(pub.note.Number)
		pub.err = pub.note.locate(refuse(number, ErrKey, "number", remedy, "is %d under %s", pub.note.Number, key))
	}
	return pub
}
