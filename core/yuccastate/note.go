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

// NoteLimit is the largest note: the platform's service holds values of that size.
const NoteLimit yuccaid.Bytes = 1 << 20

// Note is a release note: what it adds, changes and withdraws, and the digest of the
// configuration that it was written against. A changed object is given whole.
type Note struct {
	Number    yuccaid.ConfigNumber `json:"number"`
	Base      yuccaid.Digest       `json:"base"`
	Author    string               `json:"by"`
	Added     Objects              `json:"added,omitzero"`
	Changed   Objects              `json:"changed,omitzero"`
	Withdrawn Names                `json:"withdrawn,omitzero"`

	lines yuccayaml.Lines
}

// ParseNote reads a note's YAML and refuses unknown keys and values of the wrong
// form; whether the note fits a configuration is for Apply to say.
func ParseNote(raw []byte) (Note, error) {
	note, err := readNote(raw)
	if err != nil {
		return Note{}, err
	}
	return note, nil
}

// readNote returns with an error what could be read, so that a refusal can name its
// author.
func readNote(raw []byte) (Note, error) {
	if yuccaid.Bytes(len(raw)) > NoteLimit {
		return Note{}, refuse(0, yuccayaml.ErrValue, "", "split it into several notes", "has %d bytes, more than %d", len(raw), NoteLimit)
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

// locate gives each problem the line of its key and puts them in order.
func (note Note) locate(ref *Refusal) *Refusal {
	for _, prob := range ref.Problems {
		prob.Line = note.lines.Of(prob.Key)
	}
	ref.Problems.Sort()
	return ref
}

// locateWithdrawn makes the lines of withdrawn objects known by name; the reader of
// YAML knows an item of a list by its position only.
func (note Note) locateWithdrawn() {
	names := note.Withdrawn
	locateNames(note.lines, KindCentre, names.Centres)
	locateNames(note.lines, KindLink, names.Links)
	locateNames(note.lines, KindTier, names.Tiers)
	locateNames(note.lines, KindPool, names.Pools)
	locateNames(note.lines, KindTarget, names.Targets)
	locateNames(note.lines, KindAccount, names.Accounts)
}

func locateNames[K ~string](lines yuccayaml.Lines, kind Kind, names []K) {
	for i, name := range names {
		line := lines.Of(path(sectionWithdrawn, kind, strconv.Itoa(i)))
		defer func() { lines[path(sectionWithdrawn, kind, string(name))] = line }()
	}
}

// Canonical writes the note in the one form that its meaning has; comments, order
// and layout are gone from it.
func (note Note) Canonical() []byte {
	note.Added = note.Added.clean()
	note.Changed = note.Changed.clean()
	note.Withdrawn = note.Withdrawn.clean()
	return yuccayaml.Encode(note)
}

// Digest returns the digest of the canonical form: two notes that mean the same have
// the same.
func (note Note) Digest() yuccaid.Digest {
	sum := sha256.Sum256(note.Canonical())
	return yuccaid.Digest(hex.EncodeToString(sum[:]))
}

// String names the note in logs.
func (note Note) String() string {
	return fmt.Sprintf("note %d by %s", note.Number, note.Author)
}
