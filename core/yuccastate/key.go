package yuccastate

import (
	"fmt"
	"strconv"
	"strings"

	"yuccacleat/core/yuccaid"
)

const (
	// NotePrefix begins the platform's keys of release notes.
	NotePrefix = "notes/"
	// BaselinePrefix begins the platform's keys of baseline parts.
	BaselinePrefix = "baselines/"

	numberDigits = 10
)

// NoteKey returns the key under which a note is published.
func NoteKey(number yuccaid.Number) string {
	return fmt.Sprintf("%s%0*d", NotePrefix, numberDigits, number)
}

// PartKey returns the key under which a part of a baseline is published.
func PartKey(number yuccaid.Number, index int) string {
	return fmt.Sprintf("%s%0*d/%04d", BaselinePrefix, numberDigits, number, index)
}

// ParseNoteKey returns the number in a note's key.
func ParseNoteKey(key string) (yuccaid.Number, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(key, NotePrefix), 10, 64)
	if err != nil || key != NoteKey(yuccaid.Number(number)) {
		return 0, refuse(0, ErrKey, key, "publish notes as "+NoteKey(1), "is no note's key")
	}
	return yuccaid.Number(number), nil
}
