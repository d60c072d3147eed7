package yuccastate

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strconv"

	"yuccacleat/core/yuccaid"
	"yuccacleat/core/yuccastate/yuccayaml"
)

// NoteLimit is the maximum size of a note in bytes, because the platform's service
// stores values of at most that size.
const NoteLimit yuccaid.Bytes = 1 << 20

// Note is a release note: the objects that it adds, changes and withdraws, and the
// digest of the configuration that it was written against (Base). A changed object is
// given in full, not as a list of changed fields.
type Note struct {
	Number    yuccaid.ConfigNumber `json:"number"`
	Base      yuccaid.Digest       `json:"base"`
	Author    string               `json:"by"`
	Added     Objects              `json:"added,omitzero"`
	Changed   Objects              `json:"changed,omitzero"`
	Withdrawn Names                `json:"withdrawn,omitzero"`

	lines yuccayaml.Lines
}

// ParseNote parses a note's YAML and refuses unknown keys and values of the wrong
// type. Whether the note fits a configuration is checked by Apply.
func ParseNote(raw []byte) (Note, error) {
	note, err := parseNotePartial(raw)
	if err != nil {
		return Note{}, err
	}
	return note, nil
}

// parseNotePartial parses a note. If it returns an error, it also returns the fields
// that could be read, so that the audit entry of the refusal can name the note's
// author.
func parseNotePartial(raw []byte) (Note, error) {
	if yuccaid.Bytes(len(raw)) > NoteLimit {
		return Note{}, newRefusal(0, yuccayaml.ErrValue, "", "split it into several notes", "has %d bytes, more than %d", len(raw), NoteLimit)
	}
	var note Note
	lines, err := yuccayaml.Decode(raw, &note)
	note.lines = lines
	var problems yuccayaml.Problems
	if errors.As(err, &problems) {
		return note, &Refusal{Number: note.Number, Problems: problems}
	}
	note.locateWithdrawn()
	return note, nil
}

// locate sets each problem's line to the line of its key in the note, and sorts the
// problems.
func (note Note) locate(ref *Refusal) *Refusal {
	for _, prob := range ref.Problems {
		prob.Line = note.lines.Of(prob.Key)
	}
	ref.Problems.Sort()
	return ref
}

// locateWithdrawn adds the lines of withdrawn objects under their names, because the
// YAML decoder records list items by index only.
func (note Note) locateWithdrawn() {
	names := note.Withdrawn
	locateNames(note.lines, KindCentre, names.Centres)
	locateNames(note.lines, KindLink, names.Links)
	locateNames(note.lines, KindTier, names.Tiers)
	locateNames(note.lines, KindPool, names.Pools)
	locateNames(note.lines, KindTarget, names.Targets)
	locateNames(note.lines, KindAccount, names.Accounts)
}

// locateNames reads all lines by index before it sets the lines by name (with defer),
// because an object's name may be a number that equals the index of another object.
func locateNames[K ~string](lines yuccayaml.Lines, kind Kind, names []K) {
	for i, name := range names {
		line := lines.Of(objectKey(sectionWithdrawn, kind, strconv.Itoa(i)))
		defer func() { lines[objectKey(sectionWithdrawn, kind, string(name))] = line }()
	}
}

// Canonical encodes the note as YAML without comments and with keys and sets in a fixed
// order, so that notes with the same content give the same bytes.
func (note Note) Canonical() []byte {
	note.Added = note.Added.normalised()
	note.Changed = note.Changed.normalised()
	note.Withdrawn = note.Withdrawn.normalised()
	return yuccayaml.Encode(note)
}

// Digest returns the SHA-256 of the note's canonical form. Notes that differ only in
// layout, order or comments have the same digest.
func (note Note) Digest() yuccaid.Digest {
	digest := sha256.Sum256(note.Canonical())
	return yuccaid.Digest(hex.EncodeToString(digest[:]))
}

// String returns the note's number and author, for logs.
func (note Note) String() string {
	return fmt.Sprintf("note %d by %s", note.Number, note.Author)
}
